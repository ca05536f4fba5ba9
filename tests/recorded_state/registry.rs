//! Streams of events for the registry view: what sources answer, connections, operators, restarts and time.

use super::random::Random;
use super::recording::Recording;
use super::registry_adapter::{
    AllowedNetworks, Answer, Connection, Instance, Options, RegistryView,
};
use std::net::SocketAddr;

pub(crate) const USUAL: Options = Options {
    networks: AllowedNetworks::Any,
    preserved_share: 0.25,
    preserved_least: 2,
    preserved_span: 120_000.0,
    source_timeout: 15_000.0,
    missing_timeout: 60_000.0,
    removed_kept: 600_000.0,
    instance_limit: 20_000,
    removed_limit: 4_096,
};

/// What the streams of one profile are like. Shares are in percent.
pub(crate) struct Profile {
    pub(crate) seed: u64,
    pub(crate) streams: u64,
    pub(crate) events: u64,
    pub(crate) instances: u64,
    pub(crate) sources: u64,
    /// Weights of [`ACTIONS`].
    pub(crate) weights: [u64; ACTIONS.len()],
    /// A full list holds an instance with this share ...
    pub(crate) listed: u64,
    /// ... unless it is one that lost most of them.
    pub(crate) short_lists: u64,
    pub(crate) not_up: u64,
    pub(crate) bad_addresses: u64,
    /// Instances without timestamps.
    pub(crate) unversioned: u64,
    pub(crate) addresses: u64,
    pub(crate) longest_pause: f64,
    pub(crate) options: Options,
}

#[derive(Clone, Copy)]
pub(crate) enum Action {
    FullList,
    Delta,
    SourceFails,
    Connection,
    Operator,
    Time,
    Configure,
    Report,
    Restart,
}

pub(crate) const ACTIONS: [Action; 9] = [
    Action::FullList,
    Action::Delta,
    Action::SourceFails,
    Action::Connection,
    Action::Operator,
    Action::Time,
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
const LOST_LIST_SHARE: u64 = 15;
const LONGEST_ANSWER: f64 = 3_000.0;
const EVENTS_PER_FULL_RECORD: u64 = 6;
/// Connections are told of so few engines, so that one after another concerns the same.
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
            Action::Operator => {
                let count = self.random.below(3);
                let engines = (0..count).map(|_| self.engine()).collect();
                self.view.taken_out_by_operator(engines);
            }
            Action::Time => {
                self.now += self.random.float_below(self.profile.longest_pause);
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

    fn asked(&mut self) -> f64 {
        self.now - self.random.float_below(LONGEST_ANSWER)
    }

    fn full_list(&mut self, recording: &mut Recording) {
        let short = self.random.percent(self.profile.short_lists);
        let share = if short {
            LOST_LIST_SHARE
        } else {
            self.profile.listed
        };
        let mut listed = vec![];
        for number in 0..self.profile.instances {
            if self.random.percent(share) {
                listed.push(self.instance(number));
            }
        }
        let (source, asked) = (self.source(), self.asked());
        self.view
            .answered(self.now, &source, asked, Answer::Full(listed), recording);
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
        let (source, asked) = (self.source(), self.asked());
        self.view.answered(
            self.now,
            &source,
            asked,
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

    /// Another process takes over from a snapshot, sometimes before any source answers it.
    fn restart(&mut self, recording: &mut Recording) {
        let Some(snapshot) = self.view.snapshot(self.now, recording) else {
            return;
        };
        self.now += self.random.float_below(self.profile.longest_pause);
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
