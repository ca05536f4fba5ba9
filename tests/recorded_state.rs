//! The pure state machines give out exactly what they gave out when they were recorded: the registry view, the spool
//! index, sticky sessions and the gossip between dispatchers.
//!
//! Streams of events from fixed seeds are played through each machine's public interface. Every output is written as
//! text by this test, so that renaming an item of the program does not move a digest; floats are written by their
//! bits. One pair of digests stands for all streams of one profile: states and decisions, and the wording that people
//! and other programs read. The machines' items are named in the adapters alone.

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
