//! What belongs to the process itself: signals, its sibling processes and its memory.

pub mod instance_registry;
pub mod process_metrics;
pub mod signals;
