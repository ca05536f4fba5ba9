//! Frontends: clients' connections, from accept to the final answer.

pub mod frames;
pub mod mysql;
