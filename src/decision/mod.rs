//! The decision module: which engine, whether again, what is refused. Pure: time and randomness are passed in.

#[rustfmt::skip] // Formatted once it is split by concern: the policy files hold a bounded number of lines.
mod controller;
pub mod facade;
pub mod model;

pub use controller::Controller;
