//! Events of the simulation and their order in time.

use super::{AttemptId, EngineEntry, Job, Outcome, ProgressNote, Waits};

/// A try of a client: its first request, or a retry after a rejection.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub(super) dispatcher: usize,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) job: Job,
    /// Estimated work as passed to the dispatcher, in milliseconds.
    pub(super) estimated_work: f64,
    pub(super) estimated_memory_mb: f64,
    /// Time of the first try, from which latency is measured.
    pub(super) first_tried_at: f64,
    /// Time at which the client gives up.
    pub(super) deadline: f64,
    pub(super) latency_objective: f64,
    pub(super) priority_weight: f64,
    pub(super) retries: u32,
    /// Time that the attempts spent in each state on their engines.
    pub(super) waits: Waits,
    pub(super) first_sent: Option<f64>,
    /// Time spent on attempts that were lost, in milliseconds.
    pub(super) lost_ms: f64,
    /// Whether the try was answered or its client disconnected.
    pub(super) finished: bool,
}

pub(super) enum Event {
    /// The next new request arrives.
    Arrival,
    /// A client retries after a rejection.
    Retry(Box<ClientRequest>),
    /// A client disconnects before its deadline.
    ClientDisconnect { dispatcher: usize, request: u64 },
    /// An attempt reaches its engine.
    AttemptArrival {
        engine: usize,
        incarnation: u32,
        attempt: Attempt,
        job: Box<Job>,
    },
    /// A cancellation reaches its engine.
    Cancel { engine: usize, attempt: Attempt },
    /// A query of an engine is expected to complete.
    EngineWakeup { engine: usize, generation: u64 },
    /// Progress notes of an engine are due.
    NotesDue { engine: usize, generation: u64 },
    /// The outcome of an attempt reaches its dispatcher.
    AttemptOutcome {
        attempt: Attempt,
        outcome: Outcome,
        report: Vec<f64>,
    },
    /// A progress note reaches its dispatcher.
    NoteArrival {
        attempt: Attempt,
        note: ProgressNote,
    },
    /// The wake-up time of a dispatcher's decisions has come.
    DispatcherWakeup { dispatcher: usize, at: u64 },
    /// A change of the endpoint list reaches a dispatcher.
    EndpointUpdate {
        dispatcher: usize,
        engine: usize,
        entry: Box<EngineEntry>,
        at: u64,
    },
    /// Operators begin or end an administrative drain at a dispatcher.
    AdministrativeDrain {
        dispatcher: usize,
        engine: usize,
        drained: bool,
    },
    /// A fault begins.
    FaultBegin(usize),
    /// A fault ends, with what it had affected.
    FaultEnd(usize, Vec<usize>),
    /// A later step of a fault is due.
    Step(FaultStep),
    /// A window of the report ends.
    WindowEnd,
}

/// A step of a fault that affects one engine.
pub(super) enum FaultStep {
    /// Starts the process, and lists the engine as ready.
    Start(usize),
    /// Lists the engine as draining.
    ListDraining(usize),
    /// Restarts the drained process, and lists the engine as ready.
    RestartDrained(usize),
    /// Ends the administrative drain at all dispatchers.
    EndAdministrativeDrain(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Attempt {
    pub(super) dispatcher: usize,
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
