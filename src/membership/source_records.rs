//! The last report of each source on one instance.
//!
//! **An older record never overrides a newer one, whichever registry it comes from.** Records are ordered by
//! their [`Version`]. The instance itself sets `lastDirtyTimestamp`, by its own clock, and replicas copy it,
//! so it orders records of different registries. `lastUpdatedTimestamp` is set by the registry that sent the
//! record, so it orders records with the same `lastDirtyTimestamp`: exactly within one registry, and between
//! two registries only if the timestamps differ by more than [`MAX_CLOCK_SKEW_MS`]. Reason: a registry behind
//! the others (a lagging replica, a cached answer) reports an outdated state, and if it put a drained engine
//! back into service, the engine would get statements while it shuts down.

use crate::decision::model::Millis;
use crate::membership::{Reported, SourceId, Version};
use std::net::SocketAddr;

/// Maximum difference between the clocks of two registries, in milliseconds: records of two registries whose
/// timestamps differ by no more are concurrent.
pub const MAX_CLOCK_SKEW_MS: u64 = 1000;

/// Maximum duration of an exchange with a registry, in milliseconds. If the request of an answer seems older
/// than the previous one by more than this, the machine's clock was set back and the answer is not late.
const MAX_EXCHANGE_MS: Millis = 60_000.0;

/// Returns whether a request was sent before another, unless the clock was set back in between.
pub(super) fn requested_before(requested_at: Millis, other: Millis) -> bool {
    requested_at < other && other - requested_at <= MAX_EXCHANGE_MS
}

/// The last report of one source on an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceRecord {
    /// The source of the report.
    pub source: SourceId,
    /// The reported state.
    pub reported: Reported,
    /// Version of the report.
    pub version: Version,
    /// The reported address, if it is usable.
    pub address: Option<SocketAddr>,
    /// When the answer was requested, in milliseconds since the Unix epoch.
    pub requested_at: Millis,
    /// Since when the source has reported this state, in milliseconds since the Unix epoch.
    pub since: Millis,
    /// Number of the source's full list that last contained the instance. If it is not the number of the
    /// source's latest full list, that list omits the instance.
    pub generation: u64,
}

/// The newest drain that any source reported. Only a newer record puts the instance back into service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainWatermark {
    /// The version of the drain.
    pub version: Version,
    /// The source that reported the drain; 0 for the snapshot of an earlier process.
    pub source: SourceId,
    /// When the answer was requested, in milliseconds since the Unix epoch.
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
    /// Number of records that were ignored because a newer one was known.
    pub outdated_records: u64,
}

impl SourceRecords {
    /// Returns the records, one per source.
    pub fn iter(&self) -> impl Iterator<Item = &SourceRecord> {
        self.records.iter()
    }

    /// Returns whether there is no record of any source.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of this source.
    pub fn of_source(&self, source: SourceId) -> Option<&SourceRecord> {
        self.records.iter().find(|record| record.source == source)
    }

    /// Stores a record unless its source reported a newer one. Returns whether the record was accepted. The
    /// watermark and `newest_version` never decrease, which makes the result independent of the order of
    /// arrival.
    pub fn apply(&mut self, mut new: SourceRecord) -> bool {
        // A drain raises the watermark to its version even if its source has reported a newer record since.
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
                // Even an outdated record shows that the list contains the instance.
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

    /// Records that the source no longer lists the instance; `deletion` is the version of an explicit
    /// deletion. Returns whether anything changed: nothing does if the instance was absent before or the
    /// source reported a newer record.
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

    /// Removes the record of a source that was dropped.
    pub fn remove_source(&mut self, source: SourceId) {
        self.records.retain(|record| record.source != source);
    }

    /// Returns whether a record is newer than the newest drain, so that it may put the instance into service.
    pub(super) fn is_newer_than_drain(&self, record: &SourceRecord) -> bool {
        let Some(drain) = self.drain_watermark else {
            return true;
        };
        if record.version.is_unset() && drain.version.is_unset() {
            // Without timestamps, the answer to the later request is newer.
            return record.requested_at > drain.requested_at;
        }
        if record.source == drain.source {
            return record.version > drain.version;
        }
        // The instance's own clock takes precedence; timestamps of two registries are compared with tolerance
        // for their clock skew.
        let same_dirty = record.version.dirty == drain.version.dirty;
        record.version.dirty > drain.version.dirty
            || (same_dirty && record.version.updated > drain.version.updated + MAX_CLOCK_SKEW_MS)
    }
}

fn is_same_answer(new: &SourceRecord, old: &SourceRecord) -> bool {
    old.requested_at == new.requested_at && old.generation == new.generation
}

/// Returns whether the record is older than the previous one of its source.
fn is_outdated(new: &SourceRecord, old: &SourceRecord) -> bool {
    let requested_earlier = requested_before(new.requested_at, old.requested_at);
    if new.version.is_unset() || old.version.is_unset() {
        return requested_earlier;
    }
    if new.version != old.version {
        return new.version < old.version;
    }
    // One answer may list an instance twice: of two records with the same version, the one that drains is
    // kept.
    let drained_by_same_answer = is_same_answer(new, old) && old.reported != Reported::Serving;
    drained_by_same_answer || requested_earlier
}
