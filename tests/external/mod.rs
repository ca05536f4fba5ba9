//! Helpers and input data for the tests of the external interface.
#![allow(dead_code)]

pub(crate) mod configuration;
pub(crate) mod platform_wire;
pub(crate) mod statements;
