//! Parsing and encoding of protocol messages, without sockets or policy.

pub mod frames;
pub mod mysql;
pub mod resp;
pub mod statement;
