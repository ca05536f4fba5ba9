//! Resolution: the records of all sources on one instance are merged into one state.
//!
//! **An instance on which sources contradict each other drains.** Registries that answer and differ on one
//! instance cannot both be right: a wrong drain costs capacity, a wrong return to service makes statements
//! fail. Only a newer `lastDirtyTimestamp`, set by the instance itself, resolves a contradiction in favor of
//! service at once.

use crate::decision::model::Millis;
use crate::membership::{Reported, SourceId, SourceRecord, SourceRecords, Status};

/// The state that the records of one instance resolve to.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedState {
    /// Whether the instance takes requests.
    pub standing: Standing,
    /// The reason for the standing.
    pub reason: Reason,
    /// When the state changes without a further report, in milliseconds since the Unix epoch.
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

    /// Returns whether some or all effective sources no longer list the instance.
    pub fn is_missing(&self) -> bool {
        self.standing == Standing::Removed || matches!(self.reason, Reason::MissingFrom(_))
    }
}

/// Whether an instance takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The instance takes requests.
    Serving,
    /// The instance takes no new requests; running requests may finish.
    Draining,
    /// No effective source lists the instance.
    Removed,
}

/// The reason for an instance's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The instance is listed as `UP`.
    Listed,
    /// The instance is listed with this status, which is not `UP`.
    ListedAs(Status),
    /// A source lists the instance without a usable address.
    UnusableAddress,
    /// This source lists the instance with this status, and another effective source lists it as `UP`.
    Contradicted(SourceId, Status),
    /// This source no longer lists the instance, and another effective source still does.
    MissingFrom(SourceId),
    /// No record that lists the instance as `UP` is newer than the newest drain that was reported.
    OlderThanDrain,
    /// No effective source lists the instance.
    Unlisted,
}

impl Reason {
    /// Returns whether the reason is a contradiction between sources.
    pub fn contradicts(self) -> bool {
        matches!(self, Reason::Contradicted(..) | Reason::MissingFrom(_))
    }
}

impl SourceRecords {
    /// Resolves the records to a state. `is_effective` selects the effective sources: those that answer, or
    /// those that answered last if none does. `missing_grace` is how long, in milliseconds, an instance
    /// drains after one source stopped listing it while another still does. After that the instance is in
    /// service again, because one that renews its lease at any registry is alive.
    pub fn resolve(
        &self,
        now: Millis,
        missing_grace: Millis,
        is_effective: impl Fn(SourceId) -> bool,
    ) -> ResolvedState {
        let effective: Vec<&SourceRecord> = self
            .iter()
            .filter(|record| is_effective(record.source))
            .collect();
        let listed: Vec<&SourceRecord> = effective
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
            Some(serving) => resolve_serving(now, missing_grace, serving, &effective),
            None => ResolvedState::new(Standing::Draining, Reason::OlderThanDrain),
        }
    }

    /// Returns why the instance drains, if a record makes it drain that is current: the instance itself has
    /// reported no newer `lastDirtyTimestamp` since.
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
            // This includes the case that the other source only lags: operators should see that the
            // registries differ.
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

/// Returns the state of an instance that a source lists as serving: it drains while the grace period since
/// another source dropped it lasts.
fn resolve_serving(
    now: Millis,
    missing_grace: Millis,
    serving: &SourceRecord,
    effective: &[&SourceRecord],
) -> ResolvedState {
    let dropped_last = effective
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
