//! Adapter to the registry view. Only this file and `registry_text` use the library's membership items.

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

/// One instance as a source lists it, in the terms of the registry's protocol.
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
    pub(crate) max_missing_share: f64,
    pub(crate) max_missing_count: usize,
    pub(crate) preservation_duration: f64,
    pub(crate) source_timeout: f64,
    pub(crate) missing_grace: f64,
    pub(crate) tombstone_ttl: f64,
    pub(crate) max_instances: usize,
    pub(crate) max_tombstones: usize,
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

fn config(options: Options) -> MembershipConfig {
    MembershipConfig {
        networks: networks(options.networks),
        self_preservation: SelfPreservationConfig {
            max_missing_share: options.max_missing_share,
            max_missing_count: options.max_missing_count,
            duration: options.preservation_duration,
        },
        unreachable_after: options.source_timeout,
        missing_grace: options.missing_grace,
        tombstone_ttl: options.tombstone_ttl,
        max_instances: options.max_instances,
        max_tombstones: options.max_tombstones,
    }
}

fn record(instance: Instance) -> InstanceRecord {
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
    let records = |instances: Vec<Instance>| instances.into_iter().map(record).collect();
    let deletion = |(id, version): (String, (u64, u64))| (id, Version::new(version.0, version.1));
    match answer {
        Answer::Full(listed) => UpdateContent::Full(records(listed)),
        Answer::Delta { changed, deleted } => UpdateContent::Delta {
            changed: records(changed),
            deleted: deleted.into_iter().map(deletion).collect(),
        },
    }
}

pub(crate) struct RegistryView(Membership);

/// A snapshot as the text of its file.
pub(crate) struct SnapshotText(String);

impl RegistryView {
    pub(crate) fn new(options: Options) -> Self {
        RegistryView(Membership::new(config(options)))
    }

    pub(crate) fn configure(
        &mut self,
        now: f64,
        options: Options,
        sources: &[String],
        recording: &mut Recording,
    ) {
        let change = self.0.configure(now, config(options), sources);
        self.record_change(change, recording);
    }

    pub(crate) fn apply_answer(
        &mut self,
        now: f64,
        source: &str,
        requested_at: f64,
        answer: Answer,
        recording: &mut Recording,
    ) {
        let update = SourceUpdate {
            source: source.into(),
            requested_at,
            received_at: now,
            content: content(answer),
        };
        let change = self.0.apply_update(now, update);
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
        let observation = match event {
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
        let ObservationOutcome { change, restarted } =
            self.0.record_observation(now, engine, observation);
        recording.state(&format!("restarted {restarted}"));
        if restarted {
            recording.count("restart detected");
        }
        self.record_change(change, recording);
    }

    pub(crate) fn set_drained(&mut self, engines: BTreeSet<String>) {
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
            .for_each(|instance| recording.state(&persisted_text(instance)));
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

    /// Records the operators' report for a query, as JSON.
    pub(crate) fn report(&self, now: f64, query: &str, recording: &mut Recording) {
        match Query::parse(query) {
            Ok(query) => {
                recording.count("report");
                let filter = query.filter.map(filter_text);
                recording.state(&format!(
                    "query {} {:?} {filter:?}",
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

    /// Records everything that the view exposes.
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
        let (over_limit, tombstones, preserved) = (
            self.0.instances_over_limit(),
            self.0.tombstone_count(),
            self.0.preserved_count(),
        );
        recording.state(&format!(
            "totals {rejections} {over_limit} {tombstones} {preserved} {}",
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
        let records: Vec<String> = member.records.iter().map(record_text).collect();
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
            "claims {} {records:?}",
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

/// Records whether these networks admit an address.
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

/// Records the version that two timestamps of a registry's answer form.
pub(crate) fn record_version(dirty: Option<f64>, updated: Option<f64>, recording: &mut Recording) {
    let version = Version::from_timestamps(dirty, updated);
    recording.count(if version.is_unset() {
        "version absent"
    } else {
        "version present"
    });
    recording.state(&version_text(version));
}
