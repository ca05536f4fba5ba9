//! Text forms of the registry view's outputs. Only this file and `registry_adapter` use the library's
//! membership items.

use super::recording::{Recording, float, optional, optional_float};
use query_dispatcher::membership::report::{MemberFilter, QueryError};
use query_dispatcher::membership::{
    DiscoveredEngine, DrainWatermark, LivenessEvidence, Member, PersistedInstance, Preservation,
    Reason, Reported, ResolvedState, Source, SourceRecord, Standing, Version,
};
use query_dispatcher::{EngineState, ListUpdate};

pub(crate) fn record_engine(engine: &DiscoveredEngine, recording: &mut Recording) {
    recording.count(match engine.state {
        EngineState::Ready => "engine ready",
        EngineState::Draining => "engine draining",
        EngineState::Gone => "engine gone",
    });
    recording.state(&format!(
        "engine {} {} {} {} {} {} {}",
        engine.id,
        optional(engine.address),
        state_text(engine.state),
        optional(engine.zone.as_ref()),
        optional(engine.kind.as_ref()),
        engine.cell,
        optional_float(engine.started)
    ));
}

pub(crate) fn update_kind(update: ListUpdate) -> &'static str {
    match update {
        ListUpdate::Snapshot => "change whole",
        ListUpdate::Patch => "change patch",
        ListUpdate::Stale => "change stale",
    }
}

pub(crate) fn state_text(state: EngineState) -> &'static str {
    match state {
        EngineState::Ready => "ready",
        EngineState::Draining => "draining",
        EngineState::Gone => "gone",
    }
}

pub(crate) fn version_text(version: Version) -> String {
    format!("{}/{}", version.dirty, version.updated)
}

pub(crate) fn source_text(source: &Source) -> String {
    let failed = source
        .last_failure
        .as_ref()
        .map(|failure| format!("{} {}", float(failure.at), failure.problem));
    let answered = optional_float(source.last_answered_at);
    let totals = [source.failures, source.full_lists, source.deltas];
    format!(
        "source {} {} {answered} {failed:?} {totals:?} {}",
        source.id, source.name, source.listed
    )
}

pub(crate) fn member_text(member: &Member) -> String {
    let details = [
        optional(member.address),
        optional(member.zone.as_ref()),
        optional(member.kind.as_ref()),
    ];
    let times = [
        member.listed_start,
        member.unconfirmed_since,
        member.started_at(),
        Some(member.since),
    ]
    .map(optional_float);
    let versions = [
        version_text(member.records.newest_version),
        member
            .records
            .drain_watermark
            .map_or("none".into(), watermark_text),
    ];
    let (liveness, preservation) = (
        liveness_text(&member.liveness),
        member.preservation.as_ref().map(preservation_text),
    );
    let (resolved, superseded) = (
        resolved_text(&member.resolved),
        optional(member.superseded_by.as_ref()),
    );
    format!(
        "{details:?} {times:?} {versions:?} {liveness} {preservation:?} {resolved} {superseded} {}",
        member.state_changes
    )
}

pub(crate) fn liveness_text(evidence: &LivenessEvidence) -> String {
    let times = [
        evidence.all_lost_at,
        evidence.unconnected_since,
        evidence.restarted_at,
    ]
    .map(optional_float);
    format!(
        "liveness {times:?} {} {} {}",
        evidence.ever_connected,
        evidence.refusals,
        evidence.is_unreachable()
    )
}

pub(crate) fn preservation_text(preservation: &Preservation) -> String {
    format!(
        "{} {} {} {}",
        float(preservation.since),
        float(preservation.until),
        preservation.missing,
        preservation.in_service
    )
}

pub(crate) fn resolved_text(resolved: &ResolvedState) -> String {
    let standing = match resolved.standing {
        Standing::Serving => "serves",
        Standing::Draining => "drains",
        Standing::Removed => "gone",
    };
    let until = optional_float(resolved.until);
    format!(
        "{standing} {} {} {until}",
        reason_text(resolved.reason),
        resolved.reason.contradicts()
    )
}

pub(crate) fn reason_kind(reason: Reason) -> &'static str {
    match reason {
        Reason::Listed => "listed",
        Reason::ListedAs(_) => "listed not up",
        Reason::UnusableAddress => "unusable address",
        Reason::Contradicted(..) => "sources contradict",
        Reason::MissingFrom(_) => "missing at one source",
        Reason::OlderThanDrain => "older than drain",
        Reason::Unlisted => "unlisted",
    }
}

pub(crate) fn reason_text(reason: Reason) -> String {
    let details = match reason {
        Reason::ListedAs(status) => status.as_str().to_string(),
        Reason::Contradicted(source, status) => format!("{source} {}", status.as_str()),
        Reason::MissingFrom(source) => source.to_string(),
        Reason::Listed | Reason::UnusableAddress | Reason::OlderThanDrain | Reason::Unlisted => {
            String::new()
        }
    };
    format!("{} {details}", reason_kind(reason))
}

pub(crate) fn record_text(record: &SourceRecord) -> String {
    let reported = match record.reported {
        Reported::Serving => "serves".to_string(),
        Reported::Draining(status) => format!("drains {}", status.as_str()),
        Reported::UnusableAddress => "unusable".to_string(),
        Reported::Absent => "absent".to_string(),
    };
    let times = [float(record.requested_at), float(record.since)];
    let (version, address) = (version_text(record.version), optional(record.address));
    format!(
        "{} {reported} {version} {address} {times:?} {}",
        record.source, record.generation
    )
}

pub(crate) fn watermark_text(watermark: DrainWatermark) -> String {
    format!(
        "{} {} {}",
        version_text(watermark.version),
        watermark.source,
        float(watermark.requested_at)
    )
}

pub(crate) fn persisted_text(instance: &PersistedInstance) -> String {
    let details = [
        optional(instance.zone.as_ref()),
        optional(instance.kind.as_ref()),
    ];
    let versions = [Some(instance.newest_version), instance.drained_version]
        .map(|version| version.map(version_text));
    let times = [Some(instance.since), instance.started_at].map(optional_float);
    format!(
        "kept {} {} {details:?} {} {times:?} {versions:?}",
        instance.id, instance.address, instance.in_service
    )
}

pub(crate) fn filter_text(filter: MemberFilter) -> &'static str {
    match filter {
        MemberFilter::Ready => "ready",
        MemberFilter::Draining => "draining",
        MemberFilter::Removed => "gone",
        MemberFilter::Preserved => "held",
        MemberFilter::Contradicted => "contradicted",
        MemberFilter::Unconfirmed => "unproven",
    }
}

pub(crate) fn query_error_kind(error: &QueryError) -> &'static str {
    match error {
        QueryError::Limit(_) => "query error limit",
        QueryError::Filter(_) => "query error filter",
        QueryError::UnknownKey(_) => "query error key",
    }
}
