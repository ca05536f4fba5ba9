//! Upstreams: the connections to engines and the attempts that run on them.

pub mod mysql;
pub mod resp;
