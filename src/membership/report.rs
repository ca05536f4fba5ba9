//! What operators are shown of membership: the JSON of `GET /_members`. Ages are milliseconds before the call.

use crate::decision::model::{EngineState, Millis};
use crate::membership::registry_view::{Membership, Source};
use crate::membership::source_records::{Reported, Version};
use serde::Serialize;
use std::net::SocketAddr;

/// Which engines are asked for, as the call's query says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Query {
    /// At most so many.
    pub limit: Option<usize>,
    /// Only ids behind this one.
    pub after: Option<String>,
    pub only: Option<Only>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Only {
    Ready,
    Draining,
    Gone,
    Held,
    Contradicted,
    Unproven,
}

/// A report holds no more engines; the next call goes on behind `next`.
pub const MOST: usize = 1000;

/// What is wrong with a query.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum QueryError {
    #[error("limit: {0:?} is no number from 1 to {MOST}")]
    Limit(String),
    #[error("only: {0:?} is none of ready, draining, gone, held, contradicted, unproven")]
    Only(String),
    #[error("{0:?} is none of limit, after, only")]
    Key(String),
}

impl Query {
    /// Reads `limit=…&after=…&only=…`, escaped as in a form.
    ///
    /// # Errors
    /// An unknown key or a value out of range, by name.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let mut query = Query::default();
        for (key, value) in url::form_urlencoded::parse(text.as_bytes()) {
            match key.as_ref() {
                "limit" => {
                    let n = value.parse().ok().filter(|n| (1..=MOST).contains(n));
                    query.limit = Some(n.ok_or_else(|| QueryError::Limit(value.to_string()))?);
                }
                "after" => query.after = Some(value.into_owned()),
                "only" => {
                    query.only = Some(match value.as_ref() {
                        "ready" => Only::Ready,
                        "draining" => Only::Draining,
                        "gone" => Only::Gone,
                        "held" => Only::Held,
                        "contradicted" => Only::Contradicted,
                        "unproven" => Only::Unproven,
                        other => return Err(QueryError::Only(other.into())),
                    });
                }
                other => return Err(QueryError::Key(other.into())),
            }
        }
        Ok(query)
    }
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub sources: Vec<SourceReport>,
    /// The age of the snapshot that this process started from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub snapshot_age_ms: Option<f64>,
    pub counts: Counts,
    pub members: Vec<MemberReport>,
    /// Where the next call goes on, if there are more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
    pub rejected: Vec<RejectedReport>,
}

#[derive(Debug, Serialize)]
pub struct SourceReport {
    pub name: String,
    /// Whether its claims count.
    pub answers: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub answered_age_ms: Option<f64>,
    pub whole_lists: u64,
    pub deltas: u64,
    pub failures: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_failure: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub last_failure_age_ms: Option<f64>,
}

#[derive(Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    pub ready: usize,
    pub draining: usize,
    pub held: usize,
    pub contradicted: usize,
    pub unproven: usize,
    #[serde(rename = "by_hand")]
    pub administratively_drained: usize,
    /// Gone and still remembered.
    pub gone: usize,
    pub rejections: u64,
    pub beyond_bound: u64,
    /// Facts that came after a newer one.
    pub passed_over: u64,
}

#[derive(Debug, Serialize)]
pub struct MemberReport {
    pub id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    pub state: &'static str,
    pub why: String,
    pub state_age_ms: f64,
    /// How often it has gone from one state to another.
    pub turns: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started_age_ms: Option<f64>,
    pub version: Version,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub contradiction: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub unproven: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    #[serde(rename = "by_hand")]
    pub administratively_drained: bool,
    /// Connections show that nobody is there.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub connections_lost: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held: Option<HeldReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub superseded_by: Option<String>,
    pub claims: Vec<ClaimReport>,
}

#[derive(Debug, Serialize)]
pub struct HeldReport {
    pub why: String,
    pub ends_in_ms: f64,
}

#[derive(Debug, Serialize)]
pub struct ClaimReport {
    pub source: String,
    pub says: String,
    pub version: Version,
    pub since_age_ms: f64,
    /// The instance itself has told something newer since.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub older: bool,
}

#[derive(Debug, Serialize)]
pub struct RejectedReport {
    pub id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    pub why: String,
    pub times: u64,
    pub last_age_ms: f64,
}

fn age(now: Millis, at: Millis) -> f64 {
    (now - at).max(0.0).round()
}

impl Membership {
    /// The figures of all engines, without the engines.
    pub fn counts(&self) -> Counts {
        let mut c = Counts::default();
        for (id, m) in self.members() {
            match m.state() {
                EngineState::Ready => c.ready += 1,
                EngineState::Draining => c.draining += 1,
                EngineState::Gone => c.gone += 1,
            }
            c.held += usize::from(m.held.is_some());
            c.contradicted += usize::from(m.belief.why.contradicts());
            c.unproven += usize::from(m.unproven.is_some());
            c.administratively_drained += usize::from(self.is_administratively_drained(id));
            c.passed_over += m.claims.passed_over;
        }
        c.rejections = self.rejected().1;
        c.beyond_bound = self.overflow();
        c
    }

    /// What is believed of the engines that are asked for, and why.
    pub fn report(&self, now: Millis, query: &Query) -> Report {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = query.after.clone().map_or(Unbounded, Excluded);
        let limit = query.limit.unwrap_or(MOST).min(MOST);
        let mut members = vec![];
        let mut next = None;
        for (id, m) in self.members().range((from, Unbounded)) {
            let asked = match query.only {
                None => m.state() != EngineState::Gone,
                Some(Only::Ready) => m.state() == EngineState::Ready,
                Some(Only::Draining) => m.state() == EngineState::Draining,
                Some(Only::Gone) => m.state() == EngineState::Gone,
                Some(Only::Held) => m.held.is_some(),
                Some(Only::Contradicted) => m.belief.why.contradicts(),
                Some(Only::Unproven) => m.unproven.is_some(),
            };
            if !asked {
                continue;
            }
            if members.len() == limit {
                next = members.last().map(|m: &MemberReport| m.id.clone());
                break;
            }
            let held = m.held.as_ref().map(|h| HeldReport {
                why: format!("{} of {} engines vanished at once", h.vanished, h.of),
                ends_in_ms: (h.until - now).max(0.0).round(),
            });
            let claims = m.claims.iter().map(|c| ClaimReport {
                source: self.source_name(c.source).into(),
                says: match c.said {
                    Reported::Serving => "UP".into(),
                    Reported::Draining(status) => status.as_str().into(),
                    Reported::UnusableAddress => "an address that may not be used".into(),
                    Reported::Absent => "not listed".into(),
                },
                version: c.version,
                since_age_ms: age(now, c.since),
                older: c.version.dirty < m.claims.newest.dirty,
            });
            members.push(MemberReport {
                id: id.clone(),
                address: m.address,
                state: match m.state() {
                    EngineState::Ready => "ready",
                    EngineState::Draining => "draining",
                    EngineState::Gone => "gone",
                },
                why: match &m.superseded {
                    Some(other) => format!("its address belongs to {other}"),
                    None => self.explain(m.belief.why),
                },
                state_age_ms: age(now, m.since),
                turns: m.turns,
                zone: m.zone.clone(),
                kind: m.kind.clone(),
                started_age_ms: m.started().map(|t| age(now, t)),
                version: m.claims.newest,
                contradiction: m.belief.why.contradicts(),
                unproven: m.unproven.is_some(),
                administratively_drained: self.is_administratively_drained(id),
                connections_lost: m.proof.lost.is_some(),
                held,
                superseded_by: m.superseded.clone(),
                claims: claims.collect(),
            });
        }
        let source = |s: &Source| SourceReport {
            name: s.name.clone(),
            answers: self.source_answers(s, now),
            answered_age_ms: s.answered.map(|at| age(now, at)),
            whole_lists: s.whole,
            deltas: s.deltas,
            failures: s.failures,
            last_failure: s.failed.as_ref().map(|f| f.1.clone()),
            last_failure_age_ms: s.failed.as_ref().map(|f| age(now, f.0)),
        };
        let rejected = self.rejected().0.iter().map(|r| RejectedReport {
            id: r.id.clone(),
            address: r.address,
            why: r.why.clone(),
            times: r.times,
            last_age_ms: age(now, r.last),
        });
        Report {
            sources: self.sources().map(source).collect(),
            snapshot_age_ms: self.restored().map(|at| age(now, at)),
            counts: self.counts(),
            members,
            next,
            rejected: rejected.collect(),
        }
    }
}
