//! Configuration of a dispatcher on the platform, in the form of its JSON file.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Effect of running a request of a class twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request is idempotent and may be repeated at any time.
    Retryable,
    /// None within the deduplication window, in which engines recognize the request id.
    Deduplicated,
    /// The request must not run twice.
    Fragile,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    /// Latency objective, in milliseconds.
    pub objective: f64,
    /// Maximum deadline, in milliseconds.
    pub deadline: f64,
    /// Priority weight.
    pub weight: f64,
}

/// Time in which an engine recognizes a repeated request, in milliseconds.
pub const DEDUPLICATION_WINDOW: f64 = 1500.0;
/// Maximum time from the notice of a drain to the last new request that reaches the engine, in milliseconds.
pub const DRAIN_GRACE: f64 = 1000.0;

/// Window in which requests and retries are counted for the retry budget, in milliseconds.
const RETRY_BUDGET_WINDOW: f64 = 10_000.0;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    pub classes: Vec<Class>,
    /// Number of dispatchers that share the engines.
    pub dispatchers: usize,
    /// Number of cores of an engine.
    pub cores: f64,
    /// Share of its capacity that an engine has when it starts.
    pub initial_capacity: f64,
    /// Time after which a started engine is warm, in milliseconds.
    pub warm_up_period: f64,
    /// Multiple of an engine's capacity above which it is overloaded.
    pub overload_multiple: f64,
    /// Window in which an engine's load is compared with its capacity, in milliseconds.
    pub overload_window: f64,
    /// Addresses at which dispatchers receive gossip from their peers, by rank; empty without gossip.
    pub peers: Vec<SocketAddr>,
    /// Number of retries that the fleet's rules allow for each request; `None` without such a rule.
    pub retries_per_request: Option<f64>,
    /// Memory limit of a dispatcher, in megabytes.
    pub memory_mb: usize,
    /// Descriptor limit of a dispatcher.
    pub descriptors: usize,
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
            retries_per_request: None,
            memory_mb: 192,
            descriptors: 1024,
        }
    }
}

impl Settings {
    fn json(&self, rank: usize) -> Value {
        let grades: Vec<Value> = self.classes.iter().map(class_json).collect();
        let waits = vec![false; self.classes.len()];
        let mut settings = json!({
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
        });
        if let Some(retries) = self.retries_per_request {
            settings["rules"]["extra_per_request"] = json!(retries);
            settings["rules"]["budget_span"] = json!(RETRY_BUDGET_WINDOW);
        }
        settings
    }

    /// Returns the file of the dispatcher of this rank. `known` holds the journal's entries at its start.
    pub fn config_file(
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
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
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
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        self.peers.get(rank).copied().unwrap_or(any_port)
    }

    /// Returns free UDP addresses on loopback for the gossip of `count` dispatchers.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be bound.
    pub fn free_peer_addresses(count: usize) -> std::io::Result<Vec<SocketAddr>> {
        let bind = |_| std::net::UdpSocket::bind("127.0.0.1:0");
        let sockets: Vec<_> = (0..count).map(bind).collect::<Result<_, _>>()?;
        sockets
            .iter()
            .map(std::net::UdpSocket::local_addr)
            .collect()
    }

    /// Returns the class of this name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }
}

fn class_json(class: &Class) -> Value {
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
