//! Validates and stores the records of the sources' answers.

use crate::decision::model::Millis;
use crate::membership::member::latest;
use crate::membership::source_records::requested_before;
use crate::membership::{
    EndpointListChange, InstanceRecord, Member, Membership, Reason, Reported, SourceId,
    SourceRecord, SourceUpdate, Standing, UpdateContent, Version,
};
use std::net::SocketAddr;

/// Maximum length of an id, zone or machine type, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// The answer that a record is part of.
#[derive(Clone, Copy)]
struct Answer {
    now: Millis,
    source: SourceId,
    requested_at: Millis,
    /// Number of the source's latest full list.
    generation: u64,
}

impl Membership {
    /// Applies an answer of a source and returns the resulting change of the endpoint list.
    pub fn apply_update(
        &mut self,
        now: Millis,
        update: SourceUpdate,
    ) -> Option<EndpointListChange> {
        let id = self.register_source(&update.source);
        let source = self.sources.get_mut(id)?;
        if requested_before(update.requested_at, source.last_requested_at) {
            return None;
        }
        source.last_answered_at = Some(update.received_at.min(now));
        source.last_requested_at = update.requested_at;
        match &update.content {
            UpdateContent::Full(records) => {
                source.generation += 1;
                source.full_lists += 1;
                source.listed = records.len();
            }
            UpdateContent::Delta { .. } => source.deltas += 1,
        }
        let answer = Answer {
            now,
            source: id,
            requested_at: update.requested_at,
            generation: source.generation,
        };
        let affected = match update.content {
            UpdateContent::Full(records) => self.apply_full(answer, records),
            UpdateContent::Delta { changed, deleted } => self.apply_delta(answer, changed, deleted),
        };
        if self.effective_sources_changed(now) {
            self.reevaluate_all(now)
        } else {
            self.reevaluate(now, affected)
        }
    }

    /// Stores a full list and returns the ids of the affected instances.
    fn apply_full(&mut self, answer: Answer, records: Vec<InstanceRecord>) -> Vec<String> {
        let mut affected = self.apply_records(answer, records);
        for (id, member) in self.instances.iter_mut() {
            let omitted = member
                .records
                .of_source(answer.source)
                .is_some_and(|record| record.generation != answer.generation);
            if omitted && mark_absent(member, answer, None) {
                affected.push(id.clone());
            }
        }
        affected
    }

    /// Stores a delta and returns the ids of the affected instances.
    fn apply_delta(
        &mut self,
        answer: Answer,
        changed: Vec<InstanceRecord>,
        deleted: Vec<(String, Version)>,
    ) -> Vec<String> {
        let mut affected = self.apply_records(answer, changed);
        for (id, version) in deleted {
            if let Some(member) = self.instances.get_mut(&id)
                && mark_absent(member, answer, Some(version))
            {
                affected.push(id);
            }
        }
        affected
    }

    fn apply_records(&mut self, answer: Answer, records: Vec<InstanceRecord>) -> Vec<String> {
        records
            .into_iter()
            .filter_map(|record| self.apply_record(answer, record))
            .collect()
    }

    /// Validates and stores one record. Returns the instance's id if its state has to be resolved again.
    fn apply_record(&mut self, answer: Answer, record: InstanceRecord) -> Option<String> {
        if !has_acceptable_texts(&record) {
            let reason = "its id, zone or kind is missing or too long";
            self.reject(answer.now, &record, reason);
            return None;
        }
        let known = self.instances.contains(&record.id);
        let address = match self.admit_address(&record) {
            Ok(address) => Some(address),
            Err(reason) => {
                self.reject(answer.now, &record, &reason);
                None
            }
        };
        let acceptable = address.is_some() && self.has_capacity_for(&record.id);
        if !known && !acceptable {
            return None;
        }
        let member = self.instances.get_or_add(answer.now, &record.id);
        store_record(member, answer, address, record)
    }

    fn admit_address(&self, record: &InstanceRecord) -> Result<SocketAddr, String> {
        let address = record
            .address
            .ok_or("it names no address with an open port")?;
        let networks = &self.config.networks;
        networks.admit(address).map_err(|error| error.to_string())
    }

    /// Returns whether the instance is known or another one may be added; logs and counts instances beyond
    /// the limit.
    fn has_capacity_for(&mut self, id: &str) -> bool {
        let max_instances = self.config.max_instances;
        if self.instances.contains(id) || self.instances.live_count() < max_instances {
            return true;
        }
        self.instances_over_limit += 1;
        // Only every power of two is logged, so that a list far beyond the limit does not fill the log.
        if self.instances_over_limit.is_power_of_two() {
            let line = format!("engine {id:?} is ignored: the limit is {max_instances} instances");
            self.log.push(line);
        }
        false
    }

    fn reject(&mut self, now: Millis, record: &InstanceRecord, reason: &str) {
        let line = self.rejections.record(now, record, reason);
        line.into_iter().for_each(|line| self.log.push(line));
    }
}

fn has_acceptable_texts(record: &InstanceRecord) -> bool {
    let fits = |text: &Option<String>| {
        text.as_ref()
            .is_none_or(|text| text.len() <= MAX_TEXT_BYTES)
    };
    let id_fits = !record.id.is_empty() && record.id.len() <= MAX_TEXT_BYTES;
    id_fits && fits(&record.zone) && fits(&record.kind)
}

fn mark_absent(member: &mut Member, answer: Answer, deletion: Option<Version>) -> bool {
    member
        .records
        .mark_absent(answer.source, answer.requested_at, answer.now, deletion)
}

/// Stores a record of a known instance. Returns the instance's id if its state has to be resolved again.
fn store_record(
    member: &mut Member,
    answer: Answer,
    address: Option<SocketAddr>,
    record: InstanceRecord,
) -> Option<String> {
    let reported = match address {
        Some(_) => record.reported(),
        None => Reported::UnusableAddress,
    };
    let known = attributes(member);
    let newest_before = member.records.newest_version;
    let applied = member.records.apply(SourceRecord {
        source: answer.source,
        reported,
        version: record.version,
        address,
        requested_at: answer.requested_at,
        since: answer.now,
        generation: answer.generation,
    });
    if !applied {
        return None;
    }
    let id = record.id.clone();
    // The attributes come from the newest record, and from the last that arrived among equally new ones.
    if record.version >= newest_before {
        adopt_attributes(member, address, record);
    }
    member.unconfirmed_since = None;
    let unchanged = attributes(member) == known;
    // Most records of a full list repeat the known state, which then needs no new resolution.
    let settled = member.resolved.standing != Standing::Removed
        && member.preservation.is_none()
        && member.resolved.reason == Reason::Listed
        && reported == Reported::Serving;
    let repeats_known_state = unchanged && settled;
    (!repeats_known_state).then_some(id)
}

/// Returns the attributes that a record can change while the instance stays listed as serving.
fn attributes(member: &Member) -> impl PartialEq + use<> {
    (
        member.records.newest_version,
        member.address,
        member.listed_start,
        member.unconfirmed_since,
    )
}

fn adopt_attributes(member: &mut Member, address: Option<SocketAddr>, record: InstanceRecord) {
    member.address = address.or(member.address);
    member.zone = record.zone;
    member.kind = record.kind;
    member.listed_start = latest([member.listed_start, record.started]);
}
