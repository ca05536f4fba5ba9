use super::policy::Policy;
use super::rules::Rule;
use super::*;

fn day(text: &str) -> Scenario {
    Scenario::parse(text).unwrap()
}

const SMALL: &str = r#"{ name: "small", seconds: 20, gateways: 3, zones: ["a", "b"],
    engines: [{ kind: "std", count: 4 }], load: { per_s: 24 }, trouble: [TROUBLE] }"#;

fn small(trouble: &str) -> Scenario {
    day(&SMALL.replace("TROUBLE", trouble))
}

/// No rule is broken, but for cold engines that a plain policy knows nothing of.
fn sound_for(policy: Policy, d: &RunReport) {
    let kept =
        |b: &rules::RuleViolation| policy != Policy::Module && b.rule == Rule::ColdEngineOverload;
    assert!(
        d.broken.iter().all(kept),
        "{}: {:?}",
        policy.name(),
        d.broken
    );
    one_end_each(d);
}

fn sound(d: &RunReport) {
    assert!(d.broken.is_empty(), "{:?}", d.broken);
    one_end_each(d);
}

fn one_end_each(d: &RunReport) {
    let outcomes: u64 = d
        .classes
        .iter()
        .map(|c| {
            let e = c.outcomes;
            e.served + e.refused + e.failed + e.late + e.left
        })
        .sum();
    assert_eq!(outcomes, d.requests, "every request has one end");
}

#[test]
fn a_calm_day_is_served_by_every_policy_and_breaks_no_rule() {
    let s = small("");
    for policy in Policy::ALL {
        let d = play(&s, policy, 1);
        sound(&d);
        assert!(d.service() > 0.8, "{}: {}", policy.name(), d.service());
        assert!(d.requests > 400 && d.attempts >= d.requests);
    }
}

#[test]
fn one_seed_gives_one_day_and_another_gives_another() {
    let s = small(r#"{ at_s: 5, kind: "die", engines: 1, back_s: 5 }"#);
    for policy in [Policy::Module, Policy::TwoChoices] {
        let (a, b) = (play(&s, policy, 7), play(&s, policy, 7));
        assert_eq!((a.hash, a.events), (b.hash, b.events));
        assert_eq!(a.service(), b.service());
        assert_ne!(a.hash, play(&s, policy, 8).hash);
    }
    // On other threads as well, beside others.
    let hashes: Vec<u64> = std::thread::scope(|t| {
        let all: Vec<_> = (0..4)
            .map(|_| t.spawn(|| play(&s, Policy::Module, 7).hash))
            .collect();
        all.into_iter().map(|h| h.join().unwrap()).collect()
    });
    assert!(hashes.iter().all(|h| *h == hashes[0]));
}

#[test]
fn policies_meet_the_very_same_clients() {
    let s = small("");
    let asked = |p| {
        let d = play(&s, p, 3);
        (
            d.requests,
            d.classes
                .iter()
                .map(|c| c.priority_weight.asked.to_bits())
                .collect::<Vec<_>>(),
        )
    };
    let first = asked(Policy::Module);
    assert!(Policy::ALL.into_iter().all(|p| asked(p) == first));
}

#[test]
fn an_engine_dies_with_a_load_running_and_its_answer_is_lost() {
    let s = small(
        r#"{ at_s: 4, kind: "die", engines: [0, 1], back_s: 6 }, { at_s: 8, kind: "reset", engines: [2, 3] }"#,
    );
    for policy in Policy::ALL {
        let d = play(&s, policy, 5);
        sound_for(policy, &d);
        let failed = d.classes[2].outcomes.failed;
        assert!(
            failed > 0,
            "{}: a load that may have run is failed, not sent again",
            policy.name()
        );
        assert_eq!(
            d.classes[0].outcomes.failed,
            0,
            "{}: a look-up goes elsewhere",
            policy.name()
        );
    }
}

#[test]
fn a_drain_in_the_same_instant_as_a_request_is_kept() {
    // News at once: the drain and the requests of its moment meet in one millisecond.
    let text = SMALL
        .replace("load:", "net: { list_ms: [0, 0], within_ms: 0.1, across_ms: [0.1, 0.2] }, load:")
        .replace("per_s: 24", "per_s: 60")
        .replace("TROUBLE", r#"{ at_s: 5, kind: "drain", engines: [0], for_s: 5 }, { at_s: 12, kind: "drain", engines: [1, 2], for_s: 4 }"#);
    let d = play(&day(&text), Policy::Module, 2);
    sound(&d);
    assert!(
        d.latest_after_notice_ms < 1000.0,
        "{}",
        d.latest_after_notice_ms
    );
}

#[test]
fn a_day_on_which_every_policy_must_refuse_is_answered_all_the_same() {
    let s = small(r#"{ at_s: 3, kind: "die", engines: [0, 1, 2, 3], back_s: 30 }"#);
    for policy in Policy::ALL {
        let d = play(&s, policy, 4);
        sound(&d);
        let unserved: u64 = d
            .classes
            .iter()
            .map(|c| c.outcomes.refused + c.outcomes.failed + c.outcomes.late)
            .sum();
        assert!(
            unserved * 2 > d.requests,
            "{}: {unserved} of {}",
            policy.name(),
            d.requests
        );
    }
}

#[test]
fn hung_crowded_partitioned_and_slow_engines_and_stale_lists_break_no_rule() {
    let s = small(
        r#"{ at_s: 2, kind: "hang", engines: [0], for_s: 5 }, { at_s: 3, kind: "neighbour", engines: 2, part: 0.6, for_s: 6 },
           { at_s: 4, kind: "partition", gateways: [1], engines: [2], for_s: 5 }, { at_s: 5, kind: "slow_link", gateways: [0], extra_ms: 40, for_s: 5 },
           { at_s: 6, kind: "stale_list", extra_s: 4, for_s: 8 }, { at_s: 7, kind: "die", engines: [3], back_s: 4 },
           { at_s: 9, kind: "heavy_tail", class: "report", part: 0.1, times: 8, for_s: 5 },
           { at_s: 10, kind: "registry_away", for_s: 6 }, { at_s: 11, kind: "by_hand", engines: [1], for_s: 5, restart_after_s: 2 }"#,
    );
    for seed in 1..4 {
        sound(&play(&s, Policy::Module, seed));
    }
}

#[test]
fn clients_that_leave_are_owed_nothing_and_break_nothing() {
    let s = day(&SMALL
        .replace("TROUBLE", "")
        .replace("per_s: 24", "per_s: 24, leave: 0.3"));
    for policy in [Policy::Module, Policy::Random] {
        let d = play(&s, policy, 4);
        sound(&d);
    }
}

/// A gateway that breaks a rule on purpose, round a sound one.
struct FaultyDispatcher {
    inner: BaselineDispatcher,
    fault: &'static str,
    /// Drains that were told are not heard.
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
        // What broke off is called never sent: it goes out again, a load as well.
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
fn who_breaks_a_rule_is_caught_and_the_first_event_is_named() {
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
    for (fault, rule, trouble) in cases {
        let s = small(trouble);
        let fragile: Vec<bool> = s.classes.iter().map(|c| c.non_idempotent).collect();
        let streams = Streams::new(1);
        let d = play_with(&s, 1, &mut |g, _| {
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
        let first = d
            .broken
            .first()
            .unwrap_or_else(|| panic!("{fault} was not caught"));
        assert_eq!(first.rule, rule, "{fault}: {first:?}");
        assert!(first.event.contains("dispatcher"), "{first:?}");
        assert_eq!(d.goal(), 0.0);
    }
}

#[test]
fn a_cold_engine_that_is_pushed_over_is_seen() {
    // Random sending knows no cold engines: all of a high load goes to one that has just come back.
    let text = SMALL
        .replace("per_s: 24", "per_s: 150")
        .replace("count: 4", "count: 2");
    let s = day(&text.replace(
        "TROUBLE",
        r#"{ at_s: 3, kind: "die", engines: [0, 1], back_s: 3 }"#,
    ));
    let d = play(&s, Policy::Random, 1);
    assert!(
        d.broken.iter().any(|b| b.rule == Rule::ColdEngineOverload),
        "{:?}",
        d.broken
    );
    let d = play(&s, Policy::Module, 1);
    assert!(
        !d.broken.iter().any(|b| b.rule == Rule::ColdEngineOverload),
        "{:?}",
        d.broken
    );
}

#[test]
fn the_ready_days_are_read_and_the_module_keeps_every_rule_on_them() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../lab/scenarios");
    let mut names = vec![];
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let mut s = Scenario::read(&path).unwrap();
        names.push(path.file_stem().unwrap().to_str().unwrap().to_string());
        // Large days are for `make lab`.
        if s.dispatchers > 10 {
            continue;
        }
        s.seconds = s.seconds.min(45.0);
        sound(&play(&s, Policy::Module, 1));
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
