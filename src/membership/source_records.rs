//! What each source last reported of one instance.
//!
//! **An older record never overrides a newer one, whichever registry it comes from.** Records are ordered by their
//! [`Version`]. The instance itself increments `lastDirtyTimestamp`, by its own clock, and replicas copy it: so it
//! orders records of different registries. `lastUpdatedTimestamp` is set by the registry that sent the record, so it
//! orders records under one `lastDirtyTimestamp`: within one registry exactly, between two only beyond
//! [`MAX_CLOCK_SKEW_MS`]. Reason: a registry behind the others (a lagging replica, a cached answer) shows what was
//! true before, and a drained engine that it puts back gets statements while it shuts down.

use crate::decision::model::Millis;
use crate::membership::{Reported, SourceId, Version};
use std::net::SocketAddr;

/// Registries' clocks differ by less than this, in milliseconds: records that are closer are concurrent.
pub const MAX_CLOCK_SKEW_MS: u64 = 1000;

/// No exchange with a registry takes longer, in milliseconds. An answer whose request seems to be still older than
/// the one before shows that the machine's clock was set back, not that the answer is late.
const MAX_EXCHANGE_MS: Millis = 60_000.0;

/// Whether a request was sent before another, as far as the clock can be trusted.
pub(super) fn requested_before(requested_at: Millis, other: Millis) -> bool {
    requested_at < other && other - requested_at <= MAX_EXCHANGE_MS
}

/// The last that one source reported of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceRecord {
    /// The source that reported it.
    pub source: SourceId,
    /// What it reported.
    pub reported: Reported,
    /// How new the report is.
    pub version: Version,
    /// The address that it named, if it may be used.
    pub address: Option<SocketAddr>,
    /// When the answer was requested.
    pub requested_at: Millis,
    /// Since when the source reports this.
    pub since: Millis,
    /// The source's full list that last held the instance: an older number shows that the newest list omits it.
    pub generation: u64,
}

/// The newest drain that any source reported: no record that is as old or older puts the instance back into service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainWatermark {
    /// The version of the drain.
    pub version: Version,
    /// The source that reported it; 0: an earlier process's snapshot.
    pub source: SourceId,
    /// When the answer was requested.
    pub requested_at: Millis,
}

/// The records of all sources on one instance.
#[derive(Clone, Debug, Default)]
pub struct SourceRecords {
    records: Vec<SourceRecord>,
    /// The newest version that any source reported.
    pub newest_version: Version,
    /// The newest drain that any source reported.
    pub drain_watermark: Option<DrainWatermark>,
    /// Records that were ignored because a newer one was known.
    pub outdated_records: u64,
}

impl SourceRecords {
    /// The records, one a source.
    pub fn iter(&self) -> impl Iterator<Item = &SourceRecord> {
        self.records.iter()
    }

    /// No source has reported the instance.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What this source last reported.
    pub fn of_source(&self, source: SourceId) -> Option<&SourceRecord> {
        self.records.iter().find(|record| record.source == source)
    }

    /// Stores a record unless its source reported a newer one; false if it was ignored. The watermark and
    /// `newest_version` only ever rise: that makes the result independent of the order of arrival.
    pub fn apply(&mut self, mut new: SourceRecord) -> bool {
        // A drain counts at its version, even if its source has reported something newer since.
        self.raise_drain_watermark(&new);
        let known = self
            .records
            .iter_mut()
            .find(|record| record.source == new.source);
        match known {
            None => {
                self.newest_version = self.newest_version.max(new.version);
                self.records.push(new);
                true
            }
            Some(old) if is_outdated(&new, old) => {
                let repeated = is_same_answer(&new, old) && new.version == old.version;
                // An older record shows all the same that the instance is listed.
                old.generation = new.generation;
                if !repeated {
                    self.outdated_records += 1;
                }
                repeated
            }
            Some(old) => {
                if old.reported == new.reported {
                    new.since = old.since;
                }
                self.newest_version = self.newest_version.max(new.version);
                *old = new;
                true
            }
        }
    }

    fn raise_drain_watermark(&mut self, record: &SourceRecord) {
        if !matches!(record.reported, Reported::Draining(_)) {
            return;
        }
        let higher = self.drain_watermark.is_none_or(|watermark| {
            (watermark.version, watermark.requested_at) < (record.version, record.requested_at)
        });
        if higher {
            self.drain_watermark = Some(DrainWatermark {
                version: record.version,
                source: record.source,
                requested_at: record.requested_at,
            });
        }
    }

    /// Records that the source no longer lists the instance; `deletion` is the version of an explicit deletion.
    /// False if nothing changed: it was absent before, or the source reported something newer.
    pub fn mark_absent(
        &mut self,
        source: SourceId,
        requested_at: Millis,
        now: Millis,
        deletion: Option<Version>,
    ) -> bool {
        let known = self
            .records
            .iter_mut()
            .find(|record| record.source == source);
        let Some(record) = known else {
            return false;
        };
        let outdated =
            deletion.is_some_and(|version| !version.is_unset() && version < record.version);
        let absent_already = record.reported == Reported::Absent;
        if absent_already || requested_before(requested_at, record.requested_at) || outdated {
            return false;
        }
        record.version = record.version.max(deletion.unwrap_or_default());
        record.reported = Reported::Absent;
        record.requested_at = requested_at;
        record.since = now;
        true
    }

    /// Drops the records of a source that was forgotten.
    pub fn remove_source(&mut self, source: SourceId) {
        self.records.retain(|record| record.source != source);
    }

    /// Whether a record is newer than the newest drain, so that it may put the instance into service.
    pub(super) fn is_newer_than_drain(&self, record: &SourceRecord) -> bool {
        let Some(drain) = self.drain_watermark else {
            return true;
        };
        if record.version.is_unset() && drain.version.is_unset() {
            // Without timestamps the answer to the later request is the newer.
            return record.requested_at > drain.requested_at;
        }
        if record.source == drain.source {
            return record.version > drain.version;
        }
        // The instance's own clock orders; two registries' clocks order only beyond what they may differ by.
        let same_dirty = record.version.dirty == drain.version.dirty;
        record.version.dirty > drain.version.dirty
            || (same_dirty && record.version.updated > drain.version.updated + MAX_CLOCK_SKEW_MS)
    }
}

fn is_same_answer(new: &SourceRecord, old: &SourceRecord) -> bool {
    old.requested_at == new.requested_at && old.generation == new.generation
}

/// Whether the record is older than the one that its source sent before.
fn is_outdated(new: &SourceRecord, old: &SourceRecord) -> bool {
    let requested_earlier = requested_before(new.requested_at, old.requested_at);
    if new.version.is_unset() || old.version.is_unset() {
        return requested_earlier;
    }
    if new.version != old.version {
        return new.version < old.version;
    }
    // One answer may list an instance twice: of two records that are equally new, the drain stays.
    let drained_by_same_answer = is_same_answer(new, old) && old.reported != Reported::Serving;
    drained_by_same_answer || requested_earlier
}
