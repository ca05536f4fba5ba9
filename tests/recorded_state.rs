//! Compares the outputs of the pure state machines with recorded ones: the registry view, the spool index,
//! sticky sessions and the gossip between dispatchers.
//!
//! Streams of events from fixed seeds are played through each machine's public interface. This test writes
//! every output as text, so that renaming an item of the library does not change a digest; floats are
//! written as their bits. Two digests cover all streams of a profile: one of states and decisions, one of
//! the wording that people and other programs read. Only the adapters use the machines' items.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "recorded_state/expected.rs"]
mod expected;
#[path = "recorded_state/gossip.rs"]
mod gossip;
#[path = "recorded_state/gossip_adapter.rs"]
mod gossip_adapter;
#[path = "recorded_state/random.rs"]
mod random;
#[path = "recorded_state/recording.rs"]
mod recording;
#[path = "recorded_state/registry.rs"]
mod registry;
#[path = "recorded_state/registry_adapter.rs"]
mod registry_adapter;
#[path = "recorded_state/registry_profiles.rs"]
mod registry_profiles;
#[path = "recorded_state/registry_text.rs"]
mod registry_text;
#[path = "recorded_state/spool.rs"]
mod spool;
#[path = "recorded_state/spool_adapter.rs"]
mod spool_adapter;
#[path = "recorded_state/sticky.rs"]
mod sticky;
#[path = "recorded_state/sticky_adapter.rs"]
mod sticky_adapter;
