//! The library's readers and writers of stored data, and the fixed contents that were stored. All names of the library
//! that the tests of stored data use stand here.
#![allow(dead_code)]

pub(crate) mod members;
pub(crate) mod segments;
pub(crate) mod shared;
