//! The configuration of a dispatcher on the platform, as its JSON file.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// What running a request of a class twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    Retryable,
    /// Nothing, while engines remember its id: within the window.
    Deduplicated,
    /// It must not run twice.
    Fragile,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    /// The latency objective, in milliseconds.
    pub objective: f64,
    /// The longest deadline, in milliseconds.
    pub deadline: f64,
    pub weight: f64,
}

/// Within this an engine recognizes a repeated request, in milliseconds.
pub const DEDUPLICATION_WINDOW: f64 = 1500.0;
/// Nothing new reaches an engine later than this after the notice that it drains, in milliseconds.
pub const DRAIN_GRACE: f64 = 1000.0;

/// The settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    /// Dispatchers that share the engines.
    pub dispatchers: usize,
    pub cores: f64,
    /// Part of its capacity that an engine has when it starts.
    pub initial_capacity: f64,
    /// An engine is warm after this, in milliseconds.
    pub warm_up_period: f64,
    pub overload_multiple: f64,
    /// In milliseconds.
    pub overload_window: f64,
    /// Where each dispatcher hears its peers, by rank; empty: nowhere.
    pub peers: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![],
            dispatchers: 1,
            cores: 8.0,
            initial_capacity: 0.3,
            warm_up_period: 9000.0,
            overload_multiple: 4.0,
            overload_window: 1500.0,
            peers: vec![],
        }
    }
}

impl Settings {
    fn json(&self, rank: usize) -> Value {
        let grades: Vec<Value> = self.classes.iter().map(grade).collect();
        let waits = vec![false; self.classes.len()];
        json!({
            "ceilings": {
                "connect_timeout": 250.0, "cancel": true, "most_tries": 3, "second_copies": false,
                "retry_after": true, "max_retry_after": 500.0, "peer_messages": true, "probes": false,
                "streams_per_conn": 100, "conn_idle": 30_000.0, "max_open": 20_000,
            },
            "fleet_size": self.dispatchers,
            "rank": rank,
            "grades": grades,
            "machine_types": ["std"],
            "zones": ["east"],
            "locality": "east",
            "feedback": {"how": "answers", "fields": ["rif", "x0"]},
            "extra": {"cores_by_kind": [self.cores], "ram_of_kind_mb": [65_536.0], "class_waits": waits},
            "rules": {
                "cold_from": self.initial_capacity, "warm_within": self.warm_up_period,
                "fall_multiple": self.overload_multiple, "overload_for": self.overload_window,
                "drain_grace": DRAIN_GRACE, "grace_to_answer": 50.0,
            },
            "deductions": {"peer": 0.01, "cross_zone": 0.02},
            "step": 1.0,
        })
    }

    /// The file of the dispatcher of this rank. `known` are the engines' entries at its start.
    pub fn file(
        &self,
        rank: usize,
        listen: SocketAddr,
        journal: SocketAddr,
        known: &Value,
    ) -> String {
        json!({
            "name": format!("n{rank}"),
            "listen": listen.to_string(),
            "seed": format!("{:x}", 0x5eed + rank),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "journal": journal.to_string(),
            "known": known,
            "peer_listen": self.peer_listen(rank).to_string(),
            "peers": self.peers.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "peers_all": "127.0.0.1:9",
            "settings": self.json(rank),
        })
        .to_string()
    }

    fn peer_listen(&self, rank: usize) -> SocketAddr {
        let unlisted = SocketAddr::from(([127, 0, 0, 1], 0));
        self.peers.get(rank).copied().unwrap_or(unlisted)
    }

    /// Addresses on loopback that are free now, for the peers.
    ///
    /// # Errors
    /// The machine has none.
    pub fn free_peer_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
        let bind = |_| std::net::UdpSocket::bind("127.0.0.1:0");
        let sockets: Vec<_> = (0..count).map(bind).collect::<Result<_, _>>()?;
        sockets
            .iter()
            .map(std::net::UdpSocket::local_addr)
            .collect()
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}

fn grade(class: &Class) -> Value {
    let effect = match class.effect {
        Effect::Retryable => "retryable",
        Effect::Deduplicated => "dedup",
        Effect::Fragile => "fragile",
    };
    json!({
        "name": class.name, "aim": class.objective, "aim_stretch": 2.0, "hard_limit": class.deadline,
        "effect": effect, "group": "all", "dedup_window": DEDUPLICATION_WINDOW, "worth": class.weight,
    })
}
