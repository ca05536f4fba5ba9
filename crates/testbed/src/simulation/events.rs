//! The events of a simulation, and their order in time.

use super::{AttemptId, EngineEntry, Job, Outcome, ProgressNote, Waits};

/// One attempt of a client to be served: its first request, or a retry after a rejection.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub(super) gateway: usize,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) job: Job,
    pub(super) work_told: f64,
    pub(super) memory_told: f64,
    /// When its first try came, which its service is counted from.
    pub(super) born: f64,
    pub(super) gives_up: f64,
    pub(super) latency_objective: f64,
    pub(super) priority_weight: f64,
    pub(super) again: u32,
    /// Where the time of its attempts went.
    pub(super) waits: Waits,
    pub(super) first_sent: Option<f64>,
    pub(super) lost: f64,
    pub(super) over: bool,
}

pub(super) enum Event {
    Arrive,
    Again(Box<ClientRequest>),
    Leave {
        gateway: usize,
        request: u64,
    },
    Reach {
        engine: usize,
        process: u32,
        attempt: Attempt,
        job: Box<Job>,
    },
    Cancel {
        engine: usize,
        attempt: Attempt,
    },
    Wake {
        engine: usize,
        stamp: u64,
    },
    Notes {
        engine: usize,
        stamp: u64,
    },
    Back {
        attempt: Attempt,
        outcome: Outcome,
        report: Vec<f64>,
    },
    Noted {
        attempt: Attempt,
        note: ProgressNote,
    },
    Tick {
        gateway: usize,
        at: u64,
    },
    News {
        gateway: usize,
        engine: usize,
        entry: Box<EngineEntry>,
        at: u64,
    },
    Hand {
        gateway: usize,
        engine: usize,
        out: bool,
    },
    Fault(usize),
    Over(usize, Vec<usize>),
    Step(FaultStep),
    Look,
}

/// One thing done to one engine by trouble.
pub(super) enum FaultStep {
    Start(usize),
    ListOut(usize),
    ListIn(usize),
    HandIn(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    pub(super) gateway: usize,
    pub(super) id: AttemptId,
}

pub(super) struct ScheduledEvent {
    pub(super) at: f64,
    pub(super) seq: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.seq.cmp(&other.seq))
    }
}
