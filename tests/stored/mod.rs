//! Readers and writers of stored data, and the fixed contents of the stored files. The tests of stored data
//! use the library through these modules only.
#![allow(dead_code)]

pub(crate) mod members;
pub(crate) mod segments;
pub(crate) mod shared;
