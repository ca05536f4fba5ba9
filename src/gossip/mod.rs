//! What the dispatchers of a tier tell each other: the load reports that engines' answers bring. A dispatcher among
//! a hundred meets an engine seldom and would learn of its load seconds late; together they meet it all the time.
//!
//! No I/O: time is passed in, and messages go in and out as bytes. Nothing is decided about requests here, only what
//! is worth telling: a report goes to all peers unless the engine was told of a moment ago, by this dispatcher or by
//! another, so that the whole tier says no more than a few words a second of each engine, however many they are.
//! What the words cost is paid from an account that each request adds a little to.

mod message;

pub use message::{DecodeError, LoadReportMessage, MAX_MESSAGE_BYTES};

use crate::decision::model::Millis;
use std::collections::BTreeMap;

/// An engine of which somebody told within this, in ms, is not told of again. Engines refresh their reports every
/// 0.2 to 0.8 s, and the module trusts one for 0.5 s.
const QUIET: Millis = 300.0;
/// Points of a request's worth, in 100, that words may cost for each request taken.
const SHARE: f64 = 0.2;
/// Requests whose part of that may be saved up.
const SAVED: f64 = 50.0;

/// What the operators allow and charge.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipBudget {
    /// Dispatchers of the tier, this one included.
    pub dispatchers: u32,
    /// Points of a request's worth, in 100, for one full message (256 bytes) that reaches one peer.
    pub message_price: f64,
    /// Values in a load report: as many as the settings' `feedback.fields` names.
    pub report_fields: usize,
}

/// What this dispatcher has told its peers and heard from them.
#[derive(Debug)]
pub struct Broadcaster {
    terms: GossipBudget,
    /// Engines in the list, by what stands for their name in a message; `None`: two names share it.
    known: BTreeMap<u32, Option<String>>,
    /// When an engine was last told of, by anybody.
    told: BTreeMap<u32, Millis>,
    /// Points that may still be spent.
    account: f64,
}

impl Broadcaster {
    pub fn new(terms: GossipBudget) -> Self {
        Broadcaster {
            terms,
            known: BTreeMap::new(),
            told: BTreeMap::new(),
            account: 0.0,
        }
    }

    /// The engines that are listed now. Two of one short name are not told of at all: the news of one would pass
    /// for that of the other.
    pub fn set_engines<'a>(&mut self, engines: impl Iterator<Item = &'a str>) {
        self.known.clear();
        for name in engines {
            let twice = |n: &mut Option<String>| *n = None;
            self.known
                .entry(message::short(name))
                .and_modify(twice)
                .or_insert_with(|| Some(name.to_string()));
        }
        self.told.retain(|short, _| self.known.contains_key(short));
    }

    /// A request was taken: it pays for a part of the news.
    pub fn credit_request(&mut self) {
        self.account = (self.account + SHARE).min(SHARE * SAVED);
    }

    /// An answer brought this report of its engine: the message for all peers, if it is worth one.
    pub fn offer_report(&mut self, now: Millis, engine: &str, report: &[f64]) -> Option<Vec<u8>> {
        let short = message::short(engine);
        let news = self.told.get(&short).is_none_or(|at| now >= at + QUIET);
        if !news
            || self.terms.dispatchers < 2
            || !self.known.get(&short).is_some_and(Option::is_some)
        {
            return None;
        }
        let message = message::encode(short, report, self.terms.report_fields)?;
        let cost = self.terms.message_price * message.len() as f64 / MAX_MESSAGE_BYTES as f64
            * f64::from(self.terms.dispatchers - 1);
        if cost > self.account {
            return None;
        }
        self.account -= cost;
        self.told.insert(short, now);
        Some(message)
    }

    /// A peer's message: the engine's name and its report. `Ok(None)`: of one that is not listed here.
    pub fn receive(
        &mut self,
        now: Millis,
        message: &[u8],
    ) -> Result<Option<(String, Vec<f64>)>, DecodeError> {
        let LoadReportMessage { short, report } =
            message::decode(message, self.terms.report_fields)?;
        let Some(Some(engine)) = self.known.get(&short) else {
            return Ok(None);
        };
        self.told.insert(short, now);
        Ok(Some((engine.clone(), report)))
    }
}

#[cfg(test)]
mod tests;
