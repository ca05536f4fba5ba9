//! Reports on attempts and of engines.

use super::InstanceId;
use query_dispatcher::config::NameTable;
use query_dispatcher::{Ended, Event, Millis, Outcome, ProgressNote, QueryId};
use serde::Deserialize;

/// How an attempt or a health check ended.
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

/// An attempt has ended.
#[derive(Deserialize)]
pub(crate) struct AttemptEndedMessage {
    #[serde(rename = "gateway_id")]
    pub(crate) instance: InstanceId,
    #[serde(rename = "corr")]
    query: u32,
    /// The engine that answered, where one did.
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
    /// The engine's load report; empty where the answer had none.
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

/// The work, as time on one thread, and the memory that a query really took.
#[derive(Clone, Copy)]
struct QueryCost {
    work: Millis,
    memory_mb: f64,
}

impl QueryCost {
    /// Milliseconds are counted in this many, so that the rest of the division is the memory.
    const WORK_UNIT: u64 = 4096;
    /// The rest counts megabytes in steps of this many.
    const MEMORY_STEP_MB: u64 = 4;

    fn decode(cost: u64) -> Self {
        QueryCost {
            work: (cost / Self::WORK_UNIT) as f64,
            memory_mb: (cost % Self::WORK_UNIT * Self::MEMORY_STEP_MB) as f64,
        }
    }
}

/// A health check has ended.
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

/// A running attempt reports its progress.
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
    /// The value of [`Self::WAITS`] where the attempt waits for a load; else it waits for memory.
    const FOR_LOAD: f64 = 2.0;

    /// `None` if the kind of report is not known, or has no value.
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
