//! One instance: its records, what connections showed, and the state that they resolve to.

use crate::decision::model::{EngineState, Millis};
use crate::membership::reevaluation::Transition;
use crate::membership::time_index::TimeKey;
use crate::membership::{
    Engine, LivenessEvidence, Preservation, Reason, ResolvedState, SourceRecords, Standing,
};
use std::net::SocketAddr;

/// What is known of one instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// What each source last reported of it.
    pub records: SourceRecords,
    /// The address that the newest record names.
    pub address: Option<SocketAddr>,
    /// The zone that the newest record names.
    pub zone: Option<String>,
    /// The machine type that the newest record names.
    pub kind: Option<String>,
    /// When its process started, as lists give it.
    pub listed_start: Option<Millis>,
    /// What connections to it showed.
    pub liveness: LivenessEvidence,
    /// Restored from a snapshot of this time and confirmed by no source since: it may have restarted meanwhile.
    pub unconfirmed_since: Option<Millis>,
    /// It is missing and kept in service by self-preservation.
    pub preservation: Option<Preservation>,
    /// What its records come to.
    pub resolved: ResolvedState,
    /// Since when it has its standing.
    pub since: Millis,
    /// The instance that its address belongs to now.
    pub superseded_by: Option<String>,
    /// How often its standing has changed.
    pub state_changes: u64,
    /// As it was last published.
    pub(super) published: Option<Engine>,
    /// When its state changes by itself.
    pub(super) deadline: Option<TimeKey>,
    /// Since when it is a tombstone.
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

    /// The state that is published.
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

    /// Whether its records put it into service and its address is its own.
    pub(super) fn is_in_service(&self) -> bool {
        self.resolved.standing == Standing::Serving && self.superseded_by.is_none()
    }

    /// When its process last started, as far as known: the latest of what lists and connections show. Reason: an
    /// engine that is wrongly taken as warming up gets less work than it could do, one that is wrongly taken as warm
    /// is overloaded.
    pub fn started_at(&self) -> Option<Millis> {
        latest([
            self.listed_start,
            self.liveness.restarted_at,
            self.unconfirmed_since,
        ])
    }

    /// When its state changes by itself.
    pub(super) fn next_change_at(&self) -> Option<Millis> {
        match &self.preservation {
            Some(preservation) => Some(preservation.until),
            None => self.resolved.until,
        }
    }

    /// Adopts a newly resolved state and returns what the caller has to act on.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        resolved: ResolvedState,
        administratively_drained: bool,
    ) -> Transition {
        // What drains already takes nothing new: nothing is lost when it is removed. One that a source has dropped
        // and another lists counts as missing too: otherwise one replica that lost its list would drain every engine.
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

/// The latest of the times that are known.
pub(super) fn latest<const COUNT: usize>(times: [Option<Millis>; COUNT]) -> Option<Millis> {
    times.into_iter().flatten().reduce(f64::max)
}
