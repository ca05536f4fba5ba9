//! The library's readers and writers of stored data, and the fixed contents that were stored. All names of the library
//! that the tests of stored data use stand here.
#![allow(dead_code)]

pub mod members;
pub mod segments;
pub mod shared;
