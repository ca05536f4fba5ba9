//! The book of all engines: takes what is told and seen, and gives what changes by it.

use crate::decision::model::{EngineState, ListUpdate, Millis};
use crate::membership::liveness::{LivenessEvidence, Observation};
use crate::membership::networks::{Networks, Rejection};
use crate::membership::self_preservation::{Held, MissingInstances, SelfPreservationConfig};
use crate::membership::source_records::{
    InstanceRecord, Reported, ResolvedState, SourceId, SourceRecord, SourceRecords, Standing,
    Version, Why, earlier,
};
use crate::membership::{Change, Engine, SourceUpdate, UpdateContent};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Sources at a time; those that a new configuration no longer names are dropped first.
pub const MOST_SOURCES: usize = 16;
/// Rejected addresses that are kept for operators.
pub const MOST_REJECTED: usize = 64;
/// The longest id, zone or kind that is taken, in bytes.
pub const MOST_TEXT: usize = 512;
/// Lines for the log that wait to be taken.
const MOST_NEWS: usize = 64;

/// What the operators' file says of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    pub networks: Networks,
    pub self_preservation: SelfPreservationConfig,
    /// A source whose last answer is older, in milliseconds, is away: its claims stand only if all are away.
    pub unreachable_after: Millis,
    /// How long an engine that one source lists no more and another does drains, in milliseconds.
    pub missing_grace: Millis,
    /// How long, in milliseconds, what was known of an engine that is gone is kept: so long no older list brings
    /// it back.
    pub tombstone_ttl: Millis,
    /// Engines at a time; further ones are turned away.
    pub max_instances: usize,
    /// Engines that are gone and remembered; the oldest makes room.
    pub max_tombstones: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            networks: Networks::any(),
            self_preservation: SelfPreservationConfig::default(),
            unreachable_after: 15_000.0,
            missing_grace: 60_000.0,
            tombstone_ttl: 600_000.0,
            max_instances: 20_000,
            max_tombstones: 4_096,
        }
    }
}

/// A source as operators see it.
#[derive(Clone, Debug)]
pub struct Source {
    pub id: SourceId,
    pub name: String,
    pub answered: Option<Millis>,
    pub failed: Option<(Millis, String)>,
    pub failures: u64,
    pub whole: u64,
    pub deltas: u64,
    /// Facts of its last whole list, and changes since.
    pub listed: usize,
    round: u64,
    requested_at: Millis,
}

/// An address that was turned away.
#[derive(Clone, Debug, PartialEq)]
pub struct Rejected {
    pub id: String,
    pub address: Option<SocketAddr>,
    pub why: String,
    pub times: u64,
    pub last: Millis,
}

/// What is believed of one engine.
#[derive(Clone, Debug)]
pub struct Member {
    pub claims: SourceRecords,
    pub address: Option<SocketAddr>,
    pub zone: Option<String>,
    pub kind: Option<String>,
    /// When its process started, as lists tell.
    pub listed_start: Option<Millis>,
    pub proof: LivenessEvidence,
    /// From a snapshot, and no source has confirmed it since: it may have restarted meanwhile.
    pub unproven: Option<Millis>,
    pub held: Option<Held>,
    pub belief: ResolvedState,
    pub since: Millis,
    /// The engine that its address belongs to now.
    pub superseded: Option<String>,
    /// How often its state has changed.
    pub turns: u64,
    told: Option<Engine>,
    alarm: Option<u64>,
    gone: Option<u64>,
}

impl Member {
    fn new(now: Millis) -> Self {
        Member {
            claims: SourceRecords::default(),
            address: None,
            zone: None,
            kind: None,
            listed_start: None,
            proof: LivenessEvidence::default(),
            unproven: None,
            held: None,
            belief: ResolvedState {
                stand: Standing::Removed,
                why: Why::Unlisted,
                until: None,
            },
            since: now,
            superseded: None,
            turns: 0,
            told: None,
            alarm: None,
            gone: None,
        }
    }

    /// The state that the hub is told.
    pub fn state(&self) -> EngineState {
        match (self.belief.stand, &self.superseded) {
            (_, Some(_)) if self.held.is_some() => EngineState::Draining,
            (_, None) if self.held.is_some() => EngineState::Ready,
            (Standing::Removed, _) => EngineState::Gone,
            (Standing::Draining, _) | (Standing::Serving, Some(_)) => EngineState::Draining,
            (Standing::Serving, None) => EngineState::Ready,
        }
    }

    /// When its process last started, as far as anybody knows: the latest of what lists and connections show,
    /// since an engine taken for cold is spared, and one taken for warm is pushed over.
    pub fn started(&self) -> Option<Millis> {
        [self.listed_start, self.proof.started, self.unproven]
            .into_iter()
            .flatten()
            .reduce(f64::max)
    }
}

fn bits(at: Millis) -> u64 {
    at.max(0.0).to_bits()
}

/// What is believed of every engine. See the module's page for the rules.
#[derive(Debug)]
pub struct Membership {
    rules: MembershipConfig,
    sources: BTreeMap<SourceId, Source>,
    next_source: SourceId,
    members: BTreeMap<String, Member>,
    /// When a member's belief changes by itself, or a hold ends.
    alarms: BTreeSet<(u64, String)>,
    /// Gone, by when; forgotten from the oldest.
    gone: BTreeSet<(u64, String)>,
    owners: BTreeMap<SocketAddr, String>,
    vanished: MissingInstances,
    administratively_drained: BTreeSet<String>,
    rejected: VecDeque<Rejected>,
    rejections: u64,
    /// Engines beyond [`MembershipConfig::max_instances`] that were turned away.
    overflow: u64,
    /// The sources whose claims counted when all members were last judged.
    counted: BTreeSet<SourceId>,
    told_any: bool,
    news: VecDeque<String>,
    /// When the snapshot that this started from was written.
    restored: Option<Millis>,
    restored_told: bool,
}

impl Membership {
    pub fn new(rules: MembershipConfig) -> Self {
        Membership {
            rules,
            sources: BTreeMap::new(),
            next_source: 1,
            members: BTreeMap::new(),
            alarms: BTreeSet::new(),
            gone: BTreeSet::new(),
            owners: BTreeMap::new(),
            vanished: MissingInstances::default(),
            administratively_drained: BTreeSet::new(),
            rejected: VecDeque::new(),
            rejections: 0,
            overflow: 0,
            counted: BTreeSet::new(),
            told_any: false,
            news: VecDeque::new(),
            restored: None,
            restored_told: false,
        }
    }

    // ---- what is told and seen -------------------------------------------------------------------

    /// New rules and sources are in force. Nothing believed is dropped: what sources that are no more have told
    /// stands until those that are answer.
    pub fn configure(
        &mut self,
        now: Millis,
        rules: MembershipConfig,
        names: &[String],
    ) -> Option<Change> {
        self.rules = rules;
        let stay: BTreeSet<SourceId> = self
            .sources
            .values()
            .filter(|s| names.contains(&s.name))
            .map(|s| s.id)
            .collect();
        // A source that is gone counts as one that is away: the last list stays until another is here.
        for s in self.sources.values_mut().filter(|s| !stay.contains(&s.id)) {
            s.answered = None;
        }
        self.judge_all(now)
    }

    /// A source has answered.
    pub fn apply_update(&mut self, now: Millis, view: SourceUpdate) -> Option<Change> {
        let id = self.source(&view.source);
        let source = self.sources.get_mut(&id)?;
        if earlier(view.requested_at, source.requested_at) {
            return None;
        }
        (source.answered, source.requested_at) =
            (Some(view.received_at.min(now)), view.requested_at);
        let mut touched: Vec<String> = vec![];
        match view.content {
            UpdateContent::Full(facts) => {
                source.round += 1;
                (source.whole, source.listed) = (source.whole + 1, facts.len());
                let round = source.round;
                for fact in facts {
                    touched.extend(self.take(now, id, view.requested_at, round, fact));
                }
                for (name, m) in &mut self.members {
                    let left = m.claims.of(id).is_some_and(|c| c.round != round);
                    if left && m.claims.absent(id, view.requested_at, now, None) {
                        touched.push(name.clone());
                    }
                }
            }
            UpdateContent::Delta { changed, deleted } => {
                source.deltas += 1;
                let round = source.round;
                for fact in changed {
                    touched.extend(self.take(now, id, view.requested_at, round, fact));
                }
                for (name, version) in deleted {
                    if let Some(m) = self.members.get_mut(&name)
                        && m.claims.absent(id, view.requested_at, now, Some(version))
                    {
                        touched.push(name);
                    }
                }
            }
        }
        match self.counting(now) == self.counted {
            true => self.judge(now, touched),
            // Another set of sources counts: what each engine comes to may change everywhere.
            false => self.judge_all(now),
        }
    }

    /// A source was asked and gave nothing that can be used. Its claims stand until it counts as away.
    pub fn record_source_failure(
        &mut self,
        now: Millis,
        source: &str,
        problem: String,
    ) -> Option<Change> {
        let id = self.source(source);
        if let Some(s) = self.sources.get_mut(&id) {
            s.failures += 1;
            s.failed = Some((now, problem));
        }
        self.tick(now)
    }

    /// Something happened on a connection to an engine. The second is true if the engine has started anew by it:
    /// the connection must carry nothing that was meant for the engine as it was.
    pub fn record_observation(
        &mut self,
        now: Millis,
        engine: &str,
        seen: Observation,
    ) -> (Option<Change>, bool) {
        let answered = self.sources.values().any(|s| self.answers(s, now));
        let Some(m) = self.members.get_mut(engine) else {
            return (None, false);
        };
        let before = m.proof.dead();
        let anew = m.proof.take(now, seen, answered);
        if !anew && m.proof.dead() == before {
            return (None, false);
        }
        // What was unproven is proven by a connection of its own: it is cold from now on.
        if anew {
            m.unproven = None;
            self.tell(format!(
                "engine {engine}: all connections were lost and it is back: it started anew"
            ));
        }
        (self.judge(now, vec![engine.to_string()]), anew)
    }

    /// Exactly these are out by hand. They count neither as in service nor as vanished.
    pub fn set_administratively_drained(&mut self, out: BTreeSet<String>) {
        self.administratively_drained = out;
    }

    pub fn is_administratively_drained(&self, engine: &str) -> bool {
        self.administratively_drained.contains(engine)
    }

    /// Does what is due: sources that are away by now, holds and contradictions that end.
    pub fn tick(&mut self, now: Millis) -> Option<Change> {
        self.forget(now);
        if self.counting(now) != self.counted {
            return self.judge_all(now);
        }
        let mut due = vec![];
        while let Some(first) = self.alarms.first().filter(|a| a.0 <= bits(now)).cloned() {
            self.alarms.remove(&first);
            if let Some(m) = self.members.get_mut(&first.1) {
                m.alarm = None;
            }
            due.push(first.1);
        }
        if due.is_empty() {
            None
        } else {
            self.judge(now, due)
        }
    }

    /// When the next tick is due.
    pub fn next_wakeup(&self, now: Millis) -> Option<Millis> {
        let alarm = self.alarms.first().map(|a| f64::from_bits(a.0));
        let away = self
            .sources
            .values()
            .filter_map(|s| s.answered)
            .map(|at| at + self.rules.unreachable_after);
        let away = away.filter(|at| *at > now).reduce(f64::min);
        [alarm, away].into_iter().flatten().reduce(f64::min)
    }

    /// The reason of a belief, in words.
    pub fn explain(&self, why: Why) -> String {
        match why {
            Why::Listed => "listed as UP".into(),
            Why::Told(status) => format!("listed as {}", status.as_str()),
            Why::Unusable => "it names no address that may be used".into(),
            Why::Contradicted(source, status) => {
                format!(
                    "{} says {}, and another says UP",
                    self.source_name(source),
                    status.as_str()
                )
            }
            Why::Missing(source) => {
                format!(
                    "{} lists it no more, and another does",
                    self.source_name(source)
                )
            }
            Why::Older => "what lists it as UP is not newer than the drain that was told".into(),
            Why::Unlisted => "no source that answers lists it".into(),
        }
    }

    /// Lines for the log since the last call.
    pub fn drain_log_lines(&mut self) -> Vec<String> {
        self.news.drain(..).collect()
    }

    fn tell(&mut self, line: String) {
        if self.news.len() < MOST_NEWS {
            self.news.push_back(line);
        }
    }

    // ---- sources ---------------------------------------------------------------------------------

    /// The source's number; a new one makes room by the one that has answered least lately.
    fn source(&mut self, name: &str) -> SourceId {
        if let Some(s) = self.sources.values().find(|s| s.name == name) {
            return s.id;
        }
        if self.sources.len() >= MOST_SOURCES {
            let oldest = self
                .sources
                .values()
                .min_by(|a, b| {
                    a.answered
                        .unwrap_or(0.0)
                        .total_cmp(&b.answered.unwrap_or(0.0))
                })
                .map(|s| s.id);
            if let Some(oldest) = oldest {
                self.sources.remove(&oldest);
                self.members
                    .values_mut()
                    .for_each(|m| m.claims.retain(|s| s != oldest));
            }
        }
        let id = self.next_source;
        self.next_source += 1;
        let source = Source {
            id,
            name: name.to_string(),
            answered: None,
            failed: None,
            failures: 0,
            whole: 0,
            deltas: 0,
            listed: 0,
            round: 0,
            requested_at: f64::MIN,
        };
        self.sources.insert(id, source);
        id
    }

    fn answers(&self, s: &Source, now: Millis) -> bool {
        s.answered
            .is_some_and(|at| now < at + self.rules.unreachable_after)
    }

    /// The sources whose claims count: those that answer. While none does the last that did go on counting: the
    /// last list stays in force.
    fn counting(&self, now: Millis) -> BTreeSet<SourceId> {
        let answering: BTreeSet<_> = self
            .sources
            .values()
            .filter(|s| self.answers(s, now))
            .map(|s| s.id)
            .collect();
        match answering.is_empty() {
            true => self.counted.clone(),
            false => answering,
        }
    }

    /// Takes one fact; the engine's id, if it is to be judged.
    fn take(
        &mut self,
        now: Millis,
        id: SourceId,
        asked: Millis,
        round: u64,
        fact: InstanceRecord,
    ) -> Option<String> {
        let long = |t: &Option<String>| t.as_ref().is_some_and(|t| t.len() > MOST_TEXT);
        if fact.id.is_empty() || fact.id.len() > MOST_TEXT || long(&fact.zone) || long(&fact.kind) {
            self.reject(
                now,
                &fact,
                "its id, zone or kind is missing or too long".into(),
            );
            return None;
        }
        let admitted = match fact.address {
            Some(a) => self
                .rules
                .networks
                .admit(a)
                .map_err(|e: Rejection| e.to_string()),
            None => Err("it names no address with an open port".into()),
        };
        let known = self.members.contains_key(&fact.id);
        if !known {
            if let Err(why) = &admitted {
                self.reject(now, &fact, why.clone());
                return None;
            }
            if self.members.len() - self.gone.len() >= self.rules.max_instances {
                self.overflow += 1;
                if self.overflow.is_power_of_two() {
                    let most = self.rules.max_instances;
                    self.tell(format!(
                        "engine {:?} is one beyond {most}: it is not taken",
                        fact.id
                    ));
                }
                return None;
            }
        }
        if let Err(why) = &admitted {
            self.reject(now, &fact, why.clone());
        }
        let said = if admitted.is_ok() {
            fact.reported()
        } else {
            Reported::UnusableAddress
        };
        let m = self
            .members
            .entry(fact.id.clone())
            .or_insert_with(|| Member::new(now));
        let claim = SourceRecord {
            source: id,
            said,
            version: fact.version,
            address: admitted.ok(),
            requested_at: asked,
            since: now,
            round,
        };
        let before = (m.claims.newest, m.address, m.listed_start, m.unproven);
        let newest = m.claims.newest;
        if !m.claims.take(claim.clone()) {
            return None;
        }
        // Particulars are those of the newest fact; of equally new ones the last told.
        if fact.version >= newest {
            m.address = claim.address.or(m.address);
            (m.zone, m.kind) = (fact.zone, fact.kind);
            m.listed_start = [m.listed_start, fact.started]
                .into_iter()
                .flatten()
                .reduce(f64::max);
        }
        m.unproven = None;
        let same = before == (m.claims.newest, m.address, m.listed_start, None);
        let stands = m.belief.stand != Standing::Removed && m.held.is_none();
        // Most facts of a whole list say what is known: they need no judgement.
        let quiet = same && stands && m.belief.why == Why::Listed && said == Reported::Serving;
        (!quiet).then_some(fact.id)
    }

    fn reject(&mut self, now: Millis, fact: &InstanceRecord, why: String) {
        self.rejections += 1;
        let id: String = fact.id.chars().take(80).collect();
        let known = self
            .rejected
            .iter_mut()
            .find(|r| r.id == id && r.address == fact.address);
        if let Some(r) = known {
            (r.times, r.last) = (r.times + 1, now);
            return;
        }
        let at = fact
            .address
            .map_or("no address".to_string(), |a| a.to_string());
        self.tell(format!("engine {id:?} at {at} is rejected: {why}"));
        if self.rejected.len() >= MOST_REJECTED {
            self.rejected.pop_front();
        }
        self.rejected.push_back(Rejected {
            id,
            address: fact.address,
            why,
            times: 1,
            last: now,
        });
    }

    // ---- what it comes to ------------------------------------------------------------------------

    fn judge_all(&mut self, now: Millis) -> Option<Change> {
        self.counted = self.counting(now);
        self.judge(now, self.members.keys().cloned().collect())
    }

    /// Believes anew what is known of these, and tells what changes.
    fn judge(&mut self, now: Millis, ids: Vec<String>) -> Option<Change> {
        let serving = self.members.iter().filter(|(id, m)| {
            m.belief.stand == Standing::Serving
                && m.superseded.is_none()
                && !self.administratively_drained.contains(*id)
        });
        let serving = serving.count();
        let mut vanishing = vec![];
        let mut turned = vec![];
        let mut dirty: BTreeSet<String> = BTreeSet::new();
        for id in ids {
            let counted = &self.counted;
            let Some(m) = self.members.get_mut(&id) else {
                continue;
            };
            let all = counted.is_empty();
            let new = match m.claims.iter().next() {
                // Only a snapshot has told of it, and no source has answered since.
                None if all => m.belief.clone(),
                _ => m.claims.believe(now, self.rules.missing_grace, |s| {
                    all || counted.contains(&s)
                }),
            };
            // What drains already takes nothing new: nothing is lost when it goes. One that a source has dropped
            // and another lists is doubted too: else one replica that lost its list would drain all.
            let vanishes = (new.stand == Standing::Removed || matches!(new.why, Why::Missing(_)))
                && m.belief.stand == Standing::Serving
                && m.superseded.is_none()
                && !self.administratively_drained.contains(&id);
            if vanishes && !m.proof.dead() {
                vanishing.push(id.clone());
            }
            if m.held.is_some() {
                let over = m.held.as_ref().is_some_and(|h| h.until <= now);
                let vanished = new.stand == Standing::Removed || matches!(new.why, Why::Missing(_));
                if !vanished || over || m.proof.dead() {
                    m.held = None;
                }
            }
            if m.belief.stand != new.stand {
                (m.since, m.turns) = (now, m.turns + 1);
            }
            if m.told.is_some() && m.belief.why != new.why && new.stand == Standing::Draining {
                turned.push((id.clone(), new.why));
            }
            m.belief = new;
            if m.belief.stand != Standing::Removed {
                m.unproven = m.unproven.filter(|_| m.claims.iter().next().is_none());
            }
            dirty.insert(id);
        }
        for (id, why) in turned.into_iter().take(MOST_NEWS / 2) {
            let why = self.explain(why);
            self.tell(format!("engine {id} takes nothing new: {why}"));
        }
        // A snapshot older than a hold would have been let go by now.
        let fresh = |m: &Member| {
            m.unproven
                .is_none_or(|at| now < at + self.rules.self_preservation.duration)
        };
        let doubted: Vec<String> = vanishing
            .into_iter()
            .filter(|id| self.members.get(id).is_some_and(fresh))
            .collect();
        if let Some(held) =
            self.vanished
                .doubt(&self.rules.self_preservation, now, doubted.len(), serving)
        {
            self.tell(format!(
                "{} of {} engines vanished at once: {} are held in service for {} s",
                held.vanished,
                held.of,
                doubted.len(),
                self.rules.self_preservation.duration / 1000.0
            ));
            for id in doubted {
                if let Some(m) = self.members.get_mut(&id) {
                    m.held = Some(held.clone());
                }
            }
        }
        self.settle_addresses(&mut dirty);
        self.announce(now, dirty)
    }

    /// An address belongs to one engine: the newest that lists it. Reason: where two ids name one address, one
    /// process would get the work of two engines, and what is open there for the old one leads to nobody.
    fn settle_addresses(&mut self, dirty: &mut BTreeSet<String>) {
        let mut freed: Vec<SocketAddr> = vec![];
        for id in dirty.clone() {
            let Some(m) = self.members.get(&id) else {
                continue;
            };
            let wants = m.address.filter(|_| m.state() != EngineState::Gone);
            let newness = |m: &Member| (m.claims.newest.dirty, bits(m.started().unwrap_or(0.0)));
            let mine = newness(m);
            // What it owned and has left is free.
            let left: Vec<SocketAddr> = match &m.told {
                Some(t) => t
                    .address
                    .into_iter()
                    .filter(|a| Some(*a) != wants)
                    .collect(),
                None => vec![],
            };
            for a in left
                .into_iter()
                .filter(|a| self.owners.get(a) == Some(&id))
                .collect::<Vec<_>>()
            {
                self.owners.remove(&a);
                freed.push(a);
            }
            let Some(address) = wants else { continue };
            let owner = self.owners.get(&address).filter(|o| **o != id).cloned();
            let rival = owner
                .as_ref()
                .and_then(|o| self.members.get(o))
                .map(newness);
            let wins = rival.is_none_or(|theirs| mine > theirs);
            if wins {
                self.owners.insert(address, id.clone());
                if let Some(loser) = &owner
                    && let Some(l) = self.members.get_mut(loser)
                {
                    l.superseded = Some(id.clone());
                    dirty.insert(loser.clone());
                }
                if let Some(m) = self.members.get_mut(&id) {
                    m.superseded = None;
                }
            } else if let Some(m) = self.members.get_mut(&id) {
                m.superseded = owner;
            }
        }
        // Whoever stood behind the engine that left has the address again.
        for address in freed
            .into_iter()
            .filter(|a| !self.owners.contains_key(a))
            .collect::<Vec<_>>()
        {
            let heirs = self.members.iter().filter(|(_, m)| {
                m.superseded.is_some()
                    && m.address == Some(address)
                    && m.state() != EngineState::Gone
            });
            let heir = heirs
                .max_by_key(|(_, m)| m.claims.newest.dirty)
                .map(|(id, _)| id.clone());
            if let Some(heir) = heir {
                self.owners.insert(address, heir.clone());
                if let Some(m) = self.members.get_mut(&heir) {
                    m.superseded = None;
                }
                dirty.insert(heir);
            }
        }
    }

    /// Tells what differs from what was told before, those that go first: an address may pass to another.
    fn announce(&mut self, now: Millis, dirty: BTreeSet<String>) -> Option<Change> {
        let mut engines = vec![];
        for id in dirty {
            let Some(m) = self.members.get_mut(&id) else {
                continue;
            };
            let until = match &m.held {
                Some(held) => Some(held.until),
                None => m.belief.until,
            };
            let alarm = until.map(bits);
            if alarm != m.alarm {
                if let Some(old) = m.alarm {
                    self.alarms.remove(&(old, id.clone()));
                }
                if let Some(new) = alarm {
                    self.alarms.insert((new, id.clone()));
                }
                m.alarm = alarm;
            }
            let state = m.state();
            // What an address leads to when it is another's is not this engine.
            let address = m
                .address
                .filter(|_| state != EngineState::Gone && m.superseded.is_none());
            let engine = Engine {
                id: id.clone(),
                address,
                state,
                zone: m.zone.clone(),
                kind: m.kind.clone(),
                cell: 0,
                started: m.started(),
            };
            let was = m.told.as_ref().map_or(EngineState::Gone, |t| t.state);
            let gone = (state == EngineState::Gone).then(|| m.gone.unwrap_or(bits(now)));
            if gone != m.gone {
                match (gone, m.gone) {
                    (Some(at), _) => drop(self.gone.insert((at, id.clone()))),
                    (None, Some(at)) => drop(self.gone.remove(&(at, id.clone()))),
                    (None, None) => {}
                }
                m.gone = gone;
            }
            let news = match &m.told {
                Some(told) => {
                    *told != engine && (state, was) != (EngineState::Gone, EngineState::Gone)
                }
                None => state != EngineState::Gone,
            };
            if news {
                m.told = Some(engine.clone());
                engines.push(engine);
            }
        }
        self.forget(now);
        let first = !self.told_any;
        // The first list is told even if it is empty: it is known then that there is none.
        if engines.is_empty() && (!first || self.counted.is_empty()) {
            return None;
        }
        self.told_any = true;
        let rank = |e: &Engine| match (e.state, e.address) {
            (EngineState::Gone, _) => 0,
            (_, None) => 1,
            _ => 2,
        };
        engines.sort_by_key(rank);
        let update = if first {
            ListUpdate::Snapshot
        } else {
            ListUpdate::Patch
        };
        Some(Change { update, engines })
    }

    /// Engines that are gone are remembered for a while, and not more than so many.
    fn forget(&mut self, now: Millis) {
        while let Some((at, _)) = self.gone.first() {
            let old = f64::from_bits(*at) + self.rules.tombstone_ttl <= now;
            if !old && self.gone.len() <= self.rules.max_tombstones {
                break;
            }
            if let Some((_, id)) = self.gone.pop_first()
                && let Some(m) = self.members.remove(&id)
                && let Some(alarm) = m.alarm
            {
                self.alarms.remove(&(alarm, id));
            }
        }
    }

    // ---- a start without registries ----------------------------------------------------------------

    /// Takes up what an earlier process knew, before anything is told: its drains hold against older lists from
    /// the start. The engines themselves are told only by [`Membership::serve_restored`].
    pub fn restore(&mut self, now: Millis, snapshot: crate::membership::Snapshot) {
        self.restored = Some(snapshot.taken_at);
        for e in snapshot
            .instances
            .into_iter()
            .take(self.rules.max_instances)
        {
            let Ok(address) = self.rules.networks.admit(e.address) else {
                continue;
            };
            let m = self.members.entry(e.id).or_insert_with(|| Member::new(now));
            m.address = Some(address);
            (m.zone, m.kind, m.listed_start) = (e.zone, e.kind, e.started);
            m.unproven = Some(snapshot.taken_at);
            m.claims.newest = e.newest;
            m.claims.floor = e.drained.filter(|v| !v.is_unset()).map(|version| {
                crate::membership::source_records::Floor {
                    version,
                    source: 0,
                    requested_at: snapshot.taken_at,
                }
            });
            m.since = e.since;
            let stand = if e.serves {
                Standing::Serving
            } else {
                Standing::Draining
            };
            m.belief = ResolvedState {
                stand,
                why: Why::Unlisted,
                until: None,
            };
        }
    }

    /// No source has answered yet: the restored engines are served, each as one that has just started, since
    /// nobody knows what became of it meanwhile.
    pub fn serve_restored(&mut self, now: Millis) -> Option<Change> {
        if self.told_any || self.restored.is_none() || self.restored_told {
            return None;
        }
        self.restored_told = true;
        for m in self.members.values_mut() {
            m.unproven = m.unproven.map(|_| now);
        }
        let ids: BTreeSet<String> = self.members.keys().cloned().collect();
        let mut dirty = ids.clone();
        self.settle_addresses(&mut dirty);
        let mut change = self.announce(now, dirty)?;
        change.update = ListUpdate::Stale;
        Some(change)
    }

    pub fn restored(&self) -> Option<Millis> {
        self.restored
    }

    // ---- what can be seen of it --------------------------------------------------------------------

    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    pub fn sources(&self) -> impl Iterator<Item = &Source> {
        self.sources.values()
    }

    pub fn source_name(&self, id: SourceId) -> &str {
        self.sources
            .get(&id)
            .map_or("an earlier source", |s| &s.name)
    }

    pub fn source_answers(&self, s: &Source, now: Millis) -> bool {
        self.answers(s, now)
    }

    pub fn rejected(&self) -> (&VecDeque<Rejected>, u64) {
        (&self.rejected, self.rejections)
    }

    pub fn overflow(&self) -> u64 {
        self.overflow
    }

    pub fn gone(&self) -> usize {
        self.gone.len()
    }

    pub fn rules(&self) -> &MembershipConfig {
        &self.rules
    }

    /// Engines that no list names and that are kept in service, as yet.
    pub fn held(&self) -> usize {
        self.members.values().filter(|m| m.held.is_some()).count()
    }
}

/// The version of a fact, as registries tell it: times that are no whole positive numbers count as untold.
pub fn version(dirty: Option<f64>, updated: Option<f64>) -> Version {
    let whole = |t: Option<f64>| {
        t.filter(|t| t.is_finite() && *t > 0.0 && *t < 9e15)
            .map_or(0, |t| t as u64)
    };
    Version::new(whole(dirty), whole(updated))
}
