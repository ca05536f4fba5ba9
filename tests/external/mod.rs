//! What the tests of the external interface are made of.
#![allow(dead_code)]

pub(crate) mod configuration;
pub(crate) mod platform_wire;
pub(crate) mod statements;
