//! Upper bounds of the time limits and estimates that clients state with a request. A value above its bound
//! is not used as an estimate: a single one would distort what the dispatcher learns from all other requests.

/// Maximum time limit of a request, in milliseconds: one hour.
pub(crate) const MAX_TIME_LIMIT_MS: f64 = 3_600_000.0;
/// Maximum estimate of a request's work, in milliseconds: one hour.
pub(crate) const MAX_ESTIMATED_WORK_MS: f64 = 3_600_000.0;
/// Maximum estimate of a request's memory, in megabytes: one terabyte.
pub(crate) const MAX_ESTIMATED_MEMORY_MB: f64 = 1_048_576.0;
