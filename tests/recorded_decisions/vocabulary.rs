//! Adapter to the library's public interface. Events are built and actions are written as text here alone,
//! so that the recorded text stays the same when types, variants or fields are renamed.

use crate::random::Random;
use crate::record::{bits, optional_bits};
use query_dispatcher::core::{Answer, AttemptId, Command, StartAttempt};
use query_dispatcher::{
    Action, Ended, EngineEntry, EngineState, Event, ListUpdate, Outcome, Query, ReportField,
    Settings,
};

pub(crate) use query_dispatcher::core::{Core, NewRequest};
pub(crate) use query_dispatcher::gossip::GossipBudget;
pub(crate) use query_dispatcher::{
    Controller, EngineState as ListedState, Event as ControllerEvent, ListUpdate as Update,
    Outcome as Ending, ProgressNote, Settings as AllSettings,
};

/// A simulated engine.
#[derive(Clone)]
pub(crate) struct SimulatedEngine {
    pub(crate) name: String,
    pub(crate) state: ListedState,
    pub(crate) started: Option<f64>,
    pub(crate) kind: usize,
    pub(crate) zone: usize,
    pub(crate) cell: i64,
    /// Factor by which its attempts take longer than usual.
    pub(crate) slowness: f64,
    /// The process does not respond, whatever state the list gives.
    pub(crate) unresponsive: bool,
    /// Number of attempts in flight.
    pub(crate) in_flight: usize,
}

/// A new request.
pub(crate) struct Arrival {
    pub(crate) request: u64,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) key: Option<String>,
    pub(crate) table_group: Option<u64>,
    pub(crate) time_left: f64,
    pub(crate) work: Option<f64>,
    pub(crate) memory_mb: Option<f64>,
}

/// The end of an attempt.
pub(crate) struct AttemptEnd {
    pub(crate) request: u64,
    pub(crate) attempt: u32,
    pub(crate) outcome: Ending,
    pub(crate) last: bool,
    pub(crate) latency: f64,
    pub(crate) work: Option<f64>,
    pub(crate) memory_mb: Option<f64>,
    pub(crate) report: Vec<f64>,
}

/// The part of an action that the streams respond to.
pub(crate) enum Observed {
    Sent { request: u64, engine: String },
    CancelRequested { request: u64, attempt: u32 },
    Closed { request: u64 },
    ProbeRequested { engine: String },
    TimerRequested { at: f64, token: u64 },
    ListRequested,
    Ignored,
}

/// Returns the list entry of an engine.
pub(crate) fn entry(engine: &SimulatedEngine) -> EngineEntry {
    EngineEntry {
        engine: engine.name.clone(),
        state: engine.state,
        started: engine.started,
        kind: Some(engine.kind),
        zone: Some(engine.zone),
        cell: engine.cell,
    }
}

pub(crate) fn list_event(update: Update, engines: &[SimulatedEngine]) -> Event {
    Event::EngineList {
        update,
        entries: engines.iter().map(entry).collect(),
    }
}

pub(crate) fn list_failure_event() -> Event {
    Event::DiscoveryFailed
}

pub(crate) fn arrival_event(arrival: Arrival) -> Event {
    Event::Query(Query {
        id: arrival.request,
        class: arrival.class,
        tenant: arrival.tenant,
        key: arrival.key,
        tables: arrival.table_group,
        time_left: arrival.time_left,
        work: arrival.work,
        memory_mb: arrival.memory_mb,
    })
}

pub(crate) fn end_event(end: AttemptEnd) -> Event {
    Event::AttemptEnded(Ended {
        id: end.request,
        attempt: end.attempt,
        outcome: end.outcome,
        last: end.last,
        latency: end.latency,
        work: end.work,
        memory_mb: end.memory_mb,
        report: end.report,
    })
}

pub(crate) fn load_event(engine: &str, outcome: Ending, report: Vec<f64>) -> Event {
    Event::EngineReport {
        engine: engine.to_string(),
        outcome,
        report,
    }
}

pub(crate) fn note_event(request: u64, attempt: u32, note: ProgressNote) -> Event {
    Event::Progress {
        id: request,
        attempt,
        note,
    }
}

pub(crate) fn streaming_event(request: u64, attempt: u32) -> Event {
    Event::Streaming {
        id: request,
        attempt,
    }
}

pub(crate) fn client_left_event(request: u64) -> Event {
    Event::ClientDisconnected(request)
}

pub(crate) fn timer_event(token: u64) -> Event {
    Event::Timer(token)
}

/// Returns the kind of line that an event has in the record.
pub(crate) fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::EngineList {
            update: ListUpdate::Patch,
            ..
        } => "list-patch",
        Event::EngineList {
            update: ListUpdate::Snapshot,
            ..
        } => "list-whole",
        Event::EngineList {
            update: ListUpdate::Stale,
            ..
        } => "list-stale",
        Event::DiscoveryFailed => "list-failure",
        Event::Query(_) => "arrival",
        Event::AttemptEnded(ended) => outcome_kind(ended.outcome),
        Event::EngineReport { .. } => "load-report",
        Event::Progress { note, .. } => note_kind(*note),
        Event::Streaming { .. } => "streaming",
        Event::ClientDisconnected(_) => "client-left",
        Event::Timer(_) => "timer",
    }
}

pub(crate) fn outcome_kind(outcome: Ending) -> &'static str {
    match outcome {
        Outcome::Served => "end-served",
        Outcome::Error => "end-error",
        Outcome::Rejected => "end-full",
        Outcome::TimedOut => "end-timed-out",
        Outcome::Unreachable => "end-unreachable",
        Outcome::Reset => "end-reset",
        Outcome::Cancelled => "end-cancelled",
        Outcome::NeverStarted => "end-not-sent",
    }
}

pub(crate) fn note_kind(note: ProgressNote) -> &'static str {
    match note {
        ProgressNote::Completed(_) => "note-done",
        ProgressNote::SpilledMemory(_) => "note-spills",
        ProgressNote::WaitsForMemory => "note-waits-memory",
        ProgressNote::WaitsForLoad => "note-waits-load",
        ProgressNote::Idle => "note-idle",
        ProgressNote::Active => "note-works",
    }
}

/// Returns the kind and the details of the line that records an action.
pub(crate) fn action_text(action: &Action) -> (&'static str, String) {
    match action {
        Action::Send {
            id,
            engine,
            timeout,
        } => ("send", format!("{id} {engine} {}", optional_bits(*timeout))),
        Action::Terms {
            id,
            priority,
            memory_mb,
        } => ("terms", format!("{id} {priority} {}", bits(*memory_mb))),
        Action::Cancel { id, attempt } => ("cancel", format!("{id} {attempt}")),
        Action::Refuse { id, retry_after } => {
            ("refuse", format!("{id} {}", optional_bits(*retry_after)))
        }
        Action::Fail { id } => ("fail", id.to_string()),
        Action::Probe { engine } => ("probe", engine.clone()),
        Action::Timer { at, token } => ("wake", format!("{} {token}", bits(*at))),
        Action::Subscribe => ("subscribe", String::new()),
        Action::Log(text) => ("log", text.clone()),
    }
}

pub(crate) fn observe(action: &Action) -> Observed {
    match action {
        Action::Send { id, engine, .. } => Observed::Sent {
            request: *id,
            engine: engine.clone(),
        },
        Action::Cancel { id, attempt } => Observed::CancelRequested {
            request: *id,
            attempt: *attempt,
        },
        Action::Refuse { id, .. } | Action::Fail { id } => Observed::Closed { request: *id },
        Action::Probe { engine } => Observed::ProbeRequested {
            engine: engine.clone(),
        },
        Action::Timer { at, token } => Observed::TimerRequested {
            at: *at,
            token: *token,
        },
        Action::Subscribe => Observed::ListRequested,
        Action::Terms { .. } | Action::Log(_) => Observed::Ignored,
    }
}

/// Returns the kind and the details of the line that records a command of the request core.
pub(crate) fn command_text(command: &Command) -> (&'static str, String) {
    match command {
        Command::Start(StartAttempt {
            attempt,
            engine,
            deadline,
            write_by,
            memory_mb,
            exclusive_connection,
        }) => {
            let numbers = [*deadline, *write_by, *memory_mb].map(bits).join(" ");
            (
                "start",
                format!(
                    "{} {engine} {numbers} {exclusive_connection}",
                    attempt_text(*attempt)
                ),
            )
        }
        Command::Cancel { attempt } => ("drop", attempt_text(*attempt)),
        Command::Answer { request, answer } => {
            let (kind, details) = answer_text(answer);
            (kind, format!("{request} {details}"))
        }
        Command::Log(text) => ("say", text.clone()),
        Command::Broadcast(message) => ("tell", format!("{message:?}")),
    }
}

fn attempt_text(attempt: AttemptId) -> String {
    format!("{}/{}", attempt.request, attempt.index)
}

fn answer_text(answer: &Answer) -> (&'static str, String) {
    match answer {
        Answer::Served(attempt) => ("answer-served", attempt_text(*attempt)),
        Answer::Rejected {
            retry_after,
            reason,
        } => (
            "answer-refused",
            format!("{} {reason}", optional_bits(*retry_after)),
        ),
        Answer::Failed { reason } => ("answer-failed", (*reason).to_string()),
        Answer::TimedOut { retry_safe } => ("answer-timed-out", retry_safe.to_string()),
    }
}

pub(crate) fn entry_text(entry: Option<EngineEntry>) -> String {
    entry.map_or_else(
        || "-".to_string(),
        |entry| {
            let state = match entry.state {
                EngineState::Ready => "ready",
                EngineState::Draining => "draining",
                EngineState::Gone => "gone",
            };
            let place = format!("{:?} {:?} {}", entry.kind, entry.zone, entry.cell);
            format!(
                "{} {state} {} {place}",
                entry.engine,
                optional_bits(entry.started)
            )
        },
    )
}

/// Returns the attempt that a command starts or cancels, and the engine if it starts.
pub(crate) fn attempt_of(command: &Command) -> Option<(AttemptId, Option<String>)> {
    match command {
        Command::Start(StartAttempt {
            attempt, engine, ..
        }) => Some((*attempt, Some(engine.clone()))),
        Command::Cancel { attempt } => Some((*attempt, None)),
        _ => None,
    }
}

/// Returns the gossip message that a command broadcasts.
pub(crate) fn broadcast_message(command: &Command) -> Option<Vec<u8>> {
    match command {
        Command::Broadcast(message) => Some(message.clone()),
        _ => None,
    }
}

/// Draws the outcome of an attempt at a responsive engine: mostly served, sometimes one of the failures.
pub(crate) fn draw_outcome(random: &mut Random, failure_weight: u32) -> Ending {
    random.weighted(&[
        (Outcome::Served, 100),
        (Outcome::Error, 2 * failure_weight),
        (Outcome::Rejected, 2 * failure_weight),
        (Outcome::TimedOut, failure_weight),
        (Outcome::Reset, failure_weight),
        (Outcome::NeverStarted, 1),
    ])
}

/// Draws a progress note of a running attempt; `completed` is the completed part of its work.
pub(crate) fn draw_note(random: &mut Random, completed: f64) -> ProgressNote {
    let missing_mb = random.between(10.0, 4000.0);
    random.weighted(&[
        (ProgressNote::Completed(completed), 60),
        (ProgressNote::Completed(f64::NAN), 1),
        (ProgressNote::SpilledMemory(missing_mb), 8),
        (ProgressNote::WaitsForMemory, 5),
        (ProgressNote::WaitsForLoad, 5),
        (ProgressNote::Idle, 4),
        (ProgressNote::Active, 4),
    ])
}

/// Draws an engine's load report with its fields in the order of the settings; a few reports are invalid or
/// empty.
pub(crate) fn draw_report(random: &mut Random, settings: &Settings, in_flight: usize) -> Vec<f64> {
    if random.chance(0.04) {
        return random
            .pick(&[[f64::NAN, 1.0], [-1.0, 0.5], [f64::INFINITY, 0.0]])
            .to_vec();
    }
    if random.chance(0.05) {
        return vec![];
    }
    let load = in_flight as f64 + random.between(0.0, 8.0);
    let mut value = |field: &ReportField| match field {
        ReportField::Inflight => load,
        ReportField::MemoryQueue => (load - 12.0).max(0.0),
        ReportField::CpuBusy => (load / 16.0).min(1.0),
        ReportField::MemoryGranted => (load * random.between(0.02, 0.09)).min(1.0),
        ReportField::DiskBusy => random.between(0.0, 1.0),
        ReportField::Other => random.between(0.0, 100.0),
    };
    settings.report_fields.iter().map(&mut value).collect()
}
