//! What the tests of the external interface are made of.
#![allow(dead_code)]

pub mod configuration;
pub mod platform_wire;
pub mod statements;
