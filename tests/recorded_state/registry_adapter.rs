//! The registry view as the streams use it. With `registry_text` the only file that names its items.

use super::recording::{Recording, float, optional, optional_float};
use super::registry_text::*;
use query_dispatcher::membership::report::Query;
use query_dispatcher::membership::{
    EndpointListChange, InstanceRecord, Member, Membership, MembershipConfig, Networks,
    Observation, ObservationOutcome, SelfPreservationConfig, Snapshot, SourceUpdate, Status,
    UpdateContent, Version,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One instance as a source lists it, in the words of the registry's protocol.
#[derive(Clone)]
pub(crate) struct Instance {
    pub(crate) id: String,
    pub(crate) status: &'static str,
    pub(crate) overridden: Option<&'static str>,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) zone: Option<String>,
    pub(crate) kind: Option<String>,
    /// `lastDirtyTimestamp` and `lastUpdatedTimestamp`.
    pub(crate) version: (u64, u64),
    pub(crate) started: Option<f64>,
}

pub(crate) enum Answer {
    Full(Vec<Instance>),
    Delta {
        changed: Vec<Instance>,
        deleted: Vec<(String, (u64, u64))>,
    },
}

#[derive(Clone, Copy)]
pub(crate) enum Connection {
    Opened { at: f64 },
    Broken { open: usize },
    Refused { open: usize },
    Closed { open: usize },
}

#[derive(Clone, Copy)]
pub(crate) enum AllowedNetworks {
    Any,
    Private,
    Only(&'static [&'static str]),
}

#[derive(Clone, Copy)]
pub(crate) struct Options {
    pub(crate) networks: AllowedNetworks,
    pub(crate) preserved_share: f64,
    pub(crate) preserved_least: usize,
    pub(crate) preserved_span: f64,
    pub(crate) source_timeout: f64,
    pub(crate) missing_timeout: f64,
    pub(crate) removed_kept: f64,
    pub(crate) instance_limit: usize,
    pub(crate) removed_limit: usize,
}

fn networks(allowed: AllowedNetworks) -> Networks {
    match allowed {
        AllowedNetworks::Any => Networks::any(),
        AllowedNetworks::Private => Networks::private(),
        AllowedNetworks::Only(list) => Networks::only(
            &list
                .iter()
                .map(|network| network.parse().unwrap())
                .collect::<Vec<_>>(),
        ),
    }
}

fn rules(options: Options) -> MembershipConfig {
    MembershipConfig {
        networks: networks(options.networks),
        self_preservation: SelfPreservationConfig {
            max_missing_share: options.preserved_share,
            max_missing_count: options.preserved_least,
            duration: options.preserved_span,
        },
        unreachable_after: options.source_timeout,
        missing_grace: options.missing_timeout,
        tombstone_ttl: options.removed_kept,
        max_instances: options.instance_limit,
        max_tombstones: options.removed_limit,
    }
}

fn fact(instance: Instance) -> InstanceRecord {
    InstanceRecord {
        id: instance.id,
        status: Status::parse(instance.status),
        overridden: instance.overridden.map(Status::parse),
        address: instance.address,
        zone: instance.zone,
        kind: instance.kind,
        version: Version::new(instance.version.0, instance.version.1),
        started: instance.started,
    }
}

fn content(answer: Answer) -> UpdateContent {
    let facts = |instances: Vec<Instance>| instances.into_iter().map(fact).collect();
    let named = |(id, version): (String, (u64, u64))| (id, Version::new(version.0, version.1));
    match answer {
        Answer::Full(listed) => UpdateContent::Full(facts(listed)),
        Answer::Delta { changed, deleted } => UpdateContent::Delta {
            changed: facts(changed),
            deleted: deleted.into_iter().map(named).collect(),
        },
    }
}

pub(crate) struct RegistryView(Membership);

/// A snapshot that was taken, as its file's text.
pub(crate) struct SnapshotText(String);

impl RegistryView {
    pub(crate) fn new(options: Options) -> Self {
        RegistryView(Membership::new(rules(options)))
    }

    pub(crate) fn configure(
        &mut self,
        now: f64,
        options: Options,
        sources: &[String],
        recording: &mut Recording,
    ) {
        let change = self.0.configure(now, rules(options), sources);
        self.record_change(change, recording);
    }

    pub(crate) fn answered(
        &mut self,
        now: f64,
        source: &str,
        requested_at: f64,
        answer: Answer,
        recording: &mut Recording,
    ) {
        let view = SourceUpdate {
            source: source.into(),
            requested_at,
            received_at: now,
            content: content(answer),
        };
        let change = self.0.apply_update(now, view);
        self.record_change(change, recording);
    }

    pub(crate) fn source_failed(&mut self, now: f64, source: &str, recording: &mut Recording) {
        let change = self
            .0
            .record_source_failure(now, source, format!("{source} refused"));
        self.record_change(change, recording);
    }

    pub(crate) fn connection(
        &mut self,
        now: f64,
        engine: &str,
        event: Connection,
        recording: &mut Recording,
    ) {
        let seen = match event {
            Connection::Opened { at } => Observation::Opened { at },
            Connection::Broken { open } => Observation::Broken {
                open_connections: open,
            },
            Connection::Refused { open } => Observation::Refused {
                open_connections: open,
            },
            Connection::Closed { open } => Observation::Closed {
                open_connections: open,
            },
        };
        let ObservationOutcome { change, restarted } = self.0.record_observation(now, engine, seen);
        recording.state(&format!("restarted {restarted}"));
        if restarted {
            recording.count("restart detected");
        }
        self.record_change(change, recording);
    }

    pub(crate) fn taken_out_by_operator(&mut self, engines: BTreeSet<String>) {
        self.0.set_administratively_drained(engines);
    }

    pub(crate) fn tick(&mut self, now: f64, recording: &mut Recording) {
        let change = self.0.tick(now);
        self.record_change(change, recording);
    }

    pub(crate) fn next_wakeup(&self, now: f64) -> Option<f64> {
        self.0.next_wakeup(now)
    }

    pub(crate) fn snapshot(&self, now: f64, recording: &mut Recording) -> Option<SnapshotText> {
        let Some(snapshot) = self.0.snapshot(now) else {
            recording.state("snapshot none");
            return None;
        };
        recording.count("snapshot taken");
        recording.state(&format!("snapshot {}", float(snapshot.taken_at)));
        snapshot
            .instances
            .iter()
            .for_each(|kept| recording.state(&kept_text(kept)));
        let text = serde_json::to_string(&snapshot).unwrap();
        recording.wording(&text);
        Some(SnapshotText(text))
    }

    pub(crate) fn restore(&mut self, now: f64, text: &SnapshotText, recording: &mut Recording) {
        let snapshot: Snapshot = serde_json::from_str(&text.0).unwrap();
        self.0.restore(now, snapshot);
        recording.count("snapshot restored");
    }

    pub(crate) fn serve_restored(&mut self, now: f64, recording: &mut Recording) {
        let change = self.0.serve_restored(now);
        if change.is_some() {
            recording.count("snapshot served");
        }
        self.record_change(change, recording);
    }

    /// The operators' report for a query, as JSON.
    pub(crate) fn report(&self, now: f64, query: &str, recording: &mut Recording) {
        match Query::parse(query) {
            Ok(query) => {
                recording.count("report");
                let only = query.filter.map(only_text);
                recording.state(&format!(
                    "query {} {:?} {only:?}",
                    optional(query.limit),
                    query.after
                ));
                recording.wording(&serde_json::to_string(&self.0.report(now, &query)).unwrap());
            }
            Err(error) => {
                recording.count(query_error_kind(&error));
                recording.state(query_error_kind(&error));
                recording.wording(&error.to_string());
            }
        }
    }

    /// Everything that the view shows of itself.
    pub(crate) fn record_all(&self, now: f64, recording: &mut Recording) {
        for source in self.0.sources() {
            recording.state(&format!(
                "{} {}",
                source_text(source),
                self.0.is_answering(source, now)
            ));
        }
        for (id, member) in self.0.members() {
            self.record_member(id, member, recording);
        }
        let rejections = self.0.rejections().total();
        for entry in self.0.rejections().recent() {
            let last = float(entry.last_rejected_at);
            recording.state(&format!(
                "rejected {} {} {} {last}",
                entry.id,
                optional(entry.address),
                entry.count
            ));
            recording.wording(&entry.reason);
            recording.count("rejected address");
        }
        if self.0.instances_over_limit() > 0 {
            recording.count("beyond instance limit");
        }
        let (overflow, gone, held) = (
            self.0.instances_over_limit(),
            self.0.tombstone_count(),
            self.0.preserved_count(),
        );
        recording.state(&format!(
            "totals {rejections} {overflow} {gone} {held} {}",
            self.0.config().max_instances
        ));
        recording.state(&format!(
            "restored {}",
            optional_float(self.0.snapshot_taken_at())
        ));
        self.record_counts(recording);
    }

    fn record_counts(&self, recording: &mut Recording) {
        let counts = self.0.counts();
        let states = [
            counts.ready,
            counts.draining,
            counts.preserved,
            counts.contradicted,
            counts.unconfirmed,
        ];
        let others = [counts.administratively_drained, counts.tombstones];
        let totals = [
            counts.rejections,
            counts.over_limit,
            counts.outdated_records,
        ];
        recording.state(&format!("counts {states:?} {others:?} {totals:?}"));
        if counts.outdated_records > 0 {
            recording.count("older fact ignored");
        }
    }

    fn record_member(&self, id: &str, member: &Member, recording: &mut Recording) {
        let claims: Vec<String> = member.records.iter().map(claim_text).collect();
        recording.count(reason_kind(member.resolved.reason));
        if member.preservation.is_some() {
            recording.count("kept by self-preservation");
        }
        if member.superseded_by.is_some() {
            recording.count("address passed on");
        }
        if member.unconfirmed_since.is_some() {
            recording.count("unconfirmed since snapshot");
        }
        recording.state(&format!(
            "member {id} {} {}",
            state_text(member.state()),
            member_text(member)
        ));
        recording.state(&format!(
            "claims {} {claims:?}",
            member.records.outdated_records
        ));
        recording.state(&format!(
            "out by operator {}",
            self.0.is_administratively_drained(id)
        ));
        recording.wording(&self.0.explain(member.resolved.reason));
    }

    fn record_change(&mut self, change: Option<EndpointListChange>, recording: &mut Recording) {
        match change {
            None => recording.state("change none"),
            Some(change) => {
                let kind = update_kind(change.update);
                recording.count(kind);
                recording.state(kind);
                change
                    .engines
                    .iter()
                    .for_each(|engine| record_engine(engine, recording));
            }
        }
        for line in self.0.drain_log_lines() {
            recording.count("log line");
            recording.wording(&line);
        }
    }
}

/// Whether an address may be used, under these networks.
pub(crate) fn record_admission(
    allowed: AllowedNetworks,
    address: SocketAddr,
    recording: &mut Recording,
) {
    match networks(allowed).admit(address) {
        Ok(admitted) => {
            recording.count("address admitted");
            recording.state(&format!("admitted {admitted}"));
        }
        Err(rejection) => {
            recording.count("address refused");
            recording.state("refused");
            recording.wording(&rejection.to_string());
        }
    }
}

/// The version that two timestamps of a registry's answer make.
pub(crate) fn record_version(dirty: Option<f64>, updated: Option<f64>, recording: &mut Recording) {
    let version = Version::from_timestamps(dirty, updated);
    recording.count(if version.is_unset() {
        "version absent"
    } else {
        "version present"
    });
    recording.state(&version_text(version));
}
