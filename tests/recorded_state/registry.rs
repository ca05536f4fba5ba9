//! Event streams for the registry view: answers of registry sources, connections, operators, restarts and
//! time.

use super::random::Random;
use super::recording::Recording;
use super::registry_adapter::{
    AllowedNetworks, Answer, Connection, Instance, Options, RegistryView,
};
use std::net::SocketAddr;

pub(crate) const DEFAULT_OPTIONS: Options = Options {
    networks: AllowedNetworks::Any,
    max_missing_share: 0.25,
    max_missing_count: 2,
    preservation_duration: 120_000.0,
    source_timeout: 15_000.0,
    missing_grace: 60_000.0,
    tombstone_ttl: 600_000.0,
    max_instances: 20_000,
    max_tombstones: 4_096,
};

/// Properties of the streams of one profile. Shares are in percent.
pub(crate) struct Profile {
    pub(crate) seed: u64,
    pub(crate) streams: u64,
    pub(crate) events: u64,
    pub(crate) instances: u64,
    pub(crate) sources: u64,
    /// Weights of [`ACTIONS`].
    pub(crate) weights: [u64; ACTIONS.len()],
    /// Share of the instances that a full list holds.
    pub(crate) listed: u64,
    /// Share of full lists that lost most of the instances.
    pub(crate) truncated_lists: u64,
    /// Share of listed instances whose status is not `UP`.
    pub(crate) not_up: u64,
    /// Share of listed instances whose address is missing or unusable.
    pub(crate) bad_addresses: u64,
    /// Share of listed instances without timestamps.
    pub(crate) unversioned: u64,
    /// Number of distinct usable addresses.
    pub(crate) addresses: u64,
    /// Maximum time that passes in a time step or a restart, in milliseconds.
    pub(crate) max_pause: f64,
    pub(crate) options: Options,
}

#[derive(Clone, Copy)]
pub(crate) enum Action {
    FullList,
    Delta,
    SourceFails,
    Connection,
    Drain,
    Wait,
    Configure,
    Report,
    Restart,
}

pub(crate) const ACTIONS: [Action; 9] = [
    Action::FullList,
    Action::Delta,
    Action::SourceFails,
    Action::Connection,
    Action::Drain,
    Action::Wait,
    Action::Configure,
    Action::Report,
    Action::Restart,
];

const START: f64 = 1_000_000.0;
const STATUSES: [&str; 5] = ["OUT_OF_SERVICE", "DOWN", "STARTING", "UNKNOWN", "odd"];
const BAD_ADDRESSES: [&str; 6] = [
    "198.51.100.7:3306",
    "[::ffff:198.51.100.7]:1",
    "0.0.0.0:1",
    "127.0.0.1:0",
    "[ff02::1]:9",
    "255.255.255.255:5",
];
const QUERIES: [&str; 12] = [
    "",
    "limit=2",
    "after=engine-01",
    "only=ready",
    "only=draining&limit=1",
    "only=gone",
    "only=held",
    "only=contradicted",
    "only=unproven",
    "limit=0",
    "only=odd",
    "odd=1",
];
const TRUNCATED_LIST_SHARE: u64 = 15;
const MAX_RESPONSE_TIME_MS: f64 = 3_000.0;
const EVENTS_PER_FULL_RECORD: u64 = 6;
/// Number of engines with connections, small so that successive events concern the same engine.
const CONNECTED_ENGINES: u64 = 2;
const CLOCK_SKEW_STEP: u64 = 700;

/// Plays all streams of a profile into one recording.
pub(crate) fn play(profile: &Profile) -> Recording {
    let mut recording = Recording::default();
    for stream in 0..profile.streams {
        Stream::new(profile, stream).play(&mut recording);
    }
    recording
}

struct Stream<'profile> {
    profile: &'profile Profile,
    random: Random,
    view: RegistryView,
    now: f64,
}

impl<'profile> Stream<'profile> {
    fn new(profile: &'profile Profile, number: u64) -> Self {
        let random = Random::of_stream(profile.seed, number);
        Stream {
            profile,
            random,
            view: RegistryView::new(profile.options),
            now: START,
        }
    }

    fn play(&mut self, recording: &mut Recording) {
        for event in 0..self.profile.events {
            self.now += self.random.float_below(1_000.0);
            let action = ACTIONS[self.random.weighted(&self.profile.weights)];
            self.act(action, recording);
            recording.state(&format!(
                "wake {}",
                super::recording::optional_float(self.view.next_wakeup(self.now))
            ));
            if event % EVENTS_PER_FULL_RECORD == 0 {
                self.view.record_all(self.now, recording);
            }
        }
        self.view.record_all(self.now, recording);
    }

    fn act(&mut self, action: Action, recording: &mut Recording) {
        match action {
            Action::FullList => self.full_list(recording),
            Action::Delta => self.delta(recording),
            Action::SourceFails => {
                let source = self.source();
                self.view.source_failed(self.now, &source, recording);
            }
            Action::Connection => self.connection(recording),
            Action::Drain => {
                let count = self.random.below(3);
                let engines = (0..count).map(|_| self.engine()).collect();
                self.view.set_drained(engines);
            }
            Action::Wait => {
                self.now += self.random.float_below(self.profile.max_pause);
                self.view.tick(self.now, recording);
            }
            Action::Configure => self.configure(recording),
            Action::Report => {
                let query = *self.random.choose(&QUERIES);
                self.view.report(self.now, query, recording);
            }
            Action::Restart => self.restart(recording),
        }
    }

    fn source(&mut self) -> String {
        format!(
            "http://registry-{}/eureka",
            self.random.below(self.profile.sources)
        )
    }

    fn engine(&mut self) -> String {
        engine_name(self.random.below(self.profile.instances))
    }

    fn draw_request_time(&mut self) -> f64 {
        self.now - self.random.float_below(MAX_RESPONSE_TIME_MS)
    }

    fn full_list(&mut self, recording: &mut Recording) {
        let truncated = self.random.percent(self.profile.truncated_lists);
        let share = if truncated {
            TRUNCATED_LIST_SHARE
        } else {
            self.profile.listed
        };
        let mut listed = vec![];
        for number in 0..self.profile.instances {
            if self.random.percent(share) {
                listed.push(self.instance(number));
            }
        }
        let (source, requested_at) = (self.source(), self.draw_request_time());
        self.view.apply_answer(
            self.now,
            &source,
            requested_at,
            Answer::Full(listed),
            recording,
        );
    }

    fn delta(&mut self, recording: &mut Recording) {
        let (changes, deletions) = (self.random.below(4), self.random.below(3));
        let changed = (0..changes)
            .map(|_| {
                let number = self.random.below(self.profile.instances);
                self.instance(number)
            })
            .collect();
        let deleted = (0..deletions)
            .map(|_| (self.engine(), self.version()))
            .collect();
        let (source, requested_at) = (self.source(), self.draw_request_time());
        self.view.apply_answer(
            self.now,
            &source,
            requested_at,
            Answer::Delta { changed, deleted },
            recording,
        );
    }

    fn instance(&mut self, number: u64) -> Instance {
        let not_up = self.random.percent(self.profile.not_up);
        let overridden = self.random.percent(self.profile.not_up / 2);
        Instance {
            id: engine_name(number),
            status: if not_up { self.status_not_up() } else { "UP" },
            overridden: overridden.then(|| *self.random.choose(&["UP", "DOWN", "OUT_OF_SERVICE"])),
            address: self.address(number),
            zone: self
                .random
                .percent(60)
                .then(|| format!("zone-{}", number % 3)),
            kind: self
                .random
                .percent(60)
                .then(|| format!("kind-{}", number % 2)),
            version: self.version(),
            started: self
                .random
                .percent(30)
                .then_some(START + number as f64 * 0.5),
        }
    }

    fn status_not_up(&mut self) -> &'static str {
        let position = self.random.below(STATUSES.len() as u64) as usize;
        STATUSES[position]
    }

    fn address(&mut self, number: u64) -> Option<SocketAddr> {
        if self.random.percent(self.profile.bad_addresses) {
            let position = self.random.below(BAD_ADDRESSES.len() as u64 + 1) as usize;
            return BAD_ADDRESSES
                .get(position)
                .map(|address| address.parse().unwrap());
        }
        let port = 9_000 + (number % self.profile.addresses) as u16;
        Some(SocketAddr::from(([127, 0, 0, 1], port)))
    }

    fn version(&mut self) -> (u64, u64) {
        match self.random.percent(self.profile.unversioned) {
            true => (0, 0),
            false => (
                1 + self.random.below(6),
                1 + CLOCK_SKEW_STEP * self.random.below(5),
            ),
        }
    }

    fn connection(&mut self, recording: &mut Recording) {
        let open = self.random.below(2) as usize;
        let events = [
            Connection::Opened { at: self.now },
            Connection::Broken { open },
            Connection::Refused { open },
            Connection::Closed { open },
        ];
        let engine = engine_name(self.random.below(CONNECTED_ENGINES));
        let event = *self.random.choose(&events);
        self.view.connection(self.now, &engine, event, recording);
    }

    fn configure(&mut self, recording: &mut Recording) {
        let mut options = self.profile.options;
        options.source_timeout *= 1.0 + self.random.float_below(1.0);
        let sources: Vec<String> = (0..2).map(|_| self.source()).collect();
        self.view.configure(self.now, options, &sources, recording);
    }

    /// Starts a new process from a snapshot, sometimes before any source has answered it.
    fn restart(&mut self, recording: &mut Recording) {
        let Some(snapshot) = self.view.snapshot(self.now, recording) else {
            return;
        };
        self.now += self.random.float_below(self.profile.max_pause);
        self.view = RegistryView::new(self.profile.options);
        self.view.restore(self.now, &snapshot, recording);
        if self.random.percent(50) {
            self.full_list(recording);
        }
        self.view.serve_restored(self.now, recording);
        self.view.record_all(self.now, recording);
    }
}

fn engine_name(number: u64) -> String {
    format!("engine-{number:02}")
}
