//! The text form of what the registry view gives out. With its adapter the only file that names the machine's items.

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
    let particulars = [
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
    let claims = [
        version_text(member.records.newest_version),
        member
            .records
            .drain_watermark
            .map_or("none".into(), floor_text),
    ];
    let (liveness, held) = (
        proof_text(&member.liveness),
        member.preservation.as_ref().map(held_text),
    );
    let (belief, superseded) = (
        belief_text(&member.resolved),
        optional(member.superseded_by.as_ref()),
    );
    format!(
        "{particulars:?} {times:?} {claims:?} {liveness} {held:?} {belief} {superseded} {}",
        member.state_changes
    )
}

pub(crate) fn proof_text(proof: &LivenessEvidence) -> String {
    let times = [
        proof.all_lost_at,
        proof.unconnected_since,
        proof.restarted_at,
    ]
    .map(optional_float);
    format!(
        "liveness {times:?} {} {} {}",
        proof.ever_connected,
        proof.refusals,
        proof.is_unreachable()
    )
}

pub(crate) fn held_text(held: &Preservation) -> String {
    format!(
        "{} {} {} {}",
        float(held.since),
        float(held.until),
        held.missing,
        held.in_service
    )
}

pub(crate) fn belief_text(belief: &ResolvedState) -> String {
    let stand = match belief.standing {
        Standing::Serving => "serves",
        Standing::Draining => "drains",
        Standing::Removed => "gone",
    };
    let until = optional_float(belief.until);
    format!(
        "{stand} {} {} {until}",
        reason_text(belief.reason),
        belief.reason.contradicts()
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
    let particulars = match reason {
        Reason::ListedAs(status) => status.as_str().to_string(),
        Reason::Contradicted(source, status) => format!("{source} {}", status.as_str()),
        Reason::MissingFrom(source) => source.to_string(),
        Reason::Listed | Reason::UnusableAddress | Reason::OlderThanDrain | Reason::Unlisted => {
            String::new()
        }
    };
    format!("{} {particulars}", reason_kind(reason))
}

pub(crate) fn claim_text(claim: &SourceRecord) -> String {
    let said = match claim.reported {
        Reported::Serving => "serves".to_string(),
        Reported::Draining(status) => format!("drains {}", status.as_str()),
        Reported::UnusableAddress => "unusable".to_string(),
        Reported::Absent => "absent".to_string(),
    };
    let times = [float(claim.requested_at), float(claim.since)];
    let (version, address) = (version_text(claim.version), optional(claim.address));
    format!(
        "{} {said} {version} {address} {times:?} {}",
        claim.source, claim.generation
    )
}

pub(crate) fn floor_text(floor: DrainWatermark) -> String {
    format!(
        "{} {} {}",
        version_text(floor.version),
        floor.source,
        float(floor.requested_at)
    )
}

pub(crate) fn kept_text(kept: &PersistedInstance) -> String {
    let particulars = [optional(kept.zone.as_ref()), optional(kept.kind.as_ref())];
    let versions =
        [Some(kept.newest_version), kept.drained_version].map(|version| version.map(version_text));
    let times = [Some(kept.since), kept.started_at].map(optional_float);
    format!(
        "kept {} {} {particulars:?} {} {times:?} {versions:?}",
        kept.id, kept.address, kept.in_service
    )
}

pub(crate) fn only_text(only: MemberFilter) -> &'static str {
    match only {
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
