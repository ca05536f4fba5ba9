use super::policy::Policy;
use super::rules::Rule;
use super::*;

fn parse(text: &str) -> Scenario {
    Scenario::parse(text).unwrap()
}

const SMALL: &str = r#"{ name: "small", seconds: 20, gateways: 3, zones: ["a", "b"],
    engines: [{ kind: "std", count: 4 }], load: { per_s: 24 }, trouble: [FAULTS] }"#;

fn small(faults: &str) -> Scenario {
    parse(&SMALL.replace("FAULTS", faults))
}

/// Asserts that no rule is violated, except that baselines may overload engines that are warming up.
fn assert_valid_for(policy: Policy, r: &RunReport) {
    let allowed =
        |b: &rules::RuleViolation| policy != Policy::Module && b.rule == Rule::ColdEngineOverload;
    assert!(
        r.violations.iter().all(allowed),
        "{}: {:?}",
        policy.name(),
        r.violations
    );
    assert_one_outcome_each(r);
}

fn assert_valid(r: &RunReport) {
    assert!(r.violations.is_empty(), "{:?}", r.violations);
    assert_one_outcome_each(r);
}

fn assert_one_outcome_each(r: &RunReport) {
    let outcomes: u64 = r
        .classes
        .iter()
        .map(|c| {
            let e = c.outcomes;
            e.served + e.rejected + e.failed + e.timed_out + e.client_left
        })
        .sum();
    assert_eq!(
        outcomes, r.requests,
        "every request has exactly one outcome"
    );
}

#[test]
fn every_policy_serves_a_run_without_faults_and_violates_no_rule() {
    let s = small("");
    for policy in Policy::ALL {
        let r = run_scenario(&s, policy, 1);
        assert_valid(&r);
        assert!(
            r.unpenalized_score() > 0.8,
            "{}: {}",
            policy.name(),
            r.unpenalized_score()
        );
        assert!(r.requests > 400 && r.attempts >= r.requests);
    }
}

#[test]
fn a_run_is_determined_by_its_seed() {
    let s = small(r#"{ at_s: 5, kind: "die", engines: 1, back_s: 5 }"#);
    for policy in [Policy::Module, Policy::TwoChoices] {
        let (a, b) = (run_scenario(&s, policy, 7), run_scenario(&s, policy, 7));
        assert_eq!((a.hash, a.events), (b.hash, b.events));
        assert_eq!(a.unpenalized_score(), b.unpenalized_score());
        assert_ne!(a.hash, run_scenario(&s, policy, 8).hash);
    }
    // Runs on other threads, at the same time, give the same hash.
    let hashes: Vec<u64> = std::thread::scope(|t| {
        let all: Vec<_> = (0..4)
            .map(|_| t.spawn(|| run_scenario(&s, Policy::Module, 7).hash))
            .collect();
        all.into_iter().map(|h| h.join().unwrap()).collect()
    });
    assert!(hashes.iter().all(|h| *h == hashes[0]));
}

#[test]
fn all_policies_receive_the_same_requests() {
    let s = small("");
    let offered = |p| {
        let r = run_scenario(&s, p, 3);
        (
            r.requests,
            r.classes
                .iter()
                .map(|c| c.priority_weight.offered.to_bits())
                .collect::<Vec<_>>(),
        )
    };
    let first = offered(Policy::Module);
    assert!(Policy::ALL.into_iter().all(|p| offered(p) == first));
}

#[test]
fn a_load_on_an_engine_that_dies_fails_and_is_not_repeated() {
    let s = small(
        r#"{ at_s: 4, kind: "die", engines: [0, 1], back_s: 6 }, { at_s: 8, kind: "reset", engines: [2, 3] }"#,
    );
    for policy in Policy::ALL {
        let r = run_scenario(&s, policy, 5);
        assert_valid_for(policy, &r);
        let failed = r.classes[2].outcomes.failed;
        assert!(
            failed > 0,
            "{}: a load that may have run must fail rather than be sent again",
            policy.name()
        );
        assert_eq!(
            r.classes[0].outcomes.failed,
            0,
            "{}: a look-up must be retried on another engine",
            policy.name()
        );
    }
}

#[test]
fn a_drain_at_the_same_time_as_a_request_is_respected() {
    // Without a list delay, the drain and requests reach the dispatcher within the same millisecond.
    let text = SMALL
        .replace("load:", "net: { list_ms: [0, 0], within_ms: 0.1, across_ms: [0.1, 0.2] }, load:")
        .replace("per_s: 24", "per_s: 60")
        .replace("FAULTS", r#"{ at_s: 5, kind: "drain", engines: [0], for_s: 5 }, { at_s: 12, kind: "drain", engines: [1, 2], for_s: 4 }"#);
    let r = run_scenario(&parse(&text), Policy::Module, 2);
    assert_valid(&r);
    assert!(
        r.latest_send_after_notice_ms < 1000.0,
        "{}",
        r.latest_send_after_notice_ms
    );
}

#[test]
fn requests_are_answered_while_all_engines_are_down() {
    let s = small(r#"{ at_s: 3, kind: "die", engines: [0, 1, 2, 3], back_s: 30 }"#);
    for policy in Policy::ALL {
        let r = run_scenario(&s, policy, 4);
        assert_valid(&r);
        let unserved: u64 = r
            .classes
            .iter()
            .map(|c| c.outcomes.rejected + c.outcomes.failed + c.outcomes.timed_out)
            .sum();
        assert!(
            unserved * 2 > r.requests,
            "{}: {unserved} of {}",
            policy.name(),
            r.requests
        );
    }
}

#[test]
fn no_rule_is_violated_under_many_overlapping_faults() {
    let s = small(
        r#"{ at_s: 2, kind: "hang", engines: [0], for_s: 5 }, { at_s: 3, kind: "neighbour", engines: 2, part: 0.6, for_s: 6 },
           { at_s: 4, kind: "partition", gateways: [1], engines: [2], for_s: 5 }, { at_s: 5, kind: "slow_link", gateways: [0], extra_ms: 40, for_s: 5 },
           { at_s: 6, kind: "stale_list", extra_s: 4, for_s: 8 }, { at_s: 7, kind: "die", engines: [3], back_s: 4 },
           { at_s: 9, kind: "heavy_tail", class: "report", part: 0.1, times: 8, for_s: 5 },
           { at_s: 10, kind: "registry_away", for_s: 6 }, { at_s: 11, kind: "by_hand", engines: [1], for_s: 5, restart_after_s: 2 }"#,
    );
    for seed in 1..4 {
        assert_valid(&run_scenario(&s, Policy::Module, seed));
    }
}

#[test]
fn clients_that_disconnect_cause_no_violation() {
    let s = parse(
        &SMALL
            .replace("FAULTS", "")
            .replace("per_s: 24", "per_s: 24, leave: 0.3"),
    );
    for policy in [Policy::Module, Policy::Random] {
        let r = run_scenario(&s, policy, 4);
        assert_valid(&r);
    }
}

/// A dispatcher with a deliberate fault, wrapped around a correct one.
struct FaultyDispatcher {
    inner: BaselineDispatcher,
    fault: &'static str,
    /// Whether drains in list events are ignored.
    ignores_drains: bool,
}

impl Dispatch for FaultyDispatcher {
    fn open(&mut self, now: f64, r: NewRequest) -> u64 {
        self.inner.open(now, r)
    }
    fn abandon(&mut self, now: f64, request: u64) {
        self.inner.abandon(now, request);
    }
    fn attempt_ended(&mut self, now: f64, attempt: AttemptId, outcome: Outcome, report: Vec<f64>) {
        // A reset attempt is reported as unreachable, so even a load is sent again.
        let outcome = if self.fault == "repeats" && outcome == Outcome::Reset {
            Outcome::Unreachable
        } else {
            outcome
        };
        self.inner.attempt_ended(now, attempt, outcome, report);
    }
    fn progress(&mut self, _: f64, _: AttemptId, _: ProgressNote) {}
    fn update_endpoints(&mut self, now: f64, update: ListUpdate, entries: Vec<EngineEntry>) {
        if !self.ignores_drains || update != ListUpdate::Patch {
            self.inner.update_endpoints(now, update, entries);
        }
    }
    fn set_administrative_drain(&mut self, now: f64, engine: &str, drained: bool) {
        self.inner.set_administrative_drain(now, engine, drained);
    }
    fn tick(&mut self, now: f64) {
        if self.fault != "silent" {
            self.inner.tick(now);
        }
    }
    fn next_wakeup(&self) -> Option<f64> {
        self.inner.next_wakeup()
    }
    fn take_commands(&mut self) -> Vec<Command> {
        let mut all = self.inner.take_commands();
        let twice = all
            .iter()
            .filter(|c| matches!(c, Command::Answer { .. }))
            .cloned()
            .collect::<Vec<_>>();
        if self.fault == "answers twice" {
            all.extend(twice);
        }
        all
    }
    fn is_in_service(&self, engine: &str) -> bool {
        self.ignores_drains || self.inner.is_in_service(engine)
    }
}

#[test]
fn a_faulty_dispatcher_is_detected_and_its_first_violation_is_reported() {
    let cases = [
        (
            "repeats",
            Rule::NoRepeatedLoads,
            r#"{ at_s: 5, kind: "reset", engines: [0, 1, 2, 3] }, { at_s: 9, kind: "reset", engines: [0, 1, 2, 3] }"#,
        ),
        (
            "deaf",
            Rule::DrainGrace,
            r#"{ at_s: 5, kind: "drain", engines: [0, 1], for_s: 9 }"#,
        ),
        ("answers twice", Rule::OneAnswer, ""),
        (
            "silent",
            Rule::OneAnswer,
            r#"{ at_s: 5, kind: "hang", engines: [0, 1], for_s: 15 }"#,
        ),
    ];
    for (fault, rule, faults) in cases {
        let s = small(faults);
        let fragile: Vec<bool> = s.classes.iter().map(|c| c.non_idempotent).collect();
        let streams = Streams::new(1);
        let r = run_scenario_with(&s, 1, &mut |g, _| {
            let inner = BaselineDispatcher::new(
                Policy::Random,
                fragile.clone(),
                streams.numbered("cheat", g),
            );
            Box::new(FaultyDispatcher {
                inner,
                fault,
                ignores_drains: fault == "deaf",
            })
        });
        let first = r
            .violations
            .first()
            .unwrap_or_else(|| panic!("{fault} was not caught"));
        assert_eq!(first.rule, rule, "{fault}: {first:?}");
        assert!(first.event.contains("dispatcher"), "{first:?}");
        assert_eq!(r.score(), 0.0);
    }
}

#[test]
fn an_overload_of_an_engine_that_is_warming_up_is_detected() {
    // The random policy sends at full rate to engines that have just restarted.
    let text = SMALL
        .replace("per_s: 24", "per_s: 150")
        .replace("count: 4", "count: 2");
    let s = parse(&text.replace(
        "FAULTS",
        r#"{ at_s: 3, kind: "die", engines: [0, 1], back_s: 3 }"#,
    ));
    let r = run_scenario(&s, Policy::Random, 1);
    assert!(
        r.violations
            .iter()
            .any(|b| b.rule == Rule::ColdEngineOverload),
        "{:?}",
        r.violations
    );
    let r = run_scenario(&s, Policy::Module, 1);
    assert!(
        !r.violations
            .iter()
            .any(|b| b.rule == Rule::ColdEngineOverload),
        "{:?}",
        r.violations
    );
}

#[test]
fn the_scenario_files_parse_and_the_core_violates_no_rule_in_them() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/scenarios");
    let mut names = vec![];
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let mut s = Scenario::read(&path).unwrap();
        names.push(path.file_stem().unwrap().to_str().unwrap().to_string());
        // Scenarios with more dispatchers are too large for a unit test.
        if s.dispatchers > 10 {
            continue;
        }
        s.seconds = s.seconds.min(45.0);
        assert_valid(&run_scenario(&s, Policy::Module, 1));
    }
    for wanted in [
        "calm",
        "cut-off-evening",
        "festival-night",
        "building-lost",
        "registry-away",
        "rolling-restart",
        "thousand-engines",
        "engines-out-by-hand",
    ] {
        assert!(names.iter().any(|n| n == wanted), "{wanted}");
    }
}
