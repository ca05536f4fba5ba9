//! Messages about attempts and health checks.

use super::InstanceId;
use query_dispatcher::config::NameTable;
use query_dispatcher::{Ended, Event, Millis, Outcome, ProgressNote, QueryId};
use serde::Deserialize;

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Deserialize)]
enum WireOutcome {
    #[serde(rename = "pass")]
    Served,
    #[serde(rename = "fault")]
    Error,
    #[serde(rename = "no_room")]
    Rejected,
    #[serde(rename = "too_slow")]
    TimedOut,
    #[serde(rename = "no_route")]
    Unreachable,
    #[serde(rename = "cut")]
    Reset,
    #[serde(rename = "undone")]
    Cancelled,
    #[serde(rename = "stale_send")]
    NeverStarted,
}

impl From<WireOutcome> for Outcome {
    fn from(outcome: WireOutcome) -> Self {
        match outcome {
            WireOutcome::Served => Outcome::Served,
            WireOutcome::Error => Outcome::Error,
            WireOutcome::Rejected => Outcome::Rejected,
            WireOutcome::TimedOut => Outcome::TimedOut,
            WireOutcome::Unreachable => Outcome::Unreachable,
            WireOutcome::Reset => Outcome::Reset,
            WireOutcome::Cancelled => Outcome::Cancelled,
            WireOutcome::NeverStarted => Outcome::NeverStarted,
        }
    }
}

/// Message that an attempt has ended.
#[derive(Deserialize)]
pub(crate) struct AttemptEndedMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "corr")]
    query: u32,
    /// Engine that answered, if any did.
    pub(crate) engine: Option<String>,
    #[serde(rename = "how")]
    outcome: WireOutcome,
    #[serde(rename = "delay_seen")]
    latency: Millis,
    #[serde(rename = "go")]
    attempt: u32,
    #[serde(rename = "final")]
    last: bool,
    #[serde(rename = "bill")]
    cost: Option<u64>,
    #[serde(rename = "metrics")]
    report: Option<Vec<f64>>,
}

impl AttemptEndedMessage {
    /// Returns the engine's load report; empty if the answer had none.
    pub(crate) fn report(&self) -> &[f64] {
        self.report.as_deref().unwrap_or_default()
    }

    pub(crate) fn event(self, names: &NameTable) -> Event {
        let cost = self.cost.filter(|cost| names.reports_cost && *cost > 0);
        let cost = cost.map(QueryCost::decode);
        Event::AttemptEnded(Ended {
            id: self.query.into(),
            attempt: self.attempt,
            outcome: self.outcome.into(),
            last: self.last,
            latency: self.latency,
            work: cost.map(|cost| cost.work),
            memory_mb: cost.map(|cost| cost.memory_mb),
            report: self.report.unwrap_or_default(),
        })
    }
}

/// Actual cost of a query: its work, as time on one thread, and its memory.
#[derive(Clone, Copy)]
struct QueryCost {
    work: Millis,
    memory_mb: f64,
}

impl QueryCost {
    /// Multiplier of the work in the encoded cost, whose remainder modulo this value encodes the memory.
    const WORK_UNIT: u64 = 4096;
    /// Unit of the encoded memory, in megabytes.
    const MEMORY_STEP_MB: u64 = 4;

    fn decode(cost: u64) -> Self {
        QueryCost {
            work: (cost / Self::WORK_UNIT) as f64,
            memory_mb: (cost % Self::WORK_UNIT * Self::MEMORY_STEP_MB) as f64,
        }
    }
}

/// Message that a health check has ended.
#[derive(Deserialize)]
pub(crate) struct EngineReportMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    engine: String,
    #[serde(rename = "how")]
    outcome: WireOutcome,
    #[serde(rename = "metrics")]
    report: Option<Vec<f64>>,
}

impl EngineReportMessage {
    pub(crate) fn event(self) -> Event {
        Event::EngineReport {
            engine: self.engine,
            outcome: self.outcome.into(),
            report: self.report.unwrap_or_default(),
        }
    }
}

/// Progress note of a running attempt.
#[derive(Deserialize)]
pub(crate) struct ProgressMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "corr")]
    query: u32,
    #[serde(rename = "go")]
    attempt: u32,
    #[serde(rename = "x")]
    value: Option<f64>,
    kind: u32,
}

impl ProgressMessage {
    const DONE: u32 = 1;
    const SPILLS: u32 = 2;
    const WAITS: u32 = 3;
    /// Value with [`Self::WAITS`] if the attempt waits for a load; with any other value it waits for memory.
    const FOR_LOAD: f64 = 2.0;

    /// Returns the event, or `None` if the kind of note is unknown or its value is missing.
    pub(crate) fn event(&self) -> Option<Event> {
        Some(Event::Progress {
            id: QueryId::from(self.query),
            attempt: self.attempt,
            note: self.note()?,
        })
    }

    fn note(&self) -> Option<ProgressNote> {
        match self.kind {
            Self::DONE => self.value.map(ProgressNote::Completed),
            Self::SPILLS => self.value.map(ProgressNote::SpilledMemory),
            Self::WAITS if self.value == Some(Self::FOR_LOAD) => Some(ProgressNote::WaitsForLoad),
            Self::WAITS => Some(ProgressNote::WaitsForMemory),
            _ => None,
        }
    }
}
