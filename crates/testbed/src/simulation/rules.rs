//! Checks the rules that operators require of dispatchers. The checker keeps its own records and trusts no
//! dispatcher's account of itself. It keeps the first event that violates each rule, with its time.

use std::collections::{BTreeMap, BTreeSet};

/// The rules, as operators word them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A request gets exactly one final answer, before the client gives up.
    OneAnswer,
    /// No new attempt is sent to an engine later than 1 s after a notice that it drains or is gone.
    DrainGrace,
    /// A non-idempotent request that may have run is not sent again: a load never runs twice.
    NoRepeatedLoads,
    /// No engine fails under overload while it is warming up.
    ColdEngineOverload,
    /// A request has at most three attempts.
    AttemptLimit,
}

impl Rule {
    pub const ALL: [Rule; 5] = [
        Rule::OneAnswer,
        Rule::DrainGrace,
        Rule::NoRepeatedLoads,
        Rule::ColdEngineOverload,
        Rule::AttemptLimit,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer",
            Rule::DrainGrace => "drains within 1 s",
            Rule::NoRepeatedLoads => "no load twice",
            Rule::ColdEngineOverload => "cold engines not pushed over",
            Rule::AttemptLimit => "attempts bounded",
        }
    }
}

/// The first event that violated a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    pub rule: Rule,
    pub at_ms: f64,
    pub event: String,
}

/// Time after a notice in which new attempts may still be sent, in milliseconds.
const DRAIN_GRACE_MS: f64 = 1000.0;
const MAX_ATTEMPTS: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Request {
    non_idempotent: bool,
    deadline: f64,
    answers: u32,
    attempts: u32,
    /// Number of attempts that reached an engine and were accepted there.
    accepted: u32,
}

/// A dispatcher and the identifier of one of its requests.
pub type RequestKey = (usize, u64);

/// The checker's records of all requests and notices.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    open: BTreeMap<RequestKey, Request>,
    /// When a dispatcher was notified that an engine accepts no new attempts, by dispatcher and engine.
    notices: BTreeMap<(usize, usize), f64>,
    violations: Vec<RuleViolation>,
    violated: BTreeSet<Rule>,
    pub opened: u64,
    pub answered: u64,
    /// Longest time after a notice at which a new attempt was still sent, in milliseconds.
    pub latest_send_after_notice_ms: f64,
}

impl Checker {
    fn record_violation(&mut self, rule: Rule, at_ms: f64, event: String) {
        // The first violation of each rule is enough to find its cause.
        if self.violated.insert(rule) {
            self.violations.push(RuleViolation { rule, at_ms, event });
        }
    }

    /// Records a request that a dispatcher accepted, and the time at which its client gives up.
    pub fn request_opened(&mut self, key: RequestKey, non_idempotent: bool, deadline: f64) {
        self.opened += 1;
        self.open.insert(
            key,
            Request {
                non_idempotent,
                deadline,
                ..Request::default()
            },
        );
    }

    /// Records that the client disconnected: no answer is pending any more.
    pub fn client_left(&mut self, key: RequestKey) {
        if let Some(r) = self.open.get_mut(&key) {
            (r.deadline, r.answers) = (f64::INFINITY, r.answers + 1);
        }
    }

    /// Records that a dispatcher was notified of the state of an engine.
    pub fn engine_notice(&mut self, now: f64, dispatcher: usize, engine: usize, ready: bool) {
        match ready {
            true => drop(self.notices.remove(&(dispatcher, engine))),
            false => drop(self.notices.entry((dispatcher, engine)).or_insert(now)),
        }
    }

    /// Records that a dispatcher sent an attempt.
    pub fn attempt_sent(&mut self, now: f64, key: RequestKey, index: u32, engine: usize) {
        if let Some(notice) = self.notices.get(&(key.0, engine)).copied() {
            let after = now - notice;
            self.latest_send_after_notice_ms = self.latest_send_after_notice_ms.max(after);
            if after > DRAIN_GRACE_MS {
                let event = format!(
                    "dispatcher {} sent request {} to engine {engine} {after:.0} ms after the notice to stop",
                    key.0, key.1
                );
                self.record_violation(Rule::DrainGrace, now, event);
            }
        }
        let Some(r) = self.open.get_mut(&key) else {
            let event = format!(
                "dispatcher {} sent request {} after the request had ended",
                key.0, key.1
            );
            return self.record_violation(Rule::OneAnswer, now, event);
        };
        r.attempts += 1;
        let (attempts, repeated) = (r.attempts, r.non_idempotent && r.accepted > 0);
        if attempts > MAX_ATTEMPTS {
            self.record_violation(
                Rule::AttemptLimit,
                now,
                format!(
                    "dispatcher {} made attempt {} of request {}",
                    key.0,
                    index + 1,
                    key.1
                ),
            );
        }
        if repeated {
            let event = format!(
                "dispatcher {} sent load {} again although it may have run",
                key.0, key.1
            );
            self.record_violation(Rule::NoRepeatedLoads, now, event);
        }
    }

    /// Records that an engine accepted an attempt.
    pub fn attempt_accepted(&mut self, now: f64, key: RequestKey, engine: usize) {
        let Some(r) = self.open.get_mut(&key) else {
            return;
        };
        r.accepted += 1;
        if r.non_idempotent && r.accepted > 1 {
            let event = format!(
                "load {} of dispatcher {} ran a second time, on engine {engine}",
                key.1, key.0
            );
            self.record_violation(Rule::NoRepeatedLoads, now, event);
        }
    }

    /// Records the answer to a request.
    pub fn request_answered(&mut self, now: f64, key: RequestKey) {
        let Some(r) = self.open.get_mut(&key) else {
            let event = format!(
                "dispatcher {} answered request {}, which is not open",
                key.0, key.1
            );
            return self.record_violation(Rule::OneAnswer, now, event);
        };
        r.answers += 1;
        let (answers, late) = (r.answers, now - r.deadline);
        self.answered += 1;
        if answers > 1 {
            self.record_violation(
                Rule::OneAnswer,
                now,
                format!(
                    "dispatcher {} answered request {} more than once",
                    key.0, key.1
                ),
            );
        }
        if late > 0.0 {
            let event = format!(
                "dispatcher {} answered request {} {late:.0} ms after its client gave up",
                key.0, key.1
            );
            self.record_violation(Rule::OneAnswer, now, event);
        }
    }

    /// Records that no attempt of an answered request is in flight any more.
    pub fn request_closed(&mut self, key: RequestKey) {
        if self.open.get(&key).is_some_and(|r| r.answers > 0) {
            self.open.remove(&key);
        }
    }

    /// Records that an engine failed under overload.
    pub fn engine_overloaded(&mut self, now: f64, engine: usize) {
        self.record_violation(
            Rule::ColdEngineOverload,
            now,
            format!("engine {engine} failed under overload while it was warming up"),
        );
    }

    /// Ends the run: a request that is still unanswered past its deadline violates a rule.
    pub fn finish(&mut self, now: f64) {
        let unanswered = self
            .open
            .iter()
            .find(|(_, r)| r.answers == 0 && r.deadline < now)
            .map(|(k, _)| *k);
        if let Some((dispatcher, request)) = unanswered {
            self.record_violation(
                Rule::OneAnswer,
                now,
                format!("dispatcher {dispatcher} never answered request {request}"),
            );
        }
    }

    /// Returns the first violation of each rule, in the order in which they occurred.
    pub fn violations(&self) -> &[RuleViolation] {
        &self.violations
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn violated_rules(c: &Checker) -> Vec<Rule> {
        c.violations().iter().map(|b| b.rule).collect()
    }

    #[test]
    fn a_correct_request_violates_no_rule() {
        let mut c = Checker::default();
        c.request_opened((0, 1), true, 100.0);
        c.attempt_sent(1.0, (0, 1), 0, 4);
        c.attempt_accepted(2.0, (0, 1), 4);
        c.request_answered(50.0, (0, 1));
        c.request_closed((0, 1));
        c.finish(1e9);
        assert!(c.violations().is_empty() && c.open.is_empty());
    }

    #[test]
    fn each_rule_is_violated_and_the_first_violation_is_reported() {
        let mut c = Checker::default();
        c.engine_notice(0.0, 0, 4, false);
        c.request_opened((0, 1), true, 5_000.0);
        c.attempt_sent(999.0, (0, 1), 0, 4);
        assert!(c.violations().is_empty(), "within the drain grace");
        c.attempt_accepted(1000.0, (0, 1), 4);
        c.attempt_sent(1001.0, (0, 1), 1, 4);
        assert_eq!(
            violated_rules(&c),
            [Rule::DrainGrace, Rule::NoRepeatedLoads]
        );
        assert!(
            c.violations()[0].event.contains("engine 4 1001 ms after"),
            "{:?}",
            c.violations()
        );
        c.attempt_sent(1002.0, (0, 1), 2, 5);
        c.attempt_sent(1003.0, (0, 1), 3, 5);
        c.request_answered(5_001.0, (0, 1));
        c.request_answered(5_002.0, (0, 1));
        c.engine_overloaded(6_000.0, 2);
        assert_eq!(
            violated_rules(&c),
            [
                Rule::DrainGrace,
                Rule::NoRepeatedLoads,
                Rule::AttemptLimit,
                Rule::OneAnswer,
                Rule::ColdEngineOverload
            ]
        );
        assert!(
            c.violations()[3].event.contains("after its client gave up"),
            "{:?}",
            c.violations()[3]
        );
    }

    #[test]
    fn an_unanswered_request_is_reported_at_the_end_of_the_run() {
        let mut c = Checker::default();
        c.request_opened((2, 9), false, 100.0);
        c.finish(99.0);
        assert!(c.violations().is_empty());
        c.finish(101.0);
        assert!(
            c.violations()[0]
                .event
                .contains("dispatcher 2 never answered request 9")
        );
        let mut c = Checker::default();
        c.request_opened((2, 9), false, 100.0);
        c.client_left((2, 9));
        c.finish(1e9);
        assert!(c.violations().is_empty(), "the client disconnected");
    }
}
