use super::report::{Only, Query};
use super::source_records::{Reported, Why};
use super::*;
use crate::decision::model::EngineState::{Draining, Gone, Ready};
use proptest::prelude::*;
use std::collections::BTreeMap;

const A: &str = "http://a/eureka";
const B: &str = "http://b/eureka";

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn fact(id: &str, status: Status, dirty: u64, updated: u64) -> InstanceRecord {
    let port = 1000
        + id.bytes()
            .fold(0u16, |n, b| n.wrapping_mul(31).wrapping_add(b.into()))
            % 50_000;
    InstanceRecord {
        id: id.into(),
        status,
        overridden: None,
        address: Some(at(port)),
        zone: None,
        kind: None,
        version: Version::new(dirty, updated),
        started: None,
    }
}

fn up(id: &str, dirty: u64, updated: u64) -> InstanceRecord {
    fact(id, Status::Up, dirty, updated)
}

/// Plays views and remembers what the hub was told.
struct Play {
    m: Membership,
    now: Millis,
    told: BTreeMap<String, Engine>,
    news: Vec<String>,
}

impl Play {
    fn new(rules: MembershipConfig) -> Self {
        Play {
            m: Membership::new(rules),
            now: 1_000_000.0,
            told: BTreeMap::new(),
            news: vec![],
        }
    }

    fn apply(&mut self, change: Option<Change>) {
        self.news.extend(self.m.drain_log_lines());
        let Some(change) = change else { return };
        if change.update != ListUpdate::Patch {
            self.told.clear();
        }
        for e in change.engines {
            match e.state {
                Gone => drop(self.told.remove(&e.id)),
                _ => drop(self.told.insert(e.id.clone(), e)),
            }
        }
    }

    fn view_asked(&mut self, source: &str, asked: Millis, content: UpdateContent) {
        let view = SourceUpdate {
            source: source.into(),
            requested_at: asked,
            received_at: self.now,
            content,
        };
        let change = self.m.apply_update(self.now, view);
        self.apply(change);
    }

    fn whole(&mut self, source: &str, facts: &[InstanceRecord]) {
        self.view_asked(source, self.now, UpdateContent::Full(facts.to_vec()));
    }

    fn delta(&mut self, source: &str, told: &[InstanceRecord], deleted: &[(&str, Version)]) {
        let deleted = deleted.iter().map(|(id, v)| (id.to_string(), *v)).collect();
        self.view_asked(
            source,
            self.now,
            UpdateContent::Delta {
                changed: told.to_vec(),
                deleted,
            },
        );
    }

    fn pass(&mut self, ms: Millis) {
        self.now += ms;
        let change = self.m.tick(self.now);
        self.apply(change);
    }

    fn seen(&mut self, engine: &str, seen: Observation) -> bool {
        let (change, anew) = self.m.record_observation(self.now, engine, seen);
        self.apply(change);
        anew
    }

    fn state(&self, id: &str) -> EngineState {
        self.told.get(id).map_or(Gone, |e| e.state)
    }

    fn why(&self, id: &str) -> Why {
        self.m.members()[id].belief.why
    }
}

fn many(n: usize) -> Vec<InstanceRecord> {
    (0..n)
        .map(|i| InstanceRecord {
            address: Some(at(2000 + i as u16)),
            ..up(&format!("e{i:04}"), 5, 100)
        })
        .collect()
}

#[test]
fn every_status_but_up_and_every_override_takes_nothing_new_and_is_not_gone() {
    let mut p = Play::new(MembershipConfig::default());
    let statuses = [
        Status::Down,
        Status::OutOfService,
        Status::Starting,
        Status::Unknown,
    ];
    for (i, status) in statuses.into_iter().enumerate() {
        let (plain, over) = (format!("p{i}"), format!("o{i}"));
        let overridden = InstanceRecord {
            overridden: Some(status),
            ..up(&over, 5, 100)
        };
        p.delta(A, &[fact(&plain, status, 5, 100), overridden], &[]);
        assert_eq!(
            (p.state(&plain), p.state(&over)),
            (Draining, Draining),
            "{status:?}"
        );
    }
    p.delta(
        A,
        &[InstanceRecord {
            overridden: Some(Status::Up),
            ..fact("d", Status::Down, 5, 100)
        }],
        &[],
    );
    assert_eq!(
        p.state("d"),
        Draining,
        "an override of UP makes no engine well"
    );
    assert_eq!(Status::parse("GARBLED"), Status::Unknown);
    p.delta(A, &[], &[("p0", Version::new(5, 200))]);
    assert_eq!(p.state("p0"), Gone);
}

#[test]
fn a_stale_list_does_not_put_a_drained_engine_back_whoever_shows_it() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &[up("e", 5, 100)]);
    p.delta(A, &[fact("e", Status::OutOfService, 5, 5_000)], &[]);
    assert_eq!(p.state("e"), Draining);
    // The same registry, from an older cache; another that lags; and that one alone when the first is away.
    p.whole(A, &[up("e", 5, 100)]);
    assert_eq!(p.state("e"), Draining);
    p.whole(B, &[up("e", 5, 100)]);
    assert_eq!(p.state("e"), Draining);
    p.pass(20_000.0);
    p.whole(B, &[up("e", 5, 100)]);
    assert_eq!((p.state("e"), p.why("e")), (Draining, Why::Older));
    assert!(p.m.members()["e"].claims.passed_over > 0);
    // A newer word does, from whichever.
    p.whole(B, &[up("e", 6, 100)]);
    assert_eq!(p.state("e"), Ready);
}

#[test]
fn an_answer_asked_for_earlier_never_counts_after_one_asked_for_later() {
    let mut p = Play::new(MembershipConfig::default());
    // A registry without times: only the order of asking tells.
    p.whole(A, &[up("e", 0, 0)]);
    p.now += 100.0;
    p.whole(A, &[fact("e", Status::Down, 0, 0)]);
    p.view_asked(A, p.now - 50.0, UpdateContent::Full(vec![up("e", 0, 0)]));
    assert_eq!(p.state("e"), Draining);
    p.now += 100.0;
    p.whole(A, &[up("e", 0, 0)]);
    assert_eq!(p.state("e"), Ready);
}

#[test]
fn a_clock_that_is_set_back_stops_nothing() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &[up("e", 5, 100), up("f", 5, 100)]);
    p.now -= 3_600_000.0;
    p.whole(A, &[fact("e", Status::Down, 5, 200)]);
    assert_eq!((p.state("e"), p.state("f")), (Draining, Gone));
}

#[test]
fn a_contradiction_is_resolved_towards_draining_and_shown() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &[fact("e", Status::OutOfService, 5, 100)]);
    p.whole(B, &[up("e", 5, 100_000)]);
    assert_eq!(p.state("e"), Draining);
    assert!(matches!(
        p.why("e"),
        Why::Contradicted(_, Status::OutOfService)
    ));
    let shown = p.m.report(
        p.now,
        &Query {
            only: Some(Only::Contradicted),
            ..Query::default()
        },
    );
    assert_eq!((shown.members.len(), shown.counts.contradicted), (1, 1));
    assert!(shown.members[0].why.contains(A), "{}", shown.members[0].why);
    // The instance's own newer word settles it.
    p.delta(B, &[up("e", 6, 100_500)], &[]);
    assert_eq!(p.state("e"), Ready);
}

#[test]
fn replicas_that_disagree_and_flap_change_the_engine_once() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &[up("e", 5, 100)]);
    p.whole(B, &[up("e", 5, 100)]);
    for round in 0..50 {
        let updated = 200 + 10 * round;
        p.now += 1000.0;
        p.whole(A, &[fact("e", Status::OutOfService, 5, updated)]);
        p.now += 1000.0;
        p.whole(B, &[up("e", 5, updated + 5)]);
        assert_eq!(p.state("e"), Draining, "round {round}");
    }
    assert_eq!(p.m.members()["e"].turns, 2, "into service, and out of it");
}

#[test]
fn an_engine_that_one_replica_drops_and_another_lists_drains_for_a_while() {
    let mut p = Play::new(MembershipConfig {
        missing_grace: 10_000.0,
        ..MembershipConfig::default()
    });
    p.whole(A, &[up("e", 5, 100), up("f", 5, 100)]);
    p.whole(B, &[up("e", 5, 100), up("f", 5, 100)]);
    p.delta(A, &[], &[("e", Version::new(5, 200))]);
    assert_eq!((p.state("e"), p.state("f")), (Draining, Ready));
    assert!(matches!(p.why("e"), Why::Missing(_)));
    p.pass(9_000.0);
    p.delta(A, &[], &[]);
    p.delta(B, &[], &[]);
    assert_eq!(p.state("e"), Draining);
    p.pass(1_500.0);
    assert_eq!(
        p.state("e"),
        Ready,
        "whoever renews its lease anywhere is alive"
    );
    p.delta(B, &[], &[("e", Version::new(5, 300))]);
    assert_eq!(p.state("e"), Gone);
}

#[test]
fn one_replica_that_loses_its_list_drains_nobody() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &many(50));
    p.whole(B, &many(50));
    p.whole(A, &[]);
    assert!(
        p.told.values().all(|e| e.state == Ready),
        "held, not drained"
    );
    assert_eq!(p.m.held(), 50);
}

#[test]
fn a_list_of_one_engine_where_200_stood_is_held_back_and_shown() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &many(200));
    p.whole(A, &many(1));
    assert_eq!(p.told.values().filter(|e| e.state == Ready).count(), 200);
    let shown = p.m.report(
        p.now,
        &Query {
            only: Some(Only::Held),
            limit: Some(3),
            ..Query::default()
        },
    );
    assert_eq!((shown.counts.held, shown.members.len()), (199, 3));
    assert_eq!(shown.next.as_deref(), Some("e0003"));
    assert!(
        shown.members[0]
            .held
            .as_ref()
            .unwrap()
            .why
            .contains("199 of 200")
    );
    assert!(p.news.iter().any(|n| n.contains("199 of 200")));
    // Connections confirm one; a list that has them again frees the others from doubt.
    p.seen(
        "e0007",
        Observation::Refused {
            open_connections: 0,
        },
    );
    assert_eq!((p.state("e0007"), p.state("e0008")), (Gone, Ready));
    p.whole(A, &many(200));
    assert_eq!((p.m.held(), p.state("e0007")), (0, Ready));
    // The doubt has an end.
    p.whole(A, &many(1));
    p.pass(60_000.0);
    p.whole(A, &many(1));
    assert_eq!(p.state("e0100"), Ready);
    p.pass(61_000.0);
    p.whole(A, &many(1));
    assert_eq!((p.state("e0100"), p.state("e0000")), (Gone, Ready));
}

#[test]
fn a_list_that_shrinks_step_by_step_is_held_back_too() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &many(100));
    for left in (0..100).rev().step_by(5) {
        p.now += 1000.0;
        p.whole(A, &many(left));
    }
    let serving = p.told.values().filter(|e| e.state == Ready).count();
    assert!(
        (74..=80).contains(&serving),
        "{serving}: a quarter may go within the span"
    );
}

#[test]
fn a_few_that_go_and_engines_that_drained_before_are_not_held() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &many(20));
    p.whole(A, &many(18));
    assert_eq!((p.state("e0019"), p.m.held()), (Gone, 0));
    let drained: Vec<InstanceRecord> = many(18)
        .into_iter()
        .map(|f| InstanceRecord {
            status: Status::OutOfService,
            version: Version::new(5, 200),
            ..f
        })
        .collect();
    p.whole(A, &drained);
    p.whole(A, &many(1));
    assert_eq!(p.m.held(), 0, "who drained and went was expected to");
    assert_eq!(p.state("e0005"), Gone);
}

#[test]
fn engines_out_by_hand_do_not_count_as_vanished() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &many(8));
    p.m.set_administratively_drained((2..8).map(|i| format!("e{i:04}")).collect());
    p.whole(A, &many(2));
    assert_eq!(p.m.held(), 0);
}

#[test]
fn all_connections_lost_and_back_is_a_fresh_start_whatever_the_list_says() {
    let mut p = Play::new(MembershipConfig::default());
    let listed = InstanceRecord {
        started: Some(10.0),
        ..up("e", 5, 100)
    };
    p.whole(A, std::slice::from_ref(&listed));
    assert!(
        !p.seen("e", Observation::Opened { at: p.now }),
        "the first connection proves nothing"
    );
    p.pass(60_000.0); // the registry is away
    assert!(
        !p.seen(
            "e",
            Observation::Broken {
                open_connections: 1
            }
        ),
        "one of two"
    );
    assert!(!p.seen(
        "e",
        Observation::Broken {
            open_connections: 0
        }
    ));
    assert!(p.m.members()["e"].proof.dead());
    p.now += 3_000.0;
    let back = p.now - 2.0;
    assert!(p.seen("e", Observation::Opened { at: back }));
    assert_eq!((p.state("e"), p.told["e"].started), (Ready, Some(back)));
    // The old list comes again, and changes nothing.
    p.whole(A, &[listed]);
    assert_eq!(p.told["e"].started, Some(back));
    assert!(!p.seen("e", Observation::Opened { at: p.now }), "once");
}

#[test]
fn an_engine_nobody_watched_while_the_registry_was_away_is_taken_as_started_anew() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &[up("e", 5, 100)]);
    p.seen("e", Observation::Opened { at: p.now });
    p.seen(
        "e",
        Observation::Closed {
            open_connections: 0,
        },
    );
    p.now += 6_000.0;
    assert!(
        !p.seen("e", Observation::Opened { at: p.now }),
        "the registry would have told"
    );
    p.seen(
        "e",
        Observation::Closed {
            open_connections: 0,
        },
    );
    p.pass(30_000.0);
    assert!(
        p.seen("e", Observation::Opened { at: p.now }),
        "nobody would have"
    );
}

#[test]
fn an_address_passed_to_another_instance_belongs_to_the_newer() {
    let mut p = Play::new(MembershipConfig::default());
    let with = |id: &str, dirty, port| InstanceRecord {
        address: Some(at(port)),
        ..up(id, dirty, 100)
    };
    p.whole(A, &[with("old", 5, 77), with("other", 5, 78)]);
    p.whole(
        A,
        &[with("old", 5, 77), with("other", 5, 78), with("new", 9, 77)],
    );
    assert_eq!((p.state("old"), p.told["old"].address), (Draining, None));
    assert_eq!(
        (p.state("new"), p.told["new"].address),
        (Ready, Some(at(77)))
    );
    let shown = p.m.report(p.now, &Query::default());
    assert!(
        shown
            .members
            .iter()
            .any(|m| m.superseded_by.as_deref() == Some("new"))
    );
    // Told again, whatever the order: it stays with the newer.
    p.whole(
        A,
        &[with("new", 9, 77), with("other", 5, 78), with("old", 5, 77)],
    );
    assert_eq!((p.state("old"), p.state("new")), (Draining, Ready));
    // When the newer goes, the address is free for whoever still lists it.
    p.whole(A, &[with("old", 5, 77), with("other", 5, 78)]);
    assert_eq!(
        (p.state("new"), p.state("old"), p.told["old"].address),
        (Gone, Ready, Some(at(77)))
    );
}

#[test]
fn addresses_outside_the_networks_are_rejected_counted_and_named() {
    let nets = ["127.0.0.0/8".parse().unwrap(), "fd00::/8".parse().unwrap()];
    let mut p = Play::new(MembershipConfig {
        networks: Networks::only(&nets),
        ..MembershipConfig::default()
    });
    let with = |id: &str, a: &str, v| InstanceRecord {
        address: Some(a.parse().unwrap()),
        ..up(id, v, 100)
    };
    let bad = [
        "198.51.100.7:3306",
        "[::ffff:198.51.100.7]:3306",
        "0.0.0.0:1",
        "127.0.0.1:0",
        "[ff02::1]:9",
    ];
    for (i, address) in bad.into_iter().enumerate() {
        p.delta(A, &[with(&format!("b{i}"), address, 5)], &[]);
        assert_eq!(p.state(&format!("b{i}")), Gone, "{address}");
    }
    p.delta(A, &[with("ok", "[::ffff:127.0.0.1]:3306", 5)], &[]);
    assert_eq!(
        p.told["ok"].address,
        Some(at(3306)),
        "what it stands for is inside"
    );
    // A known engine whose address is poisoned takes nothing new, and never gets the new address.
    p.delta(A, &[with("ok", "198.51.100.7:3306", 6)], &[]);
    assert_eq!(
        (p.state("ok"), p.told["ok"].address),
        (Draining, Some(at(3306)))
    );
    assert_eq!(p.m.rejected().1, 6);
    assert!(
        p.news
            .iter()
            .any(|n| n.contains("198.51.100.7:3306") && n.contains("outside"))
    );
    p.delta(A, &[with("ok", "127.0.0.1:3307", 7)], &[]);
    assert_eq!(
        (p.state("ok"), p.told["ok"].address),
        (Ready, Some(at(3307)))
    );
}

#[test]
fn a_start_with_every_registry_away_serves_the_snapshot_as_unproven() {
    let mut before = Play::new(MembershipConfig::default());
    before.whole(
        A,
        &[up("e", 5, 100), fact("d", Status::OutOfService, 5, 9_000)],
    );
    let snapshot = before.m.snapshot(before.now).unwrap();
    let text = serde_json::to_string(&snapshot).unwrap();
    let mut p = Play::new(MembershipConfig::default());
    p.now += 40_000.0;
    p.m.restore(p.now, serde_json::from_str(&text).unwrap());
    assert!(
        p.told.is_empty(),
        "nothing is told while a registry may still answer"
    );
    let change = p.m.serve_restored(p.now);
    assert_eq!(change.as_ref().map(|c| c.update), Some(ListUpdate::Stale));
    p.apply(change);
    assert_eq!((p.state("e"), p.state("d")), (Ready, Draining));
    assert_eq!(
        p.told["e"].started,
        Some(p.now),
        "nobody knows whether it restarted: it is spared"
    );
    let shown = p.m.report(p.now + 500.0, &Query::default());
    assert_eq!(
        (shown.snapshot_age_ms, shown.counts.unproven),
        (Some(40_500.0), 2)
    );
    // A lagging registry comes first, and cannot undo the drain; the right one proves the engine.
    p.now += 1000.0;
    p.whole(B, &[up("e", 5, 100), up("d", 5, 100)]);
    assert_eq!((p.state("e"), p.state("d")), (Ready, Draining));
    assert_eq!(p.told["e"].started, None);
}

#[test]
fn the_first_list_goes_before_the_snapshot() {
    let mut before = Play::new(MembershipConfig::default());
    before.whole(A, &[up("gone", 5, 100), up("e", 5, 100)]);
    let mut p = Play::new(MembershipConfig::default());
    p.now += 500_000.0;
    p.m.restore(p.now, before.m.snapshot(before.now).unwrap());
    p.whole(A, &[up("e", 5, 100)]);
    assert_eq!((p.state("e"), p.state("gone")), (Ready, Gone));
    assert!(p.m.serve_restored(p.now).is_none());
}

#[test]
fn all_registries_away_leave_the_last_list_in_force() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &[up("e", 5, 100)]);
    for _ in 0..100 {
        p.pass(10_000.0);
        let change = p.m.record_source_failure(p.now, A, "refused".into());
        p.apply(change);
        assert_eq!(p.state("e"), Ready);
    }
}

#[test]
fn a_swap_of_servers_drops_nothing_until_the_new_ones_answer() {
    let mut p = Play::new(MembershipConfig::default());
    p.whole(A, &many(10));
    let change =
        p.m.configure(p.now, MembershipConfig::default(), &[B.to_string()]);
    p.apply(change);
    assert_eq!(p.told.len(), 10);
    p.pass(60_000.0);
    p.whole(B, &many(9));
    assert_eq!((p.state("e0009"), p.state("e0008")), (Gone, Ready));
}

#[test]
fn churn_of_ids_does_not_grow_memory() {
    let rules = MembershipConfig {
        max_instances: 50,
        max_tombstones: 20,
        tombstone_ttl: 5_000.0,
        ..MembershipConfig::default()
    };
    let mut p = Play::new(rules);
    for i in 0..2_000 {
        p.now += 100.0;
        let facts: Vec<InstanceRecord> = (i..i + 10)
            .map(|n| up(&format!("c{n}"), n as u64, 1))
            .collect();
        p.whole(A, &facts);
        assert!(p.m.members().len() <= 50 + 20, "{}", p.m.members().len());
    }
    let many: Vec<InstanceRecord> = (0..500).map(|n| up(&format!("x{n}"), 9_999, 1)).collect();
    p.whole(A, &many);
    assert!(p.m.members().len() <= 70 && p.m.overflow() > 0);
    let poison: Vec<InstanceRecord> = (0..500)
        .map(|n| InstanceRecord {
            address: None,
            ..up(&format!("p{n}"), 1, 1)
        })
        .collect();
    p.delta(A, &poison, &[]);
    assert!(p.m.rejected().0.len() <= 64);
    assert_eq!(p.m.rejected().1, 500);
}

#[test]
fn a_query_names_what_is_wrong_with_it() {
    let q = Query::parse("limit=5&after=a%2Fb&only=held").unwrap();
    assert_eq!(
        q,
        Query {
            limit: Some(5),
            after: Some("a/b".into()),
            only: Some(Only::Held)
        }
    );
    for (text, what) in [("limit=0", "limit"), ("only=x", "only"), ("o=1", "\"o\"")] {
        assert!(
            Query::parse(text).unwrap_err().to_string().contains(what),
            "{text}"
        );
    }
}

#[derive(Clone, Debug)]
enum Step {
    SourceUpdate {
        source: usize,
        back: u32,
        whole: bool,
        facts: Vec<(usize, u8, u8, u8, u8)>,
        deleted: Vec<(usize, u8)>,
    },
    Observation(usize, u8),
    Pass(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fact = (0..4usize, 0..5u8, 1..4u8, 0..6u8, 0..4u8);
    let view = (
        0..3usize,
        0..3_000u32,
        any::<bool>(),
        prop::collection::vec(fact, 0..5),
        prop::collection::vec((0..4usize, 0..6u8), 0..2),
    );
    let view = view.prop_map(|(source, back, whole, facts, deleted)| Step::SourceUpdate {
        source,
        back,
        whole,
        facts,
        deleted,
    });
    let seen = (0..4usize, 0..4u8).prop_map(|(e, s)| Step::Observation(e, s));
    let pass = (0..40_000u32).prop_map(Step::Pass);
    prop::collection::vec(prop_oneof![6 => view, 1 => seen, 1 => pass], 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Whatever is told in whatever order: an engine in service has been told UP by a fact that is newer than every
    /// drain that was told of it; no two engines in service share an address; what the hub was told is what is
    /// believed; and nothing grows.
    #[test]
    fn a_newer_drain_is_never_undone_by_an_older_up(steps in steps()) {
        let rules = MembershipConfig { tombstone_ttl: f64::INFINITY, ..MembershipConfig::default() };
        let mut p = Play::new(rules);
        let statuses = [Status::Up, Status::Up, Status::OutOfService, Status::Down, Status::Starting];
        let mut drained: BTreeMap<String, Version> = BTreeMap::new();
        let mut served: BTreeMap<String, Version> = BTreeMap::new();
        let mut asked_last = [f64::MIN; 3];
        for step in steps {
            match step {
                Step::SourceUpdate { source, back, whole, facts, deleted } => {
                    let asked = p.now - f64::from(back);
                    let facts: Vec<InstanceRecord> = facts.iter().map(|(e, status, dirty, updated, port)| InstanceRecord {
                        address: Some(at(9000 + u16::from(*port))),
                        ..fact(&format!("e{e}"), statuses[*status as usize], (*dirty).into(), 1 + 2_000 * u64::from(*updated))
                    }).collect();
                    let counts = asked >= asked_last[source];
                    if counts {
                        asked_last[source] = asked;
                        for f in &facts {
                            let which = if f.reported() == Reported::Serving { &mut served } else { &mut drained };
                            let v = which.entry(f.id.clone()).or_default();
                            *v = (*v).max(f.version);
                        }
                    }
                    let content = match whole {
                        true => UpdateContent::Full(facts),
                        false => UpdateContent::Delta {
                            changed: facts,
                            deleted: deleted.iter().map(|(e, v)| (format!("e{e}"), Version::new(2, 1 + 2_000 * u64::from(*v)))).collect(),
                        },
                    };
                    p.view_asked(["a", "b", "c"][source], asked, content);
                }
                Step::Observation(e, what) => {
                    let seen = [
                        Observation::Opened { at: p.now },
                        Observation::Broken { open_connections: 0 },
                        Observation::Refused { open_connections: 0 },
                        Observation::Closed { open_connections: 0 },
                    ][what as usize];
                    p.seen(&format!("e{e}"), seen);
                }
                Step::Pass(ms) => p.pass(ms.into()),
            }
            for (id, e) in &p.told {
                if e.state == Ready {
                    let drain = drained.get(id).copied().unwrap_or_default();
                    let up = served.get(id).copied().unwrap_or_default();
                    prop_assert!(up > drain, "{id} is in service: UP {up:?}, drained {drain:?}");
                }
            }
            let mut addresses: Vec<SocketAddr> = p.told.values().filter_map(|e| e.address).collect();
            let all = addresses.len();
            addresses.sort();
            addresses.dedup();
            prop_assert_eq!(addresses.len(), all, "an address belongs to one engine");
            for (id, m) in p.m.members() {
                prop_assert_eq!(p.state(id), m.state(), "{} is told as it is believed", id);
                prop_assert!(m.claims.iter().count() <= 3);
            }
            prop_assert!(p.m.members().len() <= 4);
            let wake = p.m.next_wakeup(p.now);
            prop_assert!(wake.is_none_or(|at| at > p.now), "no wake-up in the past: {wake:?} at {}", p.now);
        }
    }

    #[test]
    fn the_hold_lets_no_more_than_its_share_go_within_its_span(
        sizes in prop::collection::vec(0..60usize, 1..30), gap in 1..20_000u32
    ) {
        let rules = MembershipConfig::default();
        let hold = rules.self_preservation.clone();
        let mut p = Play::new(rules);
        p.whole(A, &many(60));
        let mut let_go: Vec<(Millis, usize)> = vec![];
        for n in sizes {
            p.now += f64::from(gap);
            let before = p.told.len();
            let held = p.m.held();
            p.whole(A, &many(n));
            let gone = before.saturating_sub(p.told.len());
            // What a hold ends by time is not let go by the list.
            if held == 0 && gone > 0 {
                let_go.retain(|(at, _)| *at + hold.duration > p.now);
                let recent: usize = let_go.iter().map(|l| l.1).sum();
                prop_assert!(gone + recent <= hold.max_missing_count.max(((before + recent) as f64 * hold.max_missing_share) as usize));
                let_go.push((p.now, gone));
            }
        }
    }
}
