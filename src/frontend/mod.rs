//! Frontends: client connections, from accept to the final answer.

pub(crate) mod estimates;
pub mod frames;
pub mod mysql;
