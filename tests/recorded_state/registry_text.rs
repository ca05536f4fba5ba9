//! The text form of what the registry view gives out. With its adapter the only file that names the machine's items.

use super::recording::{Recording, float, optional, optional_float};
use query_dispatcher::membership::liveness::LivenessEvidence;
use query_dispatcher::membership::registry_view::{Member, Source};
use query_dispatcher::membership::report::{Only, QueryError};
use query_dispatcher::membership::self_preservation::Held;
use query_dispatcher::membership::snapshot::PersistedInstance;
use query_dispatcher::membership::source_records::{
    Floor, Reported, ResolvedState, SourceRecord, Standing, Why,
};
use query_dispatcher::membership::{Engine, Version};
use query_dispatcher::{EngineState, ListUpdate};

pub fn record_engine(engine: &Engine, recording: &mut Recording) {
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

pub fn update_kind(update: ListUpdate) -> &'static str {
    match update {
        ListUpdate::Snapshot => "change whole",
        ListUpdate::Patch => "change patch",
        ListUpdate::Stale => "change stale",
    }
}

pub fn state_text(state: EngineState) -> &'static str {
    match state {
        EngineState::Ready => "ready",
        EngineState::Draining => "draining",
        EngineState::Gone => "gone",
    }
}

pub fn version_text(version: Version) -> String {
    format!("{}/{}", version.dirty, version.updated)
}

pub fn source_text(source: &Source) -> String {
    let failed = source
        .failed
        .as_ref()
        .map(|(at, problem)| format!("{} {problem}", float(*at)));
    let answered = optional_float(source.answered);
    let totals = [source.failures, source.whole, source.deltas];
    format!(
        "source {} {} {answered} {failed:?} {totals:?} {}",
        source.id, source.name, source.listed
    )
}

pub fn member_text(member: &Member) -> String {
    let particulars = [
        optional(member.address),
        optional(member.zone.as_ref()),
        optional(member.kind.as_ref()),
    ];
    let times = [
        member.listed_start,
        member.unproven,
        member.started(),
        Some(member.since),
    ]
    .map(optional_float);
    let claims = [
        version_text(member.claims.newest),
        member.claims.floor.map_or("none".into(), floor_text),
    ];
    let (liveness, held) = (
        proof_text(&member.proof),
        member.held.as_ref().map(held_text),
    );
    let (belief, superseded) = (
        belief_text(&member.belief),
        optional(member.superseded.as_ref()),
    );
    format!(
        "{particulars:?} {times:?} {claims:?} {liveness} {held:?} {belief} {superseded} {}",
        member.turns
    )
}

pub fn proof_text(proof: &LivenessEvidence) -> String {
    let times = [proof.lost, proof.unwatched, proof.started].map(optional_float);
    format!(
        "liveness {times:?} {} {} {}",
        proof.seen,
        proof.refused,
        proof.dead()
    )
}

pub fn held_text(held: &Held) -> String {
    format!(
        "{} {} {} {}",
        float(held.since),
        float(held.until),
        held.vanished,
        held.of
    )
}

pub fn belief_text(belief: &ResolvedState) -> String {
    let stand = match belief.stand {
        Standing::Serving => "serves",
        Standing::Draining => "drains",
        Standing::Removed => "gone",
    };
    let until = optional_float(belief.until);
    format!(
        "{stand} {} {} {until}",
        reason_text(belief.why),
        belief.why.contradicts()
    )
}

pub fn reason_kind(reason: Why) -> &'static str {
    match reason {
        Why::Listed => "listed",
        Why::Told(_) => "listed not up",
        Why::Unusable => "unusable address",
        Why::Contradicted(..) => "sources contradict",
        Why::Missing(_) => "missing at one source",
        Why::Older => "older than drain",
        Why::Unlisted => "unlisted",
    }
}

pub fn reason_text(reason: Why) -> String {
    let particulars = match reason {
        Why::Told(status) => status.as_str().to_string(),
        Why::Contradicted(source, status) => format!("{source} {}", status.as_str()),
        Why::Missing(source) => source.to_string(),
        Why::Listed | Why::Unusable | Why::Older | Why::Unlisted => String::new(),
    };
    format!("{} {particulars}", reason_kind(reason))
}

pub fn claim_text(claim: &SourceRecord) -> String {
    let said = match claim.said {
        Reported::Serving => "serves".to_string(),
        Reported::Draining(status) => format!("drains {}", status.as_str()),
        Reported::UnusableAddress => "unusable".to_string(),
        Reported::Absent => "absent".to_string(),
    };
    let times = [float(claim.requested_at), float(claim.since)];
    let (version, address) = (version_text(claim.version), optional(claim.address));
    format!(
        "{} {said} {version} {address} {times:?} {}",
        claim.source, claim.round
    )
}

pub fn floor_text(floor: Floor) -> String {
    format!(
        "{} {} {}",
        version_text(floor.version),
        floor.source,
        float(floor.requested_at)
    )
}

pub fn kept_text(kept: &PersistedInstance) -> String {
    let particulars = [optional(kept.zone.as_ref()), optional(kept.kind.as_ref())];
    let versions = [Some(kept.newest), kept.drained].map(|version| version.map(version_text));
    let times = [Some(kept.since), kept.started].map(optional_float);
    format!(
        "kept {} {} {particulars:?} {} {times:?} {versions:?}",
        kept.id, kept.address, kept.serves
    )
}

pub fn only_text(only: Only) -> &'static str {
    match only {
        Only::Ready => "ready",
        Only::Draining => "draining",
        Only::Gone => "gone",
        Only::Held => "held",
        Only::Contradicted => "contradicted",
        Only::Unproven => "unproven",
    }
}

pub fn query_error_kind(error: &QueryError) -> &'static str {
    match error {
        QueryError::Limit(_) => "query error limit",
        QueryError::Only(_) => "query error filter",
        QueryError::Key(_) => "query error key",
    }
}
