//! The rules of the brief, by an account of the checker's own: it believes nothing that a gateway says of
//! itself. The first event that breaks a rule is kept, with its moment.

use std::collections::{BTreeMap, BTreeSet};

/// The rules, as operators word them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Exactly one final answer, before the client gives up.
    OneAnswer,
    /// Nothing new to an engine later than 1 s after notice that it drains or is gone.
    Drains,
    /// What may have run is not sent again beyond its class: a load never runs twice.
    Repeats,
    /// No cold engine is pushed over.
    Cold,
    /// At most three attempts.
    Attempts,
}

impl Rule {
    pub const ALL: [Rule; 5] = [
        Rule::OneAnswer,
        Rule::Drains,
        Rule::Repeats,
        Rule::Cold,
        Rule::Attempts,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer",
            Rule::Drains => "drains within 1 s",
            Rule::Repeats => "no load twice",
            Rule::Cold => "cold engines not pushed over",
            Rule::Attempts => "attempts bounded",
        }
    }
}

/// The event that broke a rule first.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleViolation {
    pub rule: Rule,
    pub at_ms: f64,
    pub event: String,
}

/// After a notice so long, in milliseconds.
const GRACE: f64 = 1000.0;
const ATTEMPTS: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Request {
    fragile: bool,
    gives_up: f64,
    answers: u32,
    attempts: u32,
    /// Attempts that reached an engine and were not turned away unseen.
    ran: u32,
}

/// One gateway's request.
pub type Key = (usize, u64);

/// The account.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    open: BTreeMap<Key, Request>,
    /// Which gateway was told, and when, that an engine takes nothing new.
    notices: BTreeMap<(usize, usize), f64>,
    broken: Vec<RuleViolation>,
    seen: BTreeSet<Rule>,
    pub taken: u64,
    pub answered: u64,
    /// The longest after a notice that something new was still sent, in milliseconds.
    pub latest_after_notice: f64,
}

impl Checker {
    fn breaks(&mut self, rule: Rule, at_ms: f64, event: String) {
        // The first of each rule is enough to find its cause.
        if self.seen.insert(rule) {
            self.broken.push(RuleViolation { rule, at_ms, event });
        }
    }

    /// A gateway took a request whose client gives up then.
    pub fn took(&mut self, key: Key, fragile: bool, gives_up: f64) {
        self.taken += 1;
        self.open.insert(
            key,
            Request {
                fragile,
                gives_up,
                ..Request::default()
            },
        );
    }

    /// Its client left before: nothing is owed.
    pub fn left(&mut self, key: Key) {
        if let Some(r) = self.open.get_mut(&key) {
            (r.gives_up, r.answers) = (f64::INFINITY, r.answers + 1);
        }
    }

    /// A gateway is told how an engine stands.
    pub fn told(&mut self, now: f64, gateway: usize, engine: usize, ready: bool) {
        match ready {
            true => drop(self.notices.remove(&(gateway, engine))),
            false => drop(self.notices.entry((gateway, engine)).or_insert(now)),
        }
    }

    /// A gateway sends an attempt.
    pub fn sent(&mut self, now: f64, key: Key, index: u32, engine: usize) {
        if let Some(notice) = self.notices.get(&(key.0, engine)).copied() {
            let after = now - notice;
            self.latest_after_notice = self.latest_after_notice.max(after);
            if after > GRACE {
                let event = format!(
                    "gateway {} sent request {} to engine {engine} {after:.0} ms after it was told",
                    key.0, key.1
                );
                self.breaks(Rule::Drains, now, event);
            }
        }
        let Some(r) = self.open.get_mut(&key) else {
            let event = format!("gateway {} sent request {} after its end", key.0, key.1);
            return self.breaks(Rule::OneAnswer, now, event);
        };
        r.attempts += 1;
        let (attempts, twice) = (r.attempts, r.fragile && r.ran > 0);
        if attempts > ATTEMPTS {
            self.breaks(
                Rule::Attempts,
                now,
                format!(
                    "gateway {} made attempt {} of request {}",
                    key.0,
                    index + 1,
                    key.1
                ),
            );
        }
        if twice {
            let event = format!(
                "gateway {} sent load {} again, which may have run",
                key.0, key.1
            );
            self.breaks(Rule::Repeats, now, event);
        }
    }

    /// An attempt has reached its engine, which took it.
    pub fn ran(&mut self, now: f64, key: Key, engine: usize) {
        let Some(r) = self.open.get_mut(&key) else {
            return;
        };
        r.ran += 1;
        if r.fragile && r.ran > 1 {
            let event = format!(
                "load {} of gateway {} ran a second time, on engine {engine}",
                key.1, key.0
            );
            self.breaks(Rule::Repeats, now, event);
        }
    }

    pub fn answered(&mut self, now: f64, key: Key) {
        let Some(r) = self.open.get_mut(&key) else {
            let event = format!(
                "gateway {} answered request {}, which it has not",
                key.0, key.1
            );
            return self.breaks(Rule::OneAnswer, now, event);
        };
        r.answers += 1;
        let (answers, late) = (r.answers, now - r.gives_up);
        self.answered += 1;
        if answers > 1 {
            self.breaks(
                Rule::OneAnswer,
                now,
                format!("gateway {} answered request {} again", key.0, key.1),
            );
        }
        if late > 0.0 {
            let event = format!(
                "gateway {} answered request {} {late:.0} ms after its client gave up",
                key.0, key.1
            );
            self.breaks(Rule::OneAnswer, now, event);
        }
    }

    /// Nothing of this request is out any more.
    pub fn closed(&mut self, key: Key) {
        if self.open.get(&key).is_some_and(|r| r.answers > 0) {
            self.open.remove(&key);
        }
    }

    /// An engine fell over.
    pub fn overloaded(&mut self, now: f64, engine: usize) {
        self.breaks(
            Rule::Cold,
            now,
            format!("engine {engine} fell over, pushed while it was cold"),
        );
    }

    /// The day is over: whatever is owed has had its time.
    pub fn end(&mut self, now: f64) {
        let owed = self
            .open
            .iter()
            .find(|(_, r)| r.answers == 0 && r.gives_up < now)
            .map(|(k, _)| *k);
        if let Some((gateway, request)) = owed {
            self.breaks(
                Rule::OneAnswer,
                now,
                format!("gateway {gateway} never answered request {request}"),
            );
        }
    }

    /// The first event of each rule that was broken, in the order met.
    pub fn broken(&self) -> &[RuleViolation] {
        &self.broken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rules(c: &Checker) -> Vec<Rule> {
        c.broken().iter().map(|b| b.rule).collect()
    }

    #[test]
    fn a_sound_request_breaks_nothing() {
        let mut c = Checker::default();
        c.took((0, 1), true, 100.0);
        c.sent(1.0, (0, 1), 0, 4);
        c.ran(2.0, (0, 1), 4);
        c.answered(50.0, (0, 1));
        c.closed((0, 1));
        c.end(1e9);
        assert!(c.broken().is_empty() && c.open.is_empty());
    }

    #[test]
    fn every_rule_has_an_event_that_breaks_it_and_the_first_is_named() {
        let mut c = Checker::default();
        c.told(0.0, 0, 4, false);
        c.took((0, 1), true, 5_000.0);
        c.sent(999.0, (0, 1), 0, 4);
        assert!(c.broken().is_empty(), "within its grace");
        c.ran(1000.0, (0, 1), 4);
        c.sent(1001.0, (0, 1), 1, 4);
        assert_eq!(rules(&c), [Rule::Drains, Rule::Repeats]);
        assert!(
            c.broken()[0].event.contains("engine 4 1001 ms after"),
            "{:?}",
            c.broken()
        );
        c.sent(1002.0, (0, 1), 2, 5);
        c.sent(1003.0, (0, 1), 3, 5);
        c.answered(5_001.0, (0, 1));
        c.answered(5_002.0, (0, 1));
        c.overloaded(6_000.0, 2);
        assert_eq!(
            rules(&c),
            [
                Rule::Drains,
                Rule::Repeats,
                Rule::Attempts,
                Rule::OneAnswer,
                Rule::Cold
            ]
        );
        assert!(
            c.broken()[3].event.contains("after its client gave up"),
            "{:?}",
            c.broken()[3]
        );
    }

    #[test]
    fn a_request_that_nobody_answers_is_found_at_the_end() {
        let mut c = Checker::default();
        c.took((2, 9), false, 100.0);
        c.end(99.0);
        assert!(c.broken().is_empty());
        c.end(101.0);
        assert!(
            c.broken()[0]
                .event
                .contains("gateway 2 never answered request 9")
        );
        let mut c = Checker::default();
        c.took((2, 9), false, 100.0);
        c.left((2, 9));
        c.end(1e9);
        assert!(c.broken().is_empty(), "its client left");
    }
}
