//! The wire's types and their translation; no decision is made here.

use garnetdrum::*;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum In {
    Turn { ts: f64 },
    Commit,
    Table { list: u64, members: Vec<Member> },
    Provision { gateway_id: String, prng: u64, profile_data: Box<Profile> },
    Membership { gateway_id: String, how: How, list: Option<u64> },
    Inbound(Inbound),
    Ended(EndedIn),
    Health { gateway_id: String, engine: String, how: Status, delay_seen: f64, metrics: Option<Vec<f64>> },
    Progress { gateway_id: String, corr: u32, go: u32, x: Option<f64>, kind: u32 },
    Message { gateway_id: String },
    Killed { gateway_id: String },
    ClientLeft { gateway_id: String, corr: u32 },
    Ring { gateway_id: String, nonce: u64 },
    UnderWay { gateway_id: String, corr: u32, go: u32 },
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
    how: Status,
    delay_seen: f64,
    go: u32,
    #[serde(rename = "final")]
    last: bool,
    bill: Option<u64>,
    metrics: Option<Vec<f64>>,
}

#[derive(Deserialize)]
pub struct Profile {
    ceilings: Ceilings,
    deductions: Option<Deductions>,
    discovery: Option<String>,
    extra: Option<Extra>,
    feedback: Option<Feedback>,
    fleet_size: u32,
    grades: Vec<Grade>,
    locality: Option<String>,
    machine_types: Vec<String>,
    over_share_worth: Option<f64>,
    rules: RulesIn,
    step: f64,
    tenants: Option<Vec<TenantIn>>,
    zones: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct Ceilings {
    cancel: Option<bool>,
    max_retry_after: Option<f64>,
    most_tries: Option<u32>,
    probes: Option<bool>,
    retry_after: Option<bool>,
    second_copies: Option<bool>,
}

#[derive(Deserialize)]
struct Deductions {
    cross_zone: Option<f64>,
}

#[derive(Default, Deserialize)]
struct Extra {
    #[serde(default)]
    class_waits: Vec<bool>,
    #[serde(default)]
    cores_by_kind: Vec<f64>,
    cost_in_answers: Option<bool>,
    #[serde(default)]
    holds_tables: Vec<bool>,
    most_grant: Option<f64>,
    on_shortage: Option<String>,
    #[serde(default)]
    ram_of_kind_mb: Vec<f64>,
    takes_grants: Option<bool>,
    takes_priority: Option<bool>,
    #[serde(default)]
    width_by_class: Vec<f64>,
}

#[derive(Deserialize)]
struct Feedback {
    fields: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct Grade {
    name: String,
    aim: f64,
    aim_stretch: Option<f64>,
    dedup_window: Option<f64>,
    effect: String,
    group: Option<String>,
    late_share: Option<f64>,
    one_at_a_time: Option<bool>,
    confined_to: Option<Vec<String>>,
    machine_types_only: Option<Vec<String>>,
    worth: f64,
}

#[derive(Deserialize)]
struct RulesIn {
    budget_span: Option<f64>,
    cold_from: f64,
    drain_grace: f64,
    extra_per_request: Option<f64>,
    fall_multiple: f64,
    grace_to_answer: f64,
    overload_for: f64,
    spare_attempts: Option<f64>,
    turn_gap: Option<f64>,
    warm_within: f64,
}

#[derive(Deserialize)]
struct TenantIn {
    name: String,
    quota_per_s: Option<f64>,
}

/// Names to numbers, as one instance's settings list them.
pub struct Names {
    classes: Vec<String>,
    kinds: Vec<String>,
    zones: Vec<String>,
    tenants: Vec<String>,
    tells_cost: bool,
}

fn find(list: &[String], name: &str) -> Option<usize> {
    list.iter().position(|n| n == name)
}

fn at<T: Copy>(list: &[T], i: usize, absent: T, len: usize, field: &str) -> Result<T, String> {
    match list.len() {
        0 => Ok(absent),
        n if n == len => Ok(list[i]),
        n => Err(format!("{field}: {n} entries where {len} belong")),
    }
}

impl Profile {
    pub fn settings(self) -> Result<(Settings, Names), String> {
        let x = self.extra.unwrap_or_default();
        let zones = self.zones.unwrap_or_default();
        let kinds = self.machine_types;
        let n = self.grades.len();
        let mut classes = Vec::with_capacity(n);
        for (i, g) in self.grades.iter().enumerate() {
            let effect = match g.effect.as_str() {
                "retryable" => Effect::Safe,
                "fragile" => Effect::Unsafe,
                "dedup" => Effect::Keyed {
                    group: match g.group.as_deref() {
                        Some("all") => Group::All,
                        Some("zone") => Group::Zone,
                        Some("cell") | None => Group::Cell,
                        Some(other) => return Err(format!("grades[{i}].group: unknown word {other:?}")),
                    },
                    window: g.dedup_window.unwrap_or(0.0),
                },
                other => return Err(format!("grades[{i}].effect: unknown word {other:?}")),
            };
            // A name that is not listed can match no engine: it is left out, which is the stricter reading.
            let numbers = |names: &Option<Vec<String>>, list: &[String]| {
                names.as_ref().map(|v| v.iter().filter_map(|s| find(list, s)).collect())
            };
            classes.push(Class {
                worth: g.worth,
                aim: g.aim,
                aim_stretch: g.aim_stretch.unwrap_or(0.0),
                late_share: g.late_share.unwrap_or(0.0),
                effect,
                in_order: g.one_at_a_time.unwrap_or(false),
                only_zones: numbers(&g.confined_to, &zones),
                only_kinds: numbers(&g.machine_types_only, &kinds),
                threads: at(&x.width_by_class, i, 1.0, n, "extra.width_by_class")?,
                holds_tables: at(&x.holds_tables, i, false, n, "extra.holds_tables")?,
                waits_for_loads: at(&x.class_waits, i, false, n, "extra.class_waits")?,
            });
        }
        let m = kinds.len();
        let kind_facts = (0..m)
            .map(|i| {
                Ok(Kind {
                    cores: at(&x.cores_by_kind, i, 1.0, m, "extra.cores_by_kind")?,
                    memory_mb: at(&x.ram_of_kind_mb, i, 0.0, m, "extra.ram_of_kind_mb")?,
                })
            })
            .collect::<Result<_, String>>()?;
        let tenants = self.tenants.unwrap_or_default();
        let r = self.rules;
        let budget = (r.budget_span, r.spare_attempts, r.extra_per_request);
        let c = self.ceilings;
        let fields = self.feedback.and_then(|f| f.fields).unwrap_or_default();
        let tells_cost = x.cost_in_answers.unwrap_or(false);
        let settings = Settings {
            gateways: self.fleet_size,
            zone: self.locality.and_then(|z| find(&zones, &z)),
            step: self.step,
            classes,
            tenants: tenants
                .iter()
                .map(|t| Tenant { quota_per_s: t.quota_per_s.unwrap_or(f64::MAX) })
                .collect(),
            kinds: kind_facts,
            over_share_worth: self.over_share_worth.unwrap_or(1.0),
            limits: Limits {
                most_attempts: c.most_tries.unwrap_or(1),
                second_copies: c.second_copies.unwrap_or(false),
                cancel: c.cancel.unwrap_or(false),
                probes: c.probes.unwrap_or(false),
                retry_advice: c.retry_after.unwrap_or(false),
                max_retry_after: c.max_retry_after.unwrap_or(0.0),
            },
            engines: EngineFacts {
                takes_grants: x.takes_grants.unwrap_or(false),
                takes_priority: x.takes_priority.unwrap_or(false),
                most_grant: x.most_grant.unwrap_or(0.0),
                tells_cost,
                overcommits: x.on_shortage.as_deref() == Some("overcommit"),
            },
            rules: Rules {
                answer_grace: r.grace_to_answer,
                drain_grace: r.drain_grace,
                cold_from: r.cold_from,
                warm_within: r.warm_within,
                fall_multiple: r.fall_multiple,
                fall_window: r.overload_for,
                order_rest: r.turn_gap.unwrap_or(0.0),
                attempt_budget: match budget {
                    (None, None, None) => None,
                    (span, free, share) => Some(AttemptBudget {
                        span: span.unwrap_or(0.0),
                        free: free.unwrap_or(0.0),
                        share: share.unwrap_or(0.0),
                    }),
                },
            },
            report_fields: fields
                .iter()
                .map(|f| match f.as_str() {
                    "rif" => ReportField::Inflight,
                    "q" => ReportField::MemoryQueue,
                    "busy" => ReportField::CpuBusy,
                    "x0" => ReportField::MemoryGranted,
                    "x1" => ReportField::DiskBusy,
                    _ => ReportField::Other,
                })
                .collect(),
            must_subscribe: self.discovery.as_deref() == Some("subscribe"),
            cross_zone_price: self.deductions.and_then(|d| d.cross_zone).unwrap_or(0.0),
        };
        let names = Names {
            classes: self.grades.into_iter().map(|g| g.name).collect(),
            kinds,
            zones,
            tenants: tenants.into_iter().map(|t| t.name).collect(),
            tells_cost,
        };
        Ok((settings, names))
    }
}

impl Status {
    pub fn outcome(self) -> Outcome {
        match self {
            Status::Pass => Outcome::Served,
            Status::Fault => Outcome::Error,
            Status::NoRoom => Outcome::Full,
            Status::TooSlow => Outcome::TimedOut,
            Status::NoRoute => Outcome::Unreachable,
            Status::Cut => Outcome::Reset,
            Status::Undone => Outcome::Cancelled,
            Status::StaleSend => Outcome::Moot,
        }
    }
}

impl Names {
    pub fn query(&self, q: Inbound) -> Result<Event, String> {
        let class =
            find(&self.classes, &q.band).ok_or_else(|| format!("band: class {:?} is not listed", q.band))?;
        let tenant = match &q.team {
            Some(Name::Text(t)) => find(&self.tenants, t),
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

    pub fn ended(&self, e: EndedIn) -> Event {
        // A bill is 4096 x work in milliseconds + memory in steps of 4 MB.
        let bill = e.bill.filter(|b| self.tells_cost && *b > 0);
        Event::Ended(Ended {
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

    pub fn engines(&self, how: How, members: Option<&Vec<Member>>) -> Event {
        let update = match how {
            How::Patch => ListUpdate::Patch,
            How::Whole => ListUpdate::Whole,
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
                kind: m.class_of_host.as_deref().and_then(|k| find(&self.kinds, k)),
                zone: m.az.as_deref().and_then(|z| find(&self.zones, z)),
                cell: m.stripe.unwrap_or(0),
            })
            .collect();
        Event::Engines { update, entries }
    }
}

pub fn note(kind: u32, x: Option<f64>) -> Option<Note> {
    match kind {
        1 => x.map(Note::Done),
        2 => x.map(Note::Spills),
        3 if x == Some(2.0) => Some(Note::WaitsForLoad),
        3 => Some(Note::WaitsForMemory),
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
    Fault {
        gateway_id: &'a str,
        text: &'a str,
    },
    End,
}

impl<'a> Out<'a> {
    pub fn new(gateway_id: &'a str, action: &'a Action) -> Self {
        match action {
            Action::Send { id, engine, timeout } => {
                Out::CallOut { gateway_id, corr: *id, engine, try_for: *timeout }
            }
            Action::Terms { id, priority, memory_mb } => {
                Out::Provide { gateway_id, corr: *id, rank: *priority, mem_mb: *memory_mb }
            }
            Action::Cancel { id, attempt } => Out::Retract { gateway_id, corr: *id, go: *attempt },
            Action::Refuse { id, retry_after } => {
                Out::Reject { gateway_id, corr: *id, not_before_for: *retry_after }
            }
            Action::Fail { id } => Out::Fail { gateway_id, corr: *id },
            Action::Probe { engine } => Out::SoundOut { gateway_id, engine },
            Action::Timer { at, token } => Out::SetAlarm { gateway_id, moment: *at, nonce: *token },
            Action::Subscribe => Out::Observe { gateway_id, want: true },
            Action::Log(text) => Out::Print { gateway_id, text },
        }
    }
}
