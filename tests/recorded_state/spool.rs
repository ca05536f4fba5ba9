//! Event streams for the spool index: results that arrive page by page, their readers, the disk and time.

use super::expected::{SPOOL_IN_MEMORY, SPOOL_WITH_BAD_DISK, SPOOL_WITH_DISK};
use super::random::Random;
use super::recording::{Recording, assert_exercised};
use super::spool_adapter::{DiskWrite, Options, RecordedSpoolIndex, Request};

const KIB: u64 = 1024;
const CLASSES: u64 = 3;
const TENANTS: u64 = 4;
const MAX_PAGE_BYTES: u64 = 30 * KIB;
const MAX_WRITE_MS: f64 = 1_400.0;
const EVENTS_PER_FULL_RECORD: u64 = 4;
const RECENT_SPOOLS: usize = 12;
/// An id that no spool has.
const UNKNOWN_SPOOL: u64 = u64::MAX;
const USERS: [&str; 2] = ["reader", "other"];

struct Profile {
    seed: u64,
    streams: u64,
    events: u64,
    /// Maximum time between events, in milliseconds.
    max_step: f64,
    /// Weights of [`ACTIONS`].
    weights: [u64; ACTIONS.len()],
    /// Probability in percent that a write succeeds.
    successful_writes: u64,
    options: Options,
}

#[derive(Clone, Copy)]
enum Action {
    Admit,
    Open,
    Page,
    Complete,
    Fail,
    ReturnToMemory,
    Persist,
    Restore,
    Attach,
    Detach,
    DiskWrite,
    Expire,
    Configure,
    Resume,
    RecordSize,
}

const ACTIONS: [Action; 15] = [
    Action::Admit,
    Action::Open,
    Action::Page,
    Action::Complete,
    Action::Fail,
    Action::ReturnToMemory,
    Action::Persist,
    Action::Restore,
    Action::Attach,
    Action::Detach,
    Action::DiskWrite,
    Action::Expire,
    Action::Configure,
    Action::Resume,
    Action::RecordSize,
];

const DISK: Profile = Profile {
    seed: 11,
    streams: 120,
    events: 150,
    max_step: 120.0,
    weights: [6, 10, 40, 10, 1, 1, 3, 2, 6, 5, 3, 2, 0, 5, 2],
    successful_writes: 95,
    options: Options {
        memory_bytes: 100 * KIB,
        disk_bytes: Some(400 * KIB),
        tenant_quota_bytes: 250 * KIB,
        max_result_bytes: 150 * KIB,
        retention: 4_000.0,
        max_spools: 14,
    },
};

const MEMORY_ONLY: Profile = Profile {
    seed: 12,
    streams: 100,
    events: 150,
    max_step: 120.0,
    weights: [6, 12, 40, 12, 1, 0, 1, 0, 6, 5, 1, 2, 0, 5, 2],
    successful_writes: 90,
    options: Options {
        disk_bytes: None,
        memory_bytes: 300 * KIB,
        retention: 9_000.0,
        max_spools: 8,
        ..DISK.options
    },
};

const BAD_DISK: Profile = Profile {
    seed: 13,
    streams: 100,
    events: 150,
    max_step: 500.0,
    weights: [6, 10, 40, 10, 2, 3, 4, 2, 6, 5, 8, 3, 1, 5, 1],
    successful_writes: 55,
    options: DISK.options,
};

const REQUIRED: [&str; 25] = [
    "admitted",
    "not admitted",
    "opened",
    "page in memory",
    "page on disk",
    "above result limit",
    "above tenant quota",
    "no room",
    "too many spools",
    "unknown spool",
    "evict",
    "spill to disk",
    "expired",
    "handle given",
    "handle unknown",
    "handle expired",
    "handle malformed",
    "resumed",
    "reader attached",
    "reader without spool",
    "disk absent",
    "disk well",
    "disk full",
    "disk failing",
    "disk slow",
];

fn play(profile: &Profile) -> Recording {
    let mut recording = Recording::default();
    for stream in 0..profile.streams {
        Stream::new(profile, stream).play(&mut recording);
    }
    recording
}

struct Stream<'profile> {
    profile: &'profile Profile,
    random: Random,
    index: RecordedSpoolIndex,
    now: f64,
    /// All spools so far, including removed ones.
    spools: Vec<u64>,
    /// Spools that still receive pages.
    open: Vec<u64>,
    /// Spools with an attached reader, one entry for each.
    read: Vec<u64>,
    handles: Vec<String>,
}

impl<'profile> Stream<'profile> {
    fn new(profile: &'profile Profile, number: u64) -> Self {
        Stream {
            profile,
            random: Random::of_stream(profile.seed, number),
            index: RecordedSpoolIndex::new(profile.options, CLASSES as usize),
            now: 0.0,
            spools: vec![],
            open: vec![],
            read: vec![],
            handles: vec![],
        }
    }

    fn play(&mut self, recording: &mut Recording) {
        for event in 0..self.profile.events {
            self.now += self.random.float_below(self.profile.max_step);
            let action = ACTIONS[self.random.weighted(&self.profile.weights)];
            self.act(action, recording);
            if event % EVENTS_PER_FULL_RECORD == 0 {
                let recent = &self.spools[self.spools.len().saturating_sub(RECENT_SPOOLS)..];
                self.index
                    .record_all(self.now, recent, CLASSES as usize, recording);
            }
        }
        self.index
            .record_all(self.now, &self.spools, CLASSES as usize, recording);
    }

    fn act(&mut self, action: Action, recording: &mut Recording) {
        match action {
            Action::Admit => {
                let request = self.request();
                self.index.admit(self.now, request, recording);
            }
            Action::Open => self.open(recording),
            Action::Page => self.page(recording),
            Action::Complete => self.complete(recording),
            Action::Fail => {
                let spool = self.any_spool();
                self.index.fail(spool);
            }
            Action::ReturnToMemory => {
                let (spool, bytes) = (self.any_spool(), self.random.below(MAX_PAGE_BYTES));
                self.index.return_to_memory(spool, bytes);
            }
            Action::Persist => {
                let spool = self.any_spool();
                self.index.persist(self.now, spool, recording);
            }
            Action::Restore => self.restore(),
            Action::Attach => self.attach(recording),
            Action::Detach => self.detach(),
            Action::DiskWrite => self.disk_write(recording),
            Action::Expire => self.index.expire(self.now, recording),
            Action::Configure => self.configure(),
            Action::Resume => self.resume(recording),
            Action::RecordSize => {
                let (class, bytes) = (
                    self.random.below(CLASSES),
                    self.random.float_below(200_000.0),
                );
                self.index.record_size(class as usize, bytes);
            }
        }
    }

    fn request(&mut self) -> Request {
        let tenant = self.random.below(TENANTS) as usize;
        Request {
            tenant: (tenant > 0).then_some(tenant),
            class: self.random.below(CLASSES) as usize,
            is_load: self.random.percent(25),
        }
    }

    /// Draws a recent spool, which may have been removed, or an unknown one.
    fn any_spool(&mut self) -> u64 {
        let from = self.spools.len().saturating_sub(RECENT_SPOOLS);
        match self.spools[from..].is_empty() || self.random.percent(2) {
            true => UNKNOWN_SPOOL,
            false => *self.random.choose(&self.spools[from..]),
        }
    }

    fn open(&mut self, recording: &mut Recording) {
        let request = self.request();
        if let Some(spool) = self.index.open(self.now, request, recording) {
            self.spools.push(spool);
            self.open.push(spool);
        }
    }

    fn page(&mut self, recording: &mut Recording) {
        let unknown = self.open.is_empty() || self.random.percent(2);
        let spool = if unknown {
            UNKNOWN_SPOOL
        } else {
            *self.random.choose(&self.open)
        };
        let bytes = 1 + self.random.below(MAX_PAGE_BYTES);
        if !self.index.page(self.now, spool, bytes, recording) {
            self.index.fail(spool);
            self.open.retain(|other| *other != spool);
        }
    }

    fn complete(&mut self, recording: &mut Recording) {
        if self.open.is_empty() {
            return;
        }
        let position = self.random.below(self.open.len() as u64) as usize;
        let spool = self.open.swap_remove(position);
        let random = u128::from(self.random.bits()) << 64 | u128::from(self.random.bits());
        self.handles.push(
            self.index
                .complete(self.now, spool, USERS[0], random, recording),
        );
    }

    fn restore(&mut self) {
        let (request, bytes) = (self.request(), 1 + self.random.below(MAX_PAGE_BYTES));
        let completed = self.now - 1_000.0 + self.random.float_below(1_500.0);
        let handle = format!("{:032x}", self.random.bits());
        let spool = self
            .index
            .restore(self.now, request, bytes, completed, USERS[0], &handle);
        self.spools.push(spool);
        self.handles.push(handle);
    }

    fn attach(&mut self, recording: &mut Recording) {
        let spool = self.any_spool();
        if self.index.attach(self.now, spool, recording) {
            self.read.push(spool);
        }
    }

    fn detach(&mut self) {
        if let Some(spool) = self.read.pop() {
            let complete = self.random.percent(50);
            self.index.record_read(self.now, spool);
            self.index.detach(self.now, spool, complete);
        }
    }

    fn disk_write(&mut self, recording: &mut Recording) {
        let failure = *self.random.choose(&[DiskWrite::Full, DiskWrite::Failed]);
        let write = if self.random.percent(self.profile.successful_writes) {
            DiskWrite::Successful
        } else {
            failure
        };
        let duration = self.random.float_below(MAX_WRITE_MS);
        self.index.disk_write(self.now, duration, write, recording);
    }

    fn configure(&mut self) {
        let disk_bytes = self.random.percent(70).then_some(300 * KIB);
        self.index.configure(Options {
            disk_bytes,
            ..self.profile.options
        });
    }

    fn resume(&mut self, recording: &mut Recording) {
        let use_unknown = self.handles.is_empty() || self.random.percent(20);
        let handle = match use_unknown {
            true => self
                .random
                .choose(&["short", "0123456789abcdef0123456789abcdef"])
                .to_string(),
            false => self.random.choose(&self.handles).to_uppercase(),
        };
        let user = *self.random.choose(&USERS);
        self.index.resume(user, &handle, recording);
    }
}

#[test]
fn spool_with_disk_as_recorded() {
    play(&DISK).check(&SPOOL_WITH_DISK);
}

#[test]
fn spool_in_memory_as_recorded() {
    play(&MEMORY_ONLY).check(&SPOOL_IN_MEMORY);
}

#[test]
fn spool_with_bad_disk_as_recorded() {
    play(&BAD_DISK).check(&SPOOL_WITH_BAD_DISK);
}

#[test]
fn spool_streams_bring_every_kind_of_output() {
    assert_exercised(
        &REQUIRED,
        &[&SPOOL_WITH_DISK, &SPOOL_IN_MEMORY, &SPOOL_WITH_BAD_DISK],
    );
}
