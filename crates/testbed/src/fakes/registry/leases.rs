//! State of one registry: instances and their leases. It does no I/O and reads no clock; times are in
//! milliseconds on the Unix clock.

use query_dispatcher::membership::Status;
use std::collections::{BTreeMap, VecDeque};

/// Rules by which a registry manages leases.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Duration of a lease whose registration states none, in milliseconds.
    pub lease: f64,
    /// Minimum share of the renewals due within a minute. Below it no lease is evicted (self-preservation);
    /// 0 disables self-preservation.
    pub renewal_threshold: f64,
    /// How long a change is part of deltas, in milliseconds.
    pub retention: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            lease: 90_000.0,
            renewal_threshold: 0.85,
            retention: 180_000.0,
        }
    }
}

/// One instance: its registration and what the registry adds to it.
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
    /// Status that the instance reports itself.
    pub status: Status,
    /// Status by which operators override it.
    pub overridden: Option<Status>,
    pub metadata: BTreeMap<String, String>,
    /// Duration of the lease, in milliseconds.
    pub duration: f64,
    pub registered: f64,
    pub renewed: f64,
    /// When it was first UP, in milliseconds; 0 before that.
    pub up: f64,
    pub updated: u64,
    pub dirty: u64,
    pub action: &'static str,
}

impl Instance {
    /// Returns an instance that is UP at this port on the loopback address.
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

    /// Returns the status that the registry lists: the override, unless the instance itself reports that it
    /// cannot serve.
    pub fn listed(&self) -> Status {
        match (self.status, self.overridden) {
            (Status::Down | Status::Starting, _) | (_, None) => self.status,
            (_, Some(overridden)) => overridden,
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
    instances: BTreeMap<Key, Instance>,
    /// Recent changes with their times, oldest first.
    recent_changes: VecDeque<(f64, Instance)>,
    /// Times of the renewals within the last minute.
    renewals: VecDeque<f64>,
    pub evicted: u64,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewed {
    Done,
    /// The registry responds with 404, upon which the instance has to register again.
    Unknown,
}

impl Leases {
    pub fn new(rules: Rules) -> Self {
        Leases {
            rules,
            instances: BTreeMap::new(),
            recent_changes: VecDeque::new(),
            renewals: VecDeque::new(),
            evicted: 0,
        }
    }

    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    pub fn get(&self, app: &str, id: &str) -> Option<&Instance> {
        self.instances.get(&(app.to_uppercase(), id.to_string()))
    }

    /// Returns the instance with this ID in any application.
    pub fn by_id(&self, id: &str) -> Option<&Instance> {
        self.instances.values().find(|i| i.id == id)
    }

    /// Returns the hash code over all applications: the number of instances by status, such as
    /// `DOWN_1_UP_7_`.
    pub fn hashcode(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        self.instances
            .values()
            .for_each(|i| *counts.entry(i.listed().as_str()).or_default() += 1);
        counts
            .iter()
            .map(|(status, n)| format!("{status}_{n}_"))
            .collect()
    }

    fn record_change(&mut self, now: f64, mut instance: Instance, action: &'static str) {
        instance.action = action;
        self.recent_changes.push_back((now, instance));
        // Keeps the changes that deltas may contain, and at most 65,536 of them.
        while self
            .recent_changes
            .front()
            .is_some_and(|r| r.0 + self.rules.retention < now)
            || self.recent_changes.len() > 65_536
        {
            self.recent_changes.pop_front();
        }
    }

    /// Returns the changes within the retention period; of several changes of one instance only the last.
    pub fn delta(&self, now: f64) -> Vec<Instance> {
        let mut last: BTreeMap<Key, (usize, &Instance)> = BTreeMap::new();
        for (n, (at, i)) in self.recent_changes.iter().enumerate() {
            if at + self.rules.retention >= now {
                last.insert((i.app.clone(), i.id.clone()), (n, i));
            }
        }
        let mut changes: Vec<(usize, &Instance)> = last.into_values().collect();
        changes.sort_by_key(|c| c.0);
        changes.into_iter().map(|c| c.1.clone()).collect()
    }

    /// Registers an instance, on its own request or from a replica. A registration older than the known one
    /// only renews the lease.
    pub fn register(&mut self, now: f64, mut new: Instance) {
        let key = (new.app.to_uppercase(), new.id.clone());
        new.app = key.0.clone();
        if let Some(old) = self.instances.get_mut(&key) {
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
        let action = if self.instances.contains_key(&key) {
            "MODIFIED"
        } else {
            "ADDED"
        };
        self.instances.insert(key, new.clone());
        self.record_change(now, new, action);
    }

    /// Renews a lease upon a heartbeat of the instance.
    pub fn renew(&mut self, now: f64, app: &str, id: &str, dirty: Option<u64>) -> Renewed {
        let Some(i) = self
            .instances
            .get_mut(&(app.to_uppercase(), id.to_string()))
        else {
            return Renewed::Unknown;
        };
        // The instance has changed since its registration, so it has to register again.
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

    /// Removes an instance upon its own `DELETE` or one that was replicated. Returns whether it was
    /// registered.
    pub fn cancel(&mut self, now: f64, app: &str, id: &str) -> bool {
        let Some(mut removed) = self.instances.remove(&(app.to_uppercase(), id.to_string())) else {
            return false;
        };
        removed.updated = now as u64;
        self.record_change(now, removed, "DELETED");
        true
    }

    /// Sets or clears the operators' override of an instance's status. Returns whether the instance is
    /// registered.
    pub fn set_override(&mut self, now: f64, app: &str, id: &str, status: Option<Status>) -> bool {
        let Some(i) = self
            .instances
            .get_mut(&(app.to_uppercase(), id.to_string()))
        else {
            return false;
        };
        (i.overridden, i.updated) = (status, (now as u64).max(i.updated + 1));
        let changed = i.clone();
        self.record_change(now, changed, "MODIFIED");
        true
    }

    /// Returns whether the registry preserves itself: so few leases are renewed that the cause may be its
    /// own network.
    pub fn is_self_preserving(&self, now: f64) -> bool {
        // A lease is renewed three times within its length.
        let due: f64 = self
            .instances
            .values()
            .map(|i| 3.0 * 60_000.0 / i.duration.max(1.0))
            .sum();
        let received = self
            .renewals
            .iter()
            .filter(|r| **r + 60_000.0 >= now)
            .count() as f64;
        self.rules.renewal_threshold > 0.0 && received < self.rules.renewal_threshold * due
    }

    /// Evicts expired leases and returns their instances. Evicts nothing during self-preservation, and at a
    /// time no more than the share that self-preservation tolerates.
    pub fn evict(&mut self, now: f64) -> Vec<Instance> {
        if self.is_self_preserving(now) {
            return vec![];
        }
        let max_evictions = match self.rules.renewal_threshold {
            p if p > 0.0 => (((1.0 - p) * self.instances.len() as f64) as usize).max(1),
            _ => usize::MAX,
        };
        let expired: Vec<Key> = self
            .instances
            .iter()
            .filter(|(_, i)| i.expires() < now)
            .map(|(k, _)| k.clone())
            .take(max_evictions)
            .collect();
        let evicted: Vec<Instance> = expired
            .iter()
            .filter_map(|k| self.instances.get(k).cloned())
            .collect();
        for (app, id) in expired {
            self.cancel(now, &app, &id);
            self.evicted += 1;
        }
        evicted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn leases(renewal_threshold: f64) -> Leases {
        let mut l = Leases::new(Rules {
            renewal_threshold,
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
    fn leases_expire_unless_they_are_renewed() {
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
    fn self_preservation_stops_evictions() {
        let mut l = leases(0.85);
        assert!(l.is_self_preserving(91_001.0));
        assert!(l.evict(91_001.0).is_empty());
        // Only e9 is not renewed, so it alone is evicted.
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
    fn an_override_takes_precedence_and_deltas_contain_the_last_change() {
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
            "the override survives a new registration"
        );
        assert!(l.set_override(3000.0, "engines", "e1", None));
        let delta = l.delta(3000.0);
        assert_eq!(
            (delta.len(), delta.last().unwrap().listed()),
            (10, Status::Up)
        );
        assert!(
            l.delta(200_000.0).is_empty(),
            "the retention period has passed"
        );
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
