//! Builds the operators' report.

use super::{
    Counts, MAX_MEMBERS_PER_REPORT, MemberReport, PreservationReport, Query, RejectedReport,
    Report, SourceRecordReport, SourceReport,
};
use crate::decision::model::{EngineState, Millis};
use crate::membership::{
    Member, Membership, Preservation, RejectedAddress, Reported, Source, SourceRecord,
};
use std::ops::Bound::{Excluded, Unbounded};

/// The instances of one report, and the id after which the next one continues.
struct Page {
    members: Vec<MemberReport>,
    next: Option<String>,
}

impl Membership {
    /// Returns counts over all instances.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            rejections: self.rejections().total(),
            over_limit: self.instances_over_limit(),
            ..Counts::default()
        };
        for (id, member) in self.members() {
            match member.state() {
                EngineState::Ready => counts.ready += 1,
                EngineState::Draining => counts.draining += 1,
                EngineState::Gone => counts.tombstones += 1,
            }
            counts.preserved += usize::from(member.preservation.is_some());
            counts.contradicted += usize::from(member.resolved.reason.contradicts());
            counts.unconfirmed += usize::from(member.unconfirmed_since.is_some());
            counts.administratively_drained += usize::from(self.is_administratively_drained(id));
            counts.outdated_records += member.records.outdated_records;
        }
        counts
    }

    /// Returns the report on the sources and on the instances that the query selects.
    pub fn report(&self, now: Millis, query: &Query) -> Report {
        let page = self.member_page(now, query);
        let rejected = self.rejections().recent();
        Report {
            sources: self
                .sources()
                .map(|source| self.source_report(now, source))
                .collect(),
            snapshot_age_ms: self.snapshot_taken_at().map(|at| age(now, at)),
            counts: self.counts(),
            members: page.members,
            next: page.next,
            rejected: rejected.map(|entry| rejected_report(now, entry)).collect(),
        }
    }

    fn member_page(&self, now: Millis, query: &Query) -> Page {
        let start = query.after.clone().map_or(Unbounded, Excluded);
        let limit = query.limit.unwrap_or(MAX_MEMBERS_PER_REPORT);
        let limit = limit.min(MAX_MEMBERS_PER_REPORT);
        let mut selected = self
            .members()
            .range((start, Unbounded))
            .filter(|(_, member)| query.selects(member));
        let members: Vec<MemberReport> = selected
            .by_ref()
            .take(limit)
            .map(|(id, member)| self.member_report(now, id, member))
            .collect();
        let next = selected
            .next()
            .and_then(|_| members.last())
            .map(|last| last.id.clone());
        Page { members, next }
    }

    fn member_report(&self, now: Millis, id: &str, member: &Member) -> MemberReport {
        let preservation = member.preservation.as_ref();
        let records = member.records.iter();
        MemberReport {
            id: id.to_string(),
            address: member.address,
            state: state_name(member.state()),
            reason: match &member.superseded_by {
                Some(other) => format!("its address belongs to {other}"),
                None => self.explain(member.resolved.reason),
            },
            state_age_ms: age(now, member.since),
            state_changes: member.state_changes,
            zone: member.zone.clone(),
            kind: member.kind.clone(),
            started_age_ms: member.started_at().map(|at| age(now, at)),
            version: member.records.newest_version,
            contradiction: member.resolved.reason.contradicts(),
            unconfirmed: member.unconfirmed_since.is_some(),
            administratively_drained: self.is_administratively_drained(id),
            connections_lost: member.liveness.all_lost_at.is_some(),
            preservation: preservation.map(|preservation| preservation_report(now, preservation)),
            superseded_by: member.superseded_by.clone(),
            records: records
                .map(|record| self.record_report(now, member, record))
                .collect(),
        }
    }

    fn record_report(
        &self,
        now: Millis,
        member: &Member,
        record: &SourceRecord,
    ) -> SourceRecordReport {
        SourceRecordReport {
            source: self.source_name(record.source).into(),
            reported: reported_name(record.reported).into(),
            version: record.version,
            since_age_ms: age(now, record.since),
            outdated: record.version.dirty < member.records.newest_version.dirty,
        }
    }

    fn source_report(&self, now: Millis, source: &Source) -> SourceReport {
        let failure = source.last_failure.as_ref();
        SourceReport {
            name: source.name.clone(),
            answering: self.is_answering(source, now),
            answered_age_ms: source.last_answered_at.map(|at| age(now, at)),
            full_lists: source.full_lists,
            deltas: source.deltas,
            failures: source.failures,
            last_failure: failure.map(|failure| failure.problem.clone()),
            last_failure_age_ms: failure.map(|failure| age(now, failure.at)),
        }
    }
}

fn age(now: Millis, at: Millis) -> f64 {
    (now - at).max(0.0).round()
}

fn state_name(state: EngineState) -> &'static str {
    match state {
        EngineState::Ready => "ready",
        EngineState::Draining => "draining",
        EngineState::Gone => "gone",
    }
}

fn reported_name(reported: Reported) -> &'static str {
    match reported {
        Reported::Serving => "UP",
        Reported::Draining(status) => status.as_str(),
        Reported::UnusableAddress => "an address that may not be used",
        Reported::Absent => "not listed",
    }
}

fn preservation_report(now: Millis, preservation: &Preservation) -> PreservationReport {
    PreservationReport {
        reason: format!(
            "{} of {} engines vanished at once",
            preservation.missing, preservation.in_service
        ),
        ends_in_ms: (preservation.until - now).max(0.0).round(),
    }
}

fn rejected_report(now: Millis, entry: &RejectedAddress) -> RejectedReport {
    RejectedReport {
        id: entry.id.clone(),
        address: entry.address,
        reason: entry.reason.clone(),
        count: entry.count,
        last_age_ms: age(now, entry.last_rejected_at),
    }
}
