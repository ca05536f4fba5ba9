//! Dispatch decisions: placement of queries on engines, retries, and load shedding. The module
//! performs no I/O: time and the random seed are passed in.

mod admission;
mod attempts;
mod concurrency_limit;
mod controller;
pub mod facade;
mod feedback;
pub mod model;
mod outlier_detection;
mod placement;
mod retry;
mod send_guard;
mod slow_start;
#[cfg(test)]
mod tests;

pub use controller::Controller;
