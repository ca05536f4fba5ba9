//! Fakes of the systems around a dispatcher, written from public specifications: MySQL engines and Eureka
//! registries.

pub mod engine;
pub mod engine_session;
pub mod registry;
