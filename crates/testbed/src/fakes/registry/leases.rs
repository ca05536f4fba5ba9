//! What one registry holds: instances and their leases. Pure; times are milliseconds on the Unix clock.

use query_dispatcher::membership::Status;
use std::collections::{BTreeMap, VecDeque};

/// How a registry keeps leases.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A lease that tells no length lasts this long, in milliseconds.
    pub lease: f64,
    /// Below this part of the renewals that are due within a minute nothing is let go (self-preservation); 0: never.
    pub preserve: f64,
    /// Changes are told in deltas for this long, in milliseconds.
    pub retention: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            lease: 90_000.0,
            preserve: 0.85,
            retention: 180_000.0,
        }
    }
}

/// One instance, as it was registered and as the registry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    pub app: String,
    pub id: String,
    pub host: String,
    pub ip: String,
    pub port: u16,
    pub secure_port: Option<u16>,
    pub vip: String,
    pub svip: String,
    /// What the instance says of itself.
    pub status: Status,
    /// What operators set over it.
    pub overridden: Option<Status>,
    pub metadata: BTreeMap<String, String>,
    /// Of the lease, in milliseconds.
    pub duration: f64,
    pub registered: f64,
    pub renewed: f64,
    /// First UP; 0 before.
    pub up: f64,
    pub updated: u64,
    pub dirty: u64,
    pub action: &'static str,
}

impl Instance {
    /// An engine at a port of this machine.
    pub fn engine(app: &str, id: &str, port: u16, now: f64) -> Self {
        Instance {
            app: app.to_uppercase(),
            id: id.into(),
            host: "localhost".into(),
            ip: "127.0.0.1".into(),
            port,
            secure_port: None,
            vip: app.to_lowercase(),
            svip: app.to_lowercase(),
            status: Status::Up,
            overridden: None,
            metadata: BTreeMap::new(),
            duration: 90_000.0,
            registered: now,
            renewed: now,
            up: now,
            updated: now as u64,
            dirty: now as u64,
            action: "ADDED",
        }
    }

    /// The status that the registry lists: an override goes before what the instance says, unless that is that it
    /// cannot serve.
    pub fn listed(&self) -> Status {
        match (self.status, self.overridden) {
            (Status::Down | Status::Starting, _) | (_, None) => self.status,
            (_, Some(over)) => over,
        }
    }

    fn expires(&self) -> f64 {
        self.renewed + self.duration
    }
}

type Key = (String, String);

/// The state of one registry.
#[derive(Debug)]
pub struct Leases {
    pub rules: Rules,
    all: BTreeMap<Key, Instance>,
    /// Changes of late, oldest first.
    recent: VecDeque<(f64, Instance)>,
    /// Renewals of the last minute.
    renewals: VecDeque<f64>,
    pub evicted: u64,
}

/// What became of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewed {
    Done,
    /// 404: register again.
    Unknown,
}

impl Leases {
    pub fn new(rules: Rules) -> Self {
        Leases {
            rules,
            all: BTreeMap::new(),
            recent: VecDeque::new(),
            renewals: VecDeque::new(),
            evicted: 0,
        }
    }

    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.all.values()
    }

    pub fn get(&self, app: &str, id: &str) -> Option<&Instance> {
        self.all.get(&(app.to_uppercase(), id.to_string()))
    }

    /// The instance under this id, of whatever application.
    pub fn by_id(&self, id: &str) -> Option<&Instance> {
        self.all.values().find(|i| i.id == id)
    }

    /// `DOWN_1_UP_7_`, over all applications.
    pub fn hashcode(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        self.all
            .values()
            .for_each(|i| *counts.entry(i.listed().as_str()).or_default() += 1);
        counts
            .iter()
            .map(|(status, n)| format!("{status}_{n}_"))
            .collect()
    }

    fn changed(&mut self, now: f64, mut instance: Instance, action: &'static str) {
        instance.action = action;
        self.recent.push_back((now, instance));
        // Bounded by what is told in deltas, and by number.
        while self
            .recent
            .front()
            .is_some_and(|r| r.0 + self.rules.retention < now)
            || self.recent.len() > 65_536
        {
            self.recent.pop_front();
        }
    }

    /// Changes within the retention; of several of one instance the last.
    pub fn delta(&self, now: f64) -> Vec<Instance> {
        let mut last: BTreeMap<Key, (usize, &Instance)> = BTreeMap::new();
        for (n, (at, i)) in self.recent.iter().enumerate() {
            if at + self.rules.retention >= now {
                last.insert((i.app.clone(), i.id.clone()), (n, i));
            }
        }
        let mut changes: Vec<(usize, &Instance)> = last.into_values().collect();
        changes.sort_by_key(|c| c.0);
        changes.into_iter().map(|c| c.1.clone()).collect()
    }

    /// Registers an instance, or takes it in from a replica. An older registration than that in hand changes
    /// nothing but the lease.
    pub fn register(&mut self, now: f64, mut new: Instance) {
        let key = (new.app.to_uppercase(), new.id.clone());
        new.app = key.0.clone();
        if let Some(old) = self.all.get_mut(&key) {
            new.overridden = new.overridden.or(old.overridden);
            if old.dirty > new.dirty {
                old.renewed = now;
                return;
            }
        }
        (new.registered, new.renewed, new.updated) = (now, now, now as u64);
        if new.listed() == Status::Up && new.up == 0.0 {
            new.up = now;
        }
        let action = if self.all.contains_key(&key) {
            "MODIFIED"
        } else {
            "ADDED"
        };
        self.all.insert(key, new.clone());
        self.changed(now, new, action);
    }

    /// A heartbeat.
    pub fn renew(&mut self, now: f64, app: &str, id: &str, dirty: Option<u64>) -> Renewed {
        let Some(i) = self.all.get_mut(&(app.to_uppercase(), id.to_string())) else {
            return Renewed::Unknown;
        };
        // What the instance tells of itself has changed since: it is to register again.
        if dirty.is_some_and(|d| d > i.dirty) {
            return Renewed::Unknown;
        }
        i.renewed = now;
        self.renewals.push_back(now);
        while self.renewals.front().is_some_and(|r| r + 60_000.0 < now) {
            self.renewals.pop_front();
        }
        Renewed::Done
    }

    /// The instance's own end, or a `DELETE` from a replica.
    pub fn cancel(&mut self, now: f64, app: &str, id: &str) -> bool {
        let Some(mut gone) = self.all.remove(&(app.to_uppercase(), id.to_string())) else {
            return false;
        };
        gone.updated = now as u64;
        self.changed(now, gone, "DELETED");
        true
    }

    /// Operators set a status over the instance's, or take it back.
    pub fn set_override(&mut self, now: f64, app: &str, id: &str, status: Option<Status>) -> bool {
        let Some(i) = self.all.get_mut(&(app.to_uppercase(), id.to_string())) else {
            return false;
        };
        (i.overridden, i.updated) = (status, (now as u64).max(i.updated + 1));
        let changed = i.clone();
        self.changed(now, changed, "MODIFIED");
        true
    }

    /// Renewals are fewer than what the leases promise: the registry doubts its own sight.
    pub fn preserves(&self, now: f64) -> bool {
        // A lease is renewed three times within its length.
        let due: f64 = self
            .all
            .values()
            .map(|i| 3.0 * 60_000.0 / i.duration.max(1.0))
            .sum();
        let heard = self
            .renewals
            .iter()
            .filter(|r| **r + 60_000.0 >= now)
            .count() as f64;
        self.rules.preserve > 0.0 && heard < self.rules.preserve * due
    }

    /// Lets go what was not renewed, unless it preserves itself. Of many no more than the part that may go at once.
    pub fn evict(&mut self, now: f64) -> Vec<Instance> {
        if self.preserves(now) {
            return vec![];
        }
        let most = match self.rules.preserve {
            p if p > 0.0 => (((1.0 - p) * self.all.len() as f64) as usize).max(1),
            _ => usize::MAX,
        };
        let over: Vec<Key> = self
            .all
            .iter()
            .filter(|(_, i)| i.expires() < now)
            .map(|(k, _)| k.clone())
            .take(most)
            .collect();
        let gone: Vec<Instance> = over
            .iter()
            .filter_map(|k| self.all.get(k).cloned())
            .collect();
        for (app, id) in over {
            self.cancel(now, &app, &id);
            self.evicted += 1;
        }
        gone
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn leases(preserve: f64) -> Leases {
        let mut l = Leases::new(Rules {
            preserve,
            ..Rules::default()
        });
        for n in 0..10 {
            l.register(
                1000.0,
                Instance::engine("engines", &format!("e{n}"), 1 + n, 1000.0),
            );
        }
        l
    }

    #[test]
    fn leases_end_unless_they_are_renewed() {
        let mut l = leases(0.0);
        l.renew(60_000.0, "ENGINES", "e3", None);
        assert_eq!(l.evict(91_001.0).len(), 9);
        assert_eq!((l.hashcode().as_str(), l.evicted), ("UP_1_", 9));
        assert_eq!(l.renew(91_002.0, "engines", "e4", None), Renewed::Unknown);
        assert_eq!(
            l.delta(91_002.0)
                .iter()
                .filter(|i| i.action == "DELETED")
                .count(),
            9
        );
    }

    #[test]
    fn too_few_renewals_and_nothing_goes() {
        let mut l = leases(0.85);
        assert!(l.preserves(91_001.0));
        assert!(l.evict(91_001.0).is_empty());
        // All are heard often enough but one: that one goes.
        for at in [100_000.0, 120_000.0, 140_000.0] {
            for n in 0..9 {
                assert_eq!(
                    l.renew(at, "engines", &format!("e{n}"), None),
                    Renewed::Done
                );
            }
        }
        assert_eq!(
            l.evict(141_000.0)
                .iter()
                .map(|i| i.id.as_str())
                .collect::<Vec<_>>(),
            ["e9"]
        );
    }

    #[test]
    fn an_override_goes_before_the_instances_word_and_deltas_tell_the_last() {
        let mut l = leases(0.0);
        assert!(l.set_override(2000.0, "engines", "e1", Some(Status::OutOfService)));
        assert_eq!(l.hashcode(), "OUT_OF_SERVICE_1_UP_9_");
        let again = Instance {
            dirty: 2001,
            ..Instance::engine("engines", "e1", 2, 2001.0)
        };
        l.register(2001.0, again);
        assert_eq!(
            l.get("engines", "e1").unwrap().listed(),
            Status::OutOfService,
            "it outlives a registration"
        );
        assert!(l.set_override(3000.0, "engines", "e1", None));
        let delta = l.delta(3000.0);
        assert_eq!(
            (delta.len(), delta.last().unwrap().listed()),
            (10, Status::Up)
        );
        assert!(l.delta(200_000.0).is_empty(), "the retention is over");
        let older = Instance {
            dirty: 1,
            status: Status::Down,
            ..Instance::engine("engines", "e1", 2, 1.0)
        };
        l.register(3001.0, older);
        assert_eq!(
            l.get("engines", "e1").unwrap().listed(),
            Status::Up,
            "an older registration changes nothing"
        );
    }
}
