//! Replies to the simulator.

use query_dispatcher::{Action, Millis};
use serde::Serialize;

/// One line to the simulator.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum Output<'a> {
    /// Send a query to an engine.
    #[serde(rename = "call_out")]
    Send {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        #[serde(rename = "corr")]
        query: u64,
        engine: &'a str,
        #[serde(rename = "try_for", skip_serializing_if = "Option::is_none")]
        timeout: Option<Millis>,
    },
    /// Set a query's priority and the memory of its further attempts.
    #[serde(rename = "provide")]
    Terms {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        #[serde(rename = "corr")]
        query: u64,
        #[serde(rename = "rank")]
        priority: u8,
        #[serde(rename = "mem_mb")]
        memory_mb: f64,
    },
    /// Cancel an attempt.
    #[serde(rename = "retract")]
    Cancel {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        #[serde(rename = "corr")]
        query: u64,
        #[serde(rename = "go")]
        attempt: u32,
    },
    /// Reject a query, with a time after which its client may retry.
    Reject {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        #[serde(rename = "corr")]
        query: u64,
        #[serde(rename = "not_before_for", skip_serializing_if = "Option::is_none")]
        retry_after: Option<Millis>,
    },
    /// Fail a query.
    Fail {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        #[serde(rename = "corr")]
        query: u64,
    },
    /// Check an engine's health.
    #[serde(rename = "sound_out")]
    Probe {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        engine: &'a str,
    },
    /// Start a timer.
    #[serde(rename = "set_alarm")]
    Timer {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        #[serde(rename = "moment")]
        at: Millis,
        #[serde(rename = "nonce")]
        token: u64,
    },
    /// Subscribe to changes of the engine list.
    #[serde(rename = "observe")]
    Subscribe {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        want: bool,
    },
    /// Write a line to the instance's log.
    #[serde(rename = "print")]
    Log {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        text: &'a str,
    },
    /// Send a load report to the other instances.
    #[serde(rename = "write_peer")]
    PeerMessage {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        content: &'a str,
    },
    /// The instance has panicked.
    Fault {
        #[serde(rename = "gateway_id")]
        instance: &'a str,
        text: &'a str,
    },
    /// The replies to the batch are complete.
    End,
}

impl<'a> Output<'a> {
    /// Returns the reply for an instance's action.
    pub(crate) fn from_action(instance: &'a str, action: &'a Action) -> Self {
        match action {
            Action::Send {
                id,
                engine,
                timeout,
            } => Output::Send {
                instance,
                query: *id,
                engine,
                timeout: *timeout,
            },
            Action::Terms {
                id,
                priority,
                memory_mb,
            } => Output::Terms {
                instance,
                query: *id,
                priority: *priority,
                memory_mb: *memory_mb,
            },
            Action::Cancel { id, attempt } => Output::Cancel {
                instance,
                query: *id,
                attempt: *attempt,
            },
            Action::Refuse { id, retry_after } => Output::Reject {
                instance,
                query: *id,
                retry_after: *retry_after,
            },
            Action::Fail { id } => Output::Fail {
                instance,
                query: *id,
            },
            Action::Probe { engine } => Output::Probe { instance, engine },
            Action::Timer { at, token } => Output::Timer {
                instance,
                at: *at,
                token: *token,
            },
            Action::Subscribe => Output::Subscribe {
                instance,
                want: true,
            },
            Action::Log(text) => Output::Log { instance, text },
        }
    }
}
