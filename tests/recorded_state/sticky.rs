//! Event streams for sticky sessions: statements, answers, draining engines, lost connections and time.

use super::expected::{STICKY_TIMEOUTS, STICKY_TRANSACTIONS};
use super::random::Random;
use super::recording::{Recording, assert_exercised};
use super::sticky_adapter::{
    Answer, Options, RecordedStickySession, STICKY_REASONS, SessionLimits, Statement,
};

const TENANTS: u64 = 4;
const ERROR_CODES: [u16; 4] = [1062, 1064, 1205, 1213];
const UNKNOWN_TENANT: Option<usize> = Some(99);

struct Profile {
    seed: u64,
    streams: u64,
    events: u64,
    /// Maximum time between events, in milliseconds.
    max_step: f64,
    /// Probability in percent that the engine of a client begins to drain.
    drains: u64,
    /// Probability in percent that an answer is an error.
    errors: u64,
    options: Options,
}

const TRANSACTIONS: Profile = Profile {
    seed: 21,
    streams: 200,
    events: 120,
    max_step: 20.0,
    drains: 2,
    errors: 25,
    options: Options {
        idle_timeout: 150.0,
        max_lifetime: 800.0,
        drain_timeout: 60.0,
        max_sessions: 8,
        max_sessions_per_tenant: 4,
    },
};

const TIMEOUTS: Profile = Profile {
    seed: 22,
    streams: 200,
    events: 120,
    max_step: 60.0,
    drains: 10,
    errors: 10,
    options: Options {
        idle_timeout: 300.0,
        max_lifetime: 700.0,
        drain_timeout: 90.0,
        max_sessions: 5,
        max_sessions_per_tenant: 2,
    },
};

const REQUIRED: [&str; 11] = [
    "session begun",
    "session limit reached",
    "tenant limit reached",
    "session kept",
    "session free",
    "idle timeout",
    "lifetime over",
    "drain timeout",
    "rolled back",
    "outcome unknown",
    "no transaction",
];

fn play(profile: &Profile) -> Recording {
    let mut recording = Recording::default();
    for stream in 0..profile.streams {
        Stream::new(profile, stream).play(&mut recording);
    }
    recording
}

/// A client whose session is bound to an engine connection.
struct Client {
    tenant: Option<usize>,
    session: RecordedStickySession,
    /// Statement that awaits its answer.
    pending: Option<Statement>,
}

struct Stream<'profile> {
    profile: &'profile Profile,
    random: Random,
    limits: SessionLimits,
    clients: Vec<Client>,
    now: f64,
}

impl<'profile> Stream<'profile> {
    fn new(profile: &'profile Profile, number: u64) -> Self {
        let random = Random::of_stream(profile.seed, number);
        Stream {
            profile,
            random,
            limits: SessionLimits::default(),
            clients: vec![],
            now: 0.0,
        }
    }

    fn play(&mut self, recording: &mut Recording) {
        for _ in 0..self.profile.events {
            self.now += self.random.float_below(self.profile.max_step);
            match self.clients.is_empty() || self.random.percent(20) {
                true => self.begin(recording),
                false => self.act_for_client(recording),
            }
            self.end_expired_sessions(recording);
        }
    }

    fn begin(&mut self, recording: &mut Recording) {
        let tenant = self.random.below(TENANTS) as usize;
        let tenant = (tenant > 0).then_some(tenant);
        if self.limits.acquire(self.profile.options, tenant, recording) {
            let session = RecordedStickySession::new(self.profile.options, self.now);
            self.clients.push(Client {
                tenant,
                session,
                pending: None,
            });
        } else {
            self.limits.release(UNKNOWN_TENANT, recording);
        }
    }

    fn act_for_client(&mut self, recording: &mut Recording) {
        let position = self.random.below(self.clients.len() as u64) as usize;
        if self.random.percent(self.profile.drains) {
            self.clients[position].session.engine_draining(self.now);
        } else if self.random.percent(3) {
            self.clients[position]
                .session
                .record_lost_connection(recording);
            self.end(position, recording);
        } else if self.clients[position].pending.is_none() {
            self.send(position);
        } else {
            self.answer(position, recording);
        }
    }

    fn send(&mut self, position: usize) {
        let acquires = self
            .random
            .percent(60)
            .then(|| *self.random.choose(&STICKY_REASONS));
        let statement = Statement {
            acquires,
            unlocks_tables: self.random.percent(15),
            commits: self.random.percent(30),
        };
        let client = &mut self.clients[position];
        client.session.statement_sent(self.now, statement);
        client.pending = Some(statement);
    }

    fn answer(&mut self, position: usize, recording: &mut Recording) {
        let answer = match self.random.percent(self.profile.errors) {
            true => Answer::Error(*self.random.choose(&ERROR_CODES)),
            false => Answer::Status {
                transaction_open: self.random.percent(50),
            },
        };
        let client = &mut self.clients[position];
        client.pending = None;
        if client.session.answer_received(self.now, answer, recording) && self.random.percent(50) {
            self.end(position, recording);
        }
    }

    fn end(&mut self, position: usize, recording: &mut Recording) {
        let client = self.clients.remove(position);
        self.limits.release(client.tenant, recording);
    }

    fn end_expired_sessions(&mut self, recording: &mut Recording) {
        for position in (0..self.clients.len()).rev() {
            if self.clients[position]
                .session
                .record_expiry(self.now, recording)
            {
                self.end(position, recording);
            }
        }
    }
}

#[test]
fn sticky_transactions_as_recorded() {
    play(&TRANSACTIONS).check(&STICKY_TRANSACTIONS);
}

#[test]
fn sticky_timeouts_as_recorded() {
    play(&TIMEOUTS).check(&STICKY_TIMEOUTS);
}

#[test]
fn sticky_streams_bring_every_kind_of_output() {
    assert_exercised(&REQUIRED, &[&STICKY_TRANSACTIONS, &STICKY_TIMEOUTS]);
}
