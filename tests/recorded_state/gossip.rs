//! Event streams for the gossip: a few dispatchers with different endpoint lists, requests, reports and
//! malformed messages.

use super::expected::{
    GOSSIP_ALL_FIELDS, GOSSIP_MALFORMED, GOSSIP_SAVED_BUDGET, GOSSIP_TIGHT_BUDGET,
};
use super::gossip_adapter::{Gossip, MAX_MESSAGE_BYTES, Options};
use super::random::Random;
use super::recording::{Recording, assert_exercised};

const DISPATCHERS: usize = 3;
const ENGINES: u64 = 12;
/// Number of names, enough for at least two of them to share a short hash.
const CANDIDATE_NAMES: u32 = 6_000;
const MAX_COLLIDING: usize = 4;
const MIN_BROADCAST_INTERVAL_MS: f64 = 300.0;
const MAX_VALUE: f64 = 450.0;
const EDGE_VALUES: [f64; 9] = [
    0.0,
    -0.0,
    1.26,
    1.27,
    40.0,
    40.5,
    f64::NAN,
    f64::INFINITY,
    -0.1,
];

struct Profile {
    seed: u64,
    streams: u64,
    events: u64,
    /// Probability in percent that a message is altered in transit.
    altered_messages: u64,
    /// Probability in percent that a report value is one of [`EDGE_VALUES`].
    edge_values: u64,
    /// Probability in percent that an event is a request rather than a report.
    requests: u64,
    options: Options,
}

const TIGHT_BUDGET: Profile = Profile {
    seed: 31,
    streams: 120,
    events: 300,
    altered_messages: 0,
    edge_values: 5,
    requests: 70,
    options: Options {
        dispatchers: 100,
        message_price: 1.0,
        report_fields: 2,
    },
};

const MALFORMED: Profile = Profile {
    seed: 32,
    streams: 120,
    events: 300,
    altered_messages: 60,
    edge_values: 5,
    requests: 30,
    options: Options {
        dispatchers: 3,
        message_price: 0.1,
        report_fields: 4,
    },
};

const ALL_FIELDS: Profile = Profile {
    seed: 33,
    streams: 60,
    events: 200,
    altered_messages: 5,
    edge_values: 2,
    requests: 20,
    options: Options {
        dispatchers: 2,
        message_price: 0.0,
        report_fields: 16,
    },
};

/// Reports are too rare to use up the message budget, so that it reaches its maximum.
const SAVED_BUDGET: Profile = Profile {
    seed: 34,
    streams: 40,
    events: 1_200,
    altered_messages: 0,
    edge_values: 0,
    requests: 97,
    options: Options {
        dispatchers: 100,
        message_price: 2.0,
        report_fields: 2,
    },
};

const REQUIRED: [&str; 7] = [
    "message sent",
    "nothing sent",
    "report received",
    "engine not listed",
    "wrong length",
    "unknown kind",
    "byte out of range",
];

fn play(profile: &Profile) -> Recording {
    let mut recording = Recording::default();
    let colliding = colliding_names();
    assert!(
        colliding.len() >= 2,
        "at least two names share a short hash"
    );
    colliding.iter().for_each(|name| recording.state(name));
    for stream in 0..profile.streams {
        Stream::new(profile, stream, &colliding).play(&mut recording);
    }
    recording
}

/// Returns names that share a short hash with another: a dispatcher that lists both broadcasts reports of
/// neither, even with an unlimited budget.
fn colliding_names() -> Vec<String> {
    let names: Vec<String> = (0..CANDIDATE_NAMES)
        .map(|number| format!("s-{number:08x}"))
        .collect();
    let mut gossip = Gossip::new(Options {
        dispatchers: 2,
        message_price: 0.0,
        report_fields: 1,
    });
    gossip.set_engines(&names);
    let not_broadcast = names
        .into_iter()
        .filter(|name| gossip.offer_report(0.0, name, &[1.0]).is_none());
    not_broadcast.take(MAX_COLLIDING).collect()
}

struct Stream<'profile> {
    profile: &'profile Profile,
    random: Random,
    names: Vec<String>,
    dispatchers: Vec<Gossip>,
    now: f64,
}

impl<'profile> Stream<'profile> {
    fn new(profile: &'profile Profile, number: u64, colliding: &[String]) -> Self {
        let mut names: Vec<String> = (0..ENGINES)
            .map(|engine| format!("engine-{engine}"))
            .collect();
        names.extend_from_slice(colliding);
        let dispatchers = (0..DISPATCHERS)
            .map(|_| Gossip::new(profile.options))
            .collect();
        Stream {
            profile,
            random: Random::of_stream(profile.seed, number),
            names,
            dispatchers,
            now: 0.0,
        }
    }

    fn play(&mut self, recording: &mut Recording) {
        (0..DISPATCHERS).for_each(|dispatcher| self.update_list(dispatcher));
        for _ in 0..self.profile.events {
            self.now += self.random.float_below(MIN_BROADCAST_INTERVAL_MS / 4.0);
            let dispatcher = self.random.below(DISPATCHERS as u64) as usize;
            if self.random.percent(2) {
                self.update_list(dispatcher);
            } else if self.random.percent(self.profile.requests) {
                self.dispatchers[dispatcher].accept_request();
            } else {
                self.report(dispatcher, recording);
            }
        }
    }

    /// Sets the dispatcher's endpoint list to a random 80% of the names.
    fn update_list(&mut self, dispatcher: usize) {
        let listed: Vec<String> = self
            .names
            .iter()
            .filter(|_| self.random.percent(80))
            .cloned()
            .collect();
        self.dispatchers[dispatcher].set_engines(&listed);
    }

    fn report(&mut self, dispatcher: usize, recording: &mut Recording) {
        let engine = self.random.choose(&self.names).clone();
        let report = self.values();
        let sent = self.dispatchers[dispatcher]
            .record_offered_report(self.now, &engine, &report, recording);
        let Some(message) = sent else { return };
        for peer in (0..DISPATCHERS).filter(|peer| *peer != dispatcher) {
            let message = self.transmit(&message);
            self.dispatchers[peer].receive(self.now, &message, recording);
        }
    }

    fn values(&mut self) -> Vec<f64> {
        let wrong_length = self.random.percent(2);
        let length = self.profile.options.report_fields + usize::from(wrong_length);
        (0..length).map(|_| self.value()).collect()
    }

    fn value(&mut self) -> f64 {
        if self.random.percent(self.profile.edge_values) {
            return *self.random.choose(&EDGE_VALUES);
        }
        match self.random.below(3) {
            0 => self.random.float_below(1.3),
            1 => self.random.below(45) as f64,
            _ => self.random.float_below(MAX_VALUE),
        }
    }

    /// Returns the message as a peer receives it, sometimes altered.
    fn transmit(&mut self, message: &[u8]) -> Vec<u8> {
        let mut message = message.to_vec();
        if !self.random.percent(self.profile.altered_messages) {
            return message;
        }
        let position = self.random.below(message.len() as u64) as usize;
        match self.random.below(4) {
            0 => message[position] = self.random.bits() as u8,
            1 => message.truncate(position),
            2 => message.push(self.random.bits() as u8),
            _ => {
                let length = self.random.below(MAX_MESSAGE_BYTES as u64 + 2);
                message = (0..length).map(|_| self.random.bits() as u8).collect();
            }
        }
        message
    }
}

#[test]
fn gossip_tight_budget_as_recorded() {
    play(&TIGHT_BUDGET).check(&GOSSIP_TIGHT_BUDGET);
}

#[test]
fn gossip_malformed_as_recorded() {
    play(&MALFORMED).check(&GOSSIP_MALFORMED);
}

#[test]
fn gossip_all_fields_as_recorded() {
    play(&ALL_FIELDS).check(&GOSSIP_ALL_FIELDS);
}

#[test]
fn gossip_saved_budget_as_recorded() {
    play(&SAVED_BUDGET).check(&GOSSIP_SAVED_BUDGET);
}

#[test]
fn gossip_streams_bring_every_kind_of_output() {
    assert_exercised(
        &REQUIRED,
        &[
            &GOSSIP_TIGHT_BUDGET,
            &GOSSIP_MALFORMED,
            &GOSSIP_ALL_FIELDS,
            &GOSSIP_SAVED_BUDGET,
        ],
    );
}
