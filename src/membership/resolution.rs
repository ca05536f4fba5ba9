//! What the records of all sources on one instance come to.
//!
//! **A contradiction is resolved towards draining.** Registries that answer and differ on one instance cannot both be
//! right; the price of a wrong drain is capacity, that of a wrong return to service is failed statements. Only a newer
//! `lastDirtyTimestamp`, set by the instance itself, settles a contradiction for service at once.

use crate::decision::model::Millis;
use crate::membership::{Reported, SourceId, SourceRecord, SourceRecords, Status};

/// What the records of one instance come to.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedState {
    /// Whether the instance takes requests.
    pub standing: Standing,
    /// Why it does or does not.
    pub reason: Reason,
    /// When the state changes by itself, if nothing is reported before.
    pub until: Option<Millis>,
}

impl ResolvedState {
    fn new(standing: Standing, reason: Reason) -> Self {
        ResolvedState {
            standing,
            reason,
            until: None,
        }
    }

    /// Some source that counts no longer lists the instance.
    pub fn is_missing(&self) -> bool {
        self.standing == Standing::Removed || matches!(self.reason, Reason::MissingFrom(_))
    }
}

/// Whether an instance takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes requests.
    Serving,
    /// It takes no new requests; those that run may end.
    Draining,
    /// No source lists it.
    Removed,
}

/// Why an instance has its standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is listed as `UP`.
    Listed,
    /// It is listed with a status that is not `UP`.
    ListedAs(Status),
    /// A source names no usable address for it.
    UnusableAddress,
    /// Sources that answer differ: this one lists it with this status.
    Contradicted(SourceId, Status),
    /// This source no longer lists it, another still does.
    MissingFrom(SourceId),
    /// What lists it as `UP` is no newer than a drain that was reported.
    OlderThanDrain,
    /// No source that counts lists it.
    Unlisted,
}

impl Reason {
    /// Whether sources contradict each other.
    pub fn contradicts(self) -> bool {
        matches!(self, Reason::Contradicted(..) | Reason::MissingFrom(_))
    }
}

impl SourceRecords {
    /// What the records come to. `counts` selects the sources whose records count: those that answer, or all if none
    /// does. `missing_grace` bounds, in milliseconds, for how long an instance drains since one source no longer lists
    /// it and another does: after that the listing wins, for an instance that renews its lease anywhere is alive.
    pub fn resolve(
        &self,
        now: Millis,
        missing_grace: Millis,
        counts: impl Fn(SourceId) -> bool,
    ) -> ResolvedState {
        let counted: Vec<&SourceRecord> =
            self.iter().filter(|record| counts(record.source)).collect();
        let listed: Vec<&SourceRecord> = counted
            .iter()
            .copied()
            .filter(|record| record.reported != Reported::Absent)
            .collect();
        if listed.is_empty() {
            return ResolvedState::new(Standing::Removed, Reason::Unlisted);
        }
        if let Some(reason) = self.drain_reason(&listed) {
            return ResolvedState::new(Standing::Draining, reason);
        }
        let newest_serving = listed
            .iter()
            .filter(|record| record.reported == Reported::Serving)
            .filter(|record| self.is_newer_than_drain(record))
            .max_by_key(|record| record.version);
        match newest_serving {
            Some(serving) => resolve_serving(now, missing_grace, serving, &counted),
            None => ResolvedState::new(Standing::Draining, Reason::OlderThanDrain),
        }
    }

    /// Why the instance drains, if a record says so that the instance itself has not superseded since.
    fn drain_reason(&self, listed: &[&SourceRecord]) -> Option<Reason> {
        let current = || {
            listed
                .iter()
                .filter(|record| record.version.dirty >= self.newest_version.dirty)
        };
        let draining = current().find_map(|record| match record.reported {
            Reported::Draining(status) => Some((record.source, status)),
            _ => None,
        });
        if let Some((source, status)) = draining {
            // Also where the other source only lags: operators are to see that the registries differ.
            let contradicted = current().any(|record| record.reported == Reported::Serving);
            return Some(match contradicted {
                true => Reason::Contradicted(source, status),
                false => Reason::ListedAs(status),
            });
        }
        current()
            .any(|record| record.reported == Reported::UnusableAddress)
            .then_some(Reason::UnusableAddress)
    }
}

/// The state of an instance that is listed as serving, unless another source dropped it a short time ago.
fn resolve_serving(
    now: Millis,
    missing_grace: Millis,
    serving: &SourceRecord,
    counted: &[&SourceRecord],
) -> ResolvedState {
    let dropped_last = counted
        .iter()
        .filter(|record| record.reported == Reported::Absent)
        .filter(|record| record.version.dirty >= serving.version.dirty)
        .filter(|record| now < record.since + missing_grace)
        .max_by(|one, other| one.since.total_cmp(&other.since));
    match dropped_last {
        Some(record) => ResolvedState {
            standing: Standing::Draining,
            reason: Reason::MissingFrom(record.source),
            until: Some(record.since + missing_grace),
        },
        None => ResolvedState::new(Standing::Serving, Reason::Listed),
    }
}
