//! The wire's types and their translation; no decision is made here.

use query_dispatcher::config::{FleetSettings, NameTable, position_of};
use query_dispatcher::*;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum In {
    Turn {
        ts: f64,
    },
    Commit,
    Table {
        list: u64,
        members: Vec<Member>,
    },
    Provision {
        gateway_id: String,
        prng: u64,
        profile_data: Box<FleetSettings>,
    },
    Membership {
        gateway_id: String,
        how: How,
        list: Option<u64>,
    },
    Inbound(Inbound),
    Ended(EndedIn),
    Health {
        gateway_id: String,
        engine: String,
        how: Status,
        metrics: Option<Vec<f64>>,
    },
    Progress {
        gateway_id: String,
        corr: u32,
        go: u32,
        x: Option<f64>,
        kind: u32,
    },
    Message {
        gateway_id: String,
        content: String,
    },
    Killed {
        gateway_id: String,
    },
    ClientLeft {
        gateway_id: String,
        corr: u32,
    },
    Ring {
        gateway_id: String,
        nonce: u64,
    },
    UnderWay {
        gateway_id: String,
        corr: u32,
        go: u32,
    },
}

#[derive(Clone, Deserialize)]
pub struct Member {
    engine: String,
    class_of_host: Option<String>,
    ready_at: Option<f64>,
    az: Option<String>,
    stripe: Option<i64>,
    state: MemberState,
}

#[derive(Clone, Copy, Deserialize)]
enum MemberState {
    #[serde(rename = "IN")]
    In,
    #[serde(rename = "LAME")]
    Lame,
    #[serde(rename = "OUT")]
    Out,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum How {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    Pass,
    Fault,
    NoRoom,
    TooSlow,
    NoRoute,
    Cut,
    Undone,
    StaleSend,
}

#[derive(Deserialize)]
pub struct Inbound {
    pub gateway_id: String,
    corr: u32,
    data_group: Option<f64>,
    band: String,
    object: Option<String>,
    time_left: f64,
    footprint_mb: Option<f64>,
    est_cost: Option<f64>,
    team: Option<Name>,
}

/// A name, or the number 0 where there is none.
#[derive(Deserialize)]
#[serde(untagged)]
enum Name {
    Text(String),
    Number(#[allow(dead_code)] f64),
}

#[derive(Deserialize)]
pub struct EndedIn {
    pub gateway_id: String,
    corr: u32,
    pub engine: Option<String>,
    how: Status,
    delay_seen: f64,
    go: u32,
    #[serde(rename = "final")]
    last: bool,
    bill: Option<u64>,
    pub metrics: Option<Vec<f64>>,
}

impl Status {
    pub fn outcome(self) -> Outcome {
        match self {
            Status::Pass => Outcome::Served,
            Status::Fault => Outcome::Error,
            Status::NoRoom => Outcome::Rejected,
            Status::TooSlow => Outcome::TimedOut,
            Status::NoRoute => Outcome::Unreachable,
            Status::Cut => Outcome::Reset,
            Status::Undone => Outcome::Cancelled,
            Status::StaleSend => Outcome::NeverStarted,
        }
    }
}

pub fn query(names: &NameTable, q: Inbound) -> Result<Event, String> {
    let class = position_of(&names.classes, &q.band)
        .ok_or_else(|| format!("band: class {:?} is not listed", q.band))?;
    let tenant = match &q.team {
        Some(Name::Text(t)) => position_of(&names.tenants, t),
        _ => None,
    };
    Ok(Event::Query(Query {
        id: q.corr.into(),
        class,
        tenant,
        key: q.object,
        tables: q.data_group.map(f64::to_bits),
        time_left: q.time_left,
        work: q.est_cost.filter(|w| *w > 0.0),
        memory_mb: q.footprint_mb.filter(|m| *m > 0.0),
    }))
}

pub fn ended(names: &NameTable, e: EndedIn) -> Event {
    // A bill is 4096 x work in milliseconds + memory in steps of 4 MB.
    let bill = e.bill.filter(|b| names.reports_cost && *b > 0);
    Event::AttemptEnded(Ended {
        id: e.corr.into(),
        attempt: e.go,
        outcome: e.how.outcome(),
        last: e.last,
        latency: e.delay_seen,
        work: bill.map(|b| (b / 4096) as f64),
        memory_mb: bill.map(|b| (b % 4096 * 4) as f64),
        report: e.metrics.unwrap_or_default(),
    })
}

pub fn engines(names: &NameTable, how: How, members: Option<&Vec<Member>>) -> Event {
    let update = match how {
        How::Patch => ListUpdate::Patch,
        How::Whole => ListUpdate::Snapshot,
        How::StaleCopy => ListUpdate::Stale,
        How::Broken => return Event::DiscoveryFailed,
    };
    let entries = members
        .into_iter()
        .flatten()
        .map(|m| EngineEntry {
            engine: m.engine.clone(),
            state: match m.state {
                MemberState::In => EngineState::Ready,
                MemberState::Lame => EngineState::Draining,
                MemberState::Out => EngineState::Gone,
            },
            started: m.ready_at.filter(|t| *t > 0.0),
            kind: m
                .class_of_host
                .as_deref()
                .and_then(|k| position_of(&names.kinds, k)),
            zone: m.az.as_deref().and_then(|z| position_of(&names.zones, z)),
            cell: m.stripe.unwrap_or(0),
        })
        .collect();
    Event::EngineList { update, entries }
}

pub fn note(kind: u32, x: Option<f64>) -> Option<ProgressNote> {
    match kind {
        1 => x.map(ProgressNote::Completed),
        2 => x.map(ProgressNote::SpilledMemory),
        3 if x == Some(2.0) => Some(ProgressNote::WaitsForLoad),
        3 => Some(ProgressNote::WaitsForMemory),
        _ => None,
    }
}

#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
#[allow(clippy::enum_variant_names)] // the names are the wire's
pub enum Out<'a> {
    CallOut {
        gateway_id: &'a str,
        corr: u64,
        engine: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        try_for: Option<f64>,
    },
    Provide {
        gateway_id: &'a str,
        corr: u64,
        rank: u8,
        mem_mb: f64,
    },
    Retract {
        gateway_id: &'a str,
        corr: u64,
        go: u32,
    },
    Reject {
        gateway_id: &'a str,
        corr: u64,
        #[serde(skip_serializing_if = "Option::is_none")]
        not_before_for: Option<f64>,
    },
    Fail {
        gateway_id: &'a str,
        corr: u64,
    },
    SoundOut {
        gateway_id: &'a str,
        engine: &'a str,
    },
    SetAlarm {
        gateway_id: &'a str,
        moment: f64,
        nonce: u64,
    },
    Observe {
        gateway_id: &'a str,
        want: bool,
    },
    Print {
        gateway_id: &'a str,
        text: &'a str,
    },
    WritePeer {
        gateway_id: &'a str,
        content: &'a str,
    },
    Fault {
        gateway_id: &'a str,
        text: &'a str,
    },
    End,
}

impl<'a> Out<'a> {
    pub fn new(gateway_id: &'a str, action: &'a Action) -> Self {
        match action {
            Action::Send {
                id,
                engine,
                timeout,
            } => Out::CallOut {
                gateway_id,
                corr: *id,
                engine,
                try_for: *timeout,
            },
            Action::Terms {
                id,
                priority,
                memory_mb,
            } => Out::Provide {
                gateway_id,
                corr: *id,
                rank: *priority,
                mem_mb: *memory_mb,
            },
            Action::Cancel { id, attempt } => Out::Retract {
                gateway_id,
                corr: *id,
                go: *attempt,
            },
            Action::Refuse { id, retry_after } => Out::Reject {
                gateway_id,
                corr: *id,
                not_before_for: *retry_after,
            },
            Action::Fail { id } => Out::Fail {
                gateway_id,
                corr: *id,
            },
            Action::Probe { engine } => Out::SoundOut { gateway_id, engine },
            Action::Timer { at, token } => Out::SetAlarm {
                gateway_id,
                moment: *at,
                nonce: *token,
            },
            Action::Subscribe => Out::Observe {
                gateway_id,
                want: true,
            },
            Action::Log(text) => Out::Print { gateway_id, text },
        }
    }
}
