//! One instance: its records, the liveness evidence from its connections, and the state that these resolve
//! to.

use crate::decision::model::{EngineState, Millis};
use crate::membership::reevaluation::Transition;
use crate::membership::time_index::TimeKey;
use crate::membership::{
    DiscoveredEngine, LivenessEvidence, Preservation, Reason, ResolvedState, SourceRecords,
    Standing,
};
use std::net::SocketAddr;

/// The stored data of one instance. Times are in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Member {
    /// The last report of each source.
    pub records: SourceRecords,
    /// The last usable address that a record named.
    pub address: Option<SocketAddr>,
    /// The zone that the newest record names, if any.
    pub zone: Option<String>,
    /// The machine type that the newest record names, if any.
    pub kind: Option<String>,
    /// When the instance's process started, according to lists.
    pub listed_start: Option<Millis>,
    /// The evidence from connections to the instance.
    pub liveness: LivenessEvidence,
    /// Set while the instance is restored from a snapshot and not confirmed by a source: the time of the
    /// snapshot, or of the publication of its instances. The instance may have restarted since.
    pub unconfirmed_since: Option<Millis>,
    /// Set while the instance is missing and self-preservation keeps it in service.
    pub preservation: Option<Preservation>,
    /// The state that the records resolve to.
    pub resolved: ResolvedState,
    /// Since when the instance has had its standing.
    pub since: Millis,
    /// The newer instance that this instance's address belongs to, if any.
    pub superseded_by: Option<String>,
    /// Number of changes of the standing.
    pub state_changes: u64,
    /// The engine as last published.
    pub(super) published: Option<DiscoveredEngine>,
    /// When the state changes without a further report, as indexed.
    pub(super) deadline: Option<TimeKey>,
    /// When the instance became a tombstone.
    pub(super) removed_at: Option<TimeKey>,
}

impl Member {
    pub(super) fn new(now: Millis) -> Self {
        Member {
            records: SourceRecords::default(),
            address: None,
            zone: None,
            kind: None,
            listed_start: None,
            liveness: LivenessEvidence::default(),
            unconfirmed_since: None,
            preservation: None,
            resolved: ResolvedState {
                standing: Standing::Removed,
                reason: Reason::Unlisted,
                until: None,
            },
            since: now,
            superseded_by: None,
            state_changes: 0,
            published: None,
            deadline: None,
            removed_at: None,
        }
    }

    /// Returns the state to publish.
    pub fn state(&self) -> EngineState {
        let standing = match self.preservation {
            Some(_) => Standing::Serving,
            None => self.resolved.standing,
        };
        match (standing, &self.superseded_by) {
            (Standing::Removed, _) => EngineState::Gone,
            (Standing::Draining, _) | (Standing::Serving, Some(_)) => EngineState::Draining,
            (Standing::Serving, None) => EngineState::Ready,
        }
    }

    /// Returns whether the records put the instance into service and its address belongs to it.
    pub(super) fn is_in_service(&self) -> bool {
        self.resolved.standing == Standing::Serving && self.superseded_by.is_none()
    }

    /// Returns when the instance's process last started, as far as known: the latest time that lists,
    /// connections or a restored snapshot suggest. Reason: an engine that is wrongly treated as warming up
    /// gets less load than it could sustain, but one that is wrongly treated as warm is overloaded.
    pub fn started_at(&self) -> Option<Millis> {
        latest([
            self.listed_start,
            self.liveness.restarted_at,
            self.unconfirmed_since,
        ])
    }

    /// Returns when the state changes without a further report.
    pub(super) fn next_change_at(&self) -> Option<Millis> {
        match &self.preservation {
            Some(preservation) => Some(preservation.until),
            None => self.resolved.until,
        }
    }

    /// Adopts a newly resolved state and returns the transitions that the caller has to handle.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        resolved: ResolvedState,
        administratively_drained: bool,
    ) -> Transition {
        // An instance that already drains takes no new requests, so its removal needs no protection. An
        // instance that one source dropped and another lists counts as missing too: otherwise one replica
        // that lost its list would drain every engine.
        let is_missing = resolved.is_missing();
        let went_missing = is_missing
            && self.is_in_service()
            && !administratively_drained
            && !self.liveness.is_unreachable();
        if self.preservation_ends(now, is_missing) {
            self.preservation = None;
        }
        if self.resolved.standing != resolved.standing {
            self.since = now;
            self.state_changes += 1;
        }
        let drained = self.published.is_some()
            && self.resolved.reason != resolved.reason
            && resolved.standing == Standing::Draining;
        let drained_for = drained.then_some(resolved.reason);
        self.resolved = resolved;
        if self.resolved.standing != Standing::Removed && !self.records.is_empty() {
            self.unconfirmed_since = None;
        }
        Transition {
            went_missing,
            drained_for,
        }
    }

    fn preservation_ends(&self, now: Millis, is_missing: bool) -> bool {
        self.preservation.as_ref().is_some_and(|preservation| {
            !is_missing || preservation.until <= now || self.liveness.is_unreachable()
        })
    }
}

/// Returns the latest of the known times.
pub(super) fn latest<const COUNT: usize>(times: [Option<Millis>; COUNT]) -> Option<Millis> {
    times.into_iter().flatten().reduce(f64::max)
}
