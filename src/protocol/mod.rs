//! Bytes to typed messages and back: no sockets and no policy.

pub mod frames;
pub mod mysql;
pub mod resp;
pub mod statement;
