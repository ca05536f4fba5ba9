//! Clients of a dispatcher: MySQL sessions that a test controls packet by packet, and a load generator.

pub mod load;
pub mod mysql;
