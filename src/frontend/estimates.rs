//! Bounds of what clients state with a request. A number beyond them is no estimate: one such number would spoil
//! what is learned from all other requests.

/// The longest time limit of a request, in milliseconds: an hour.
pub(crate) const MAX_TIME_LIMIT_MS: f64 = 3_600_000.0;
/// The greatest estimate of a request's work, in milliseconds: an hour.
pub(crate) const MAX_ESTIMATED_WORK_MS: f64 = 3_600_000.0;
/// The greatest estimate of a request's memory, in megabytes: a terabyte.
pub(crate) const MAX_ESTIMATED_MEMORY_MB: f64 = 1_048_576.0;
