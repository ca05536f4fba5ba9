//! What each source claims of one engine, and what is to be believed of the claims together.
//!
//! **An older fact never overrides a newer one, whichever registry it comes from.** Facts are ordered by their
//! [`Version`]. The instance itself counts up `lastDirtyTimestamp`, by its own clock, and replicas copy it: so it
//! orders facts of different registries. `lastUpdatedTimestamp` is set by the registry that told the fact, so it
//! orders facts under one `lastDirtyTimestamp`: within one registry exactly, between two only beyond [`SKEW`].
//! Reason: a registry behind the others (a lagging replica, a cached answer) shows what was true, and a drained
//! engine put back by it gets statements while it shuts down.
//!
//! **A contradiction is resolved towards draining.** Registries that answer and differ on one instance cannot
//! both be right, and the price of a wrong drain is capacity, that of a wrong return is statements lost. Only a
//! newer `lastDirtyTimestamp`, the instance's own word, settles it for service at once.

use crate::decision::model::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Registries' clocks differ by less than this, in milliseconds: facts that are closer are concurrent.
pub const SKEW: u64 = 1000;

/// No exchange with a registry takes longer, in milliseconds. An answer that seems to be asked for still earlier than
/// the one before tells that the machine's clock was set back, not that it was late.
pub const EXCHANGE: Millis = 60_000.0;

/// Asked for earlier, as far as the clock can be trusted.
pub fn earlier(requested_at: Millis, than: Millis) -> bool {
    requested_at < than && than - requested_at <= EXCHANGE
}

/// An instance's status, as registries word it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Status {
    Up,
    Starting,
    OutOfService,
    Down,
    Unknown,
}

impl Status {
    /// A word that is none of the five is no state to send to.
    pub fn parse(word: &str) -> Self {
        match word {
            "UP" => Status::Up,
            "STARTING" => Status::Starting,
            "OUT_OF_SERVICE" => Status::OutOfService,
            "DOWN" => Status::Down,
            _ => Status::Unknown,
        }
    }

    /// The registry's word for it.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Up => "UP",
            Status::Starting => "STARTING",
            Status::OutOfService => "OUT_OF_SERVICE",
            Status::Down => "DOWN",
            Status::Unknown => "UNKNOWN",
        }
    }
}

/// How new a fact is: first by the instance's own clock, then by the registry's, both in milliseconds. 0 where a
/// registry tells none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// `lastDirtyTimestamp`.
    pub dirty: u64,
    /// `lastUpdatedTimestamp`.
    pub updated: u64,
}

impl Version {
    pub fn new(dirty: u64, updated: u64) -> Self {
        Version { dirty, updated }
    }

    /// The registry tells no times: only the order of asking is left, within that one source.
    pub fn is_unset(self) -> bool {
        self == Version::default()
    }
}

/// What one answer says of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRecord {
    pub id: String,
    pub status: Status,
    /// What operators set over it at the registry. Registries write `UNKNOWN` where nothing is set: none here.
    pub overridden: Option<Status>,
    /// Absent if it names no address, or no open port.
    pub address: Option<SocketAddr>,
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub version: Version,
    /// `serviceUpTimestamp`: when its process came into service.
    pub started: Option<Millis>,
}

/// What a source says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    Serving,
    /// It takes nothing new, for this status.
    Draining(Status),
    /// Its address is none that may be used.
    UnusableAddress,
    /// Listed before, and no more.
    Absent,
}

impl InstanceRecord {
    /// `DOWN`, `OUT_OF_SERVICE`, `STARTING` and `UNKNOWN` take nothing new, and neither does an override of any of
    /// these: what runs may end. Reason: `DOWN` is what a health check says of an engine that may well finish
    /// what it has; only a disappearance tells that it is gone.
    pub fn reported(&self) -> Reported {
        match self.overridden.filter(|o| *o != Status::Up) {
            Some(over) => Reported::Draining(over),
            None if self.status == Status::Up => Reported::Serving,
            None => Reported::Draining(self.status),
        }
    }
}

/// A source, as a number that is never used again.
pub type SourceId = u32;

/// The last that one source said of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceRecord {
    pub source: SourceId,
    pub said: Reported,
    pub version: Version,
    pub address: Option<SocketAddr>,
    /// When the answer was asked for.
    pub requested_at: Millis,
    /// Since when the source says so.
    pub since: Millis,
    /// The source's round that last told it: what a whole list leaves out is found by it.
    pub round: u64,
}

/// The newest drain that was told: nothing as old or older puts the engine back.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    pub version: Version,
    pub source: SourceId,
    #[serde(rename = "asked")]
    pub requested_at: Millis,
}

/// All claims on one instance.
#[derive(Clone, Debug, Default)]
pub struct SourceRecords {
    all: Vec<SourceRecord>,
    /// The newest version that any source told.
    pub newest: Version,
    pub floor: Option<Floor>,
    /// Facts that came after a newer one, and were passed over.
    pub passed_over: u64,
}

/// What the claims come to.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedState {
    pub stand: Standing,
    pub why: Why,
    /// It changes by itself then, if nothing is told before.
    pub until: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Serving,
    Draining,
    Removed,
}

/// The reason of a belief, as operators are told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Listed,
    /// A status of the list that is not `UP`.
    Told(Status),
    Unusable,
    /// Sources that answer differ: this one says that it drains.
    Contradicted(SourceId, Status),
    /// This source no longer lists it, another still does.
    Missing(SourceId),
    /// What lists it as `UP` is no newer than the drain that was told.
    Older,
    Unlisted,
}

impl Why {
    pub fn contradicts(self) -> bool {
        matches!(self, Why::Contradicted(..) | Why::Missing(_))
    }
}

impl SourceRecords {
    pub fn iter(&self) -> impl Iterator<Item = &SourceRecord> {
        self.all.iter()
    }

    pub fn of(&self, source: SourceId) -> Option<&SourceRecord> {
        self.all.iter().find(|c| c.source == source)
    }

    /// Takes a claim if it is not older than what its source said before; false if it was passed over. `floor`
    /// and `newest` only ever rise: that is what makes the order of arrival mean nothing.
    pub fn take(&mut self, mut new: SourceRecord) -> bool {
        // A drain that was told counts at its version, even if its source has told something newer since.
        if matches!(new.said, Reported::Draining(_)) {
            let floor = Floor {
                version: new.version,
                source: new.source,
                requested_at: new.requested_at,
            };
            let higher = self
                .floor
                .is_none_or(|f| (f.version, f.requested_at) < (floor.version, floor.requested_at));
            if higher {
                self.floor = Some(floor);
            }
        }
        if let Some(old) = self.all.iter_mut().find(|c| c.source == new.source) {
            let same_answer = old.requested_at == new.requested_at && old.round == new.round;
            let older = match new.version.is_unset() || old.version.is_unset() {
                true => earlier(new.requested_at, old.requested_at),
                // One answer may tell an instance twice: of two that are equally new, the drain stays.
                false => {
                    new.version < old.version
                        || (same_answer
                            && new.version == old.version
                            && old.said != Reported::Serving)
                        || (new.version == old.version
                            && earlier(new.requested_at, old.requested_at))
                }
            };
            if older {
                // Still listed: an older fact is no disappearance.
                old.round = new.round;
                if same_answer && new.version == old.version {
                    return true;
                }
                // What is gone from there stays so: an older fact is a list from before.
                self.passed_over += 1;
                return false;
            }
            if old.said == new.said {
                new.since = old.since;
            }
            *old = new.clone();
        } else {
            self.all.push(new.clone());
        }
        self.newest = self.newest.max(new.version);
        true
    }

    /// The source lists it no more; `version` is that of a `DELETED`, if one was told. False if a newer fact of
    /// the same source stands against it.
    pub fn absent(
        &mut self,
        source: SourceId,
        asked: Millis,
        now: Millis,
        version: Option<Version>,
    ) -> bool {
        let Some(claim) = self.all.iter_mut().find(|c| c.source == source) else {
            return false;
        };
        let old = version.is_some_and(|v| !v.is_unset() && v < claim.version);
        if claim.said == Reported::Absent || earlier(asked, claim.requested_at) || old {
            return false;
        }
        claim.version = claim.version.max(version.unwrap_or_default());
        (claim.said, claim.requested_at, claim.since) = (Reported::Absent, asked, now);
        true
    }

    /// Drops what sources that are no more have said.
    pub fn retain(&mut self, keep: impl Fn(SourceId) -> bool) {
        self.all.retain(|c| keep(c.source));
    }

    /// A fact that serves is newer than the newest drain.
    fn above(&self, claim: &SourceRecord) -> bool {
        let untold = |floor: &Floor| claim.version.is_unset() && floor.version.is_unset();
        self.floor
            .is_none_or(|floor| match claim.source == floor.source {
                // Without times the later answer is the newer.
                _ if untold(&floor) => claim.requested_at > floor.requested_at,
                true => claim.version > floor.version,
                // The instance's own clock orders; a registry's beside another's only beyond what clocks differ by.
                false => {
                    claim.version.dirty > floor.version.dirty
                        || (claim.version.dirty == floor.version.dirty
                            && claim.version.updated > floor.version.updated + SKEW)
                }
            })
    }

    /// What is believed. `counts` tells whose claims count: sources that answer, or all if none does. `patience`
    /// bounds, in milliseconds, for how long an engine drains since one source lists it no more and another does:
    /// after that the listing holds, for an engine that renews its lease anywhere is alive.
    pub fn believe(
        &self,
        now: Millis,
        patience: Millis,
        counts: impl Fn(SourceId) -> bool,
    ) -> ResolvedState {
        let counted = || self.all.iter().filter(|c| counts(c.source));
        let belief = |stand, why| ResolvedState {
            stand,
            why,
            until: None,
        };
        let live = || counted().filter(|c| c.said != Reported::Absent);
        if live().next().is_none() {
            return belief(Standing::Removed, Why::Unlisted);
        }
        // What the instance itself has overtaken tells only that it is listed.
        let current = || live().filter(|c| c.version.dirty >= self.newest.dirty);
        let serving = live()
            .filter(|c| c.said == Reported::Serving && self.above(c))
            .max_by_key(|c| c.version);
        let drains = current().find_map(|c| match c.said {
            Reported::Draining(status) => Some((c.source, status)),
            _ => None,
        });
        if let Some((source, status)) = drains {
            // Also one that is only behind: operators are to see that the registries differ.
            let differs = current().any(|c| c.said == Reported::Serving);
            let why = if differs {
                Why::Contradicted(source, status)
            } else {
                Why::Told(status)
            };
            return belief(Standing::Draining, why);
        }
        if current().any(|c| c.said == Reported::UnusableAddress) {
            return belief(Standing::Draining, Why::Unusable);
        }
        let Some(serving) = serving else {
            return belief(Standing::Draining, Why::Older);
        };
        let missing = counted()
            .filter(|c| c.said == Reported::Absent && c.version.dirty >= serving.version.dirty);
        match missing
            .filter(|c| now < c.since + patience)
            .max_by(|a, b| a.since.total_cmp(&b.since))
        {
            Some(c) => ResolvedState {
                stand: Standing::Draining,
                why: Why::Missing(c.source),
                until: Some(c.since + patience),
            },
            None => belief(Standing::Serving, Why::Listed),
        }
    }
}
