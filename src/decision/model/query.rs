//! A query as a client sends it.

use super::{ClassId, Millis, QueryId};

/// A query as it arrives.
#[derive(Clone, Debug)]
pub struct Query {
    /// The dispatcher's own number for it.
    pub id: QueryId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, by number, if it has one.
    pub tenant: Option<usize>,
    /// Queries with one key run in order; only for classes in order.
    pub key: Option<String>,
    /// Group of tables that it reads or writes.
    pub tables: Option<u64>,
    /// Until its client gives up on it, ms.
    pub time_left: Millis,
    /// Estimate of its work, as time on one thread, ms.
    pub work: Option<f64>,
    /// Estimate of the memory it needs, MB.
    pub memory_mb: Option<f64>,
}

impl Query {
    /// Absurd estimates are treated as absent, an absurd time left as none.
    pub(crate) fn sanitize(&mut self) {
        self.work = positive(self.work);
        self.memory_mb = positive(self.memory_mb);
        self.time_left = match self.time_left.is_finite() {
            true => self.time_left.max(0.0),
            false => 0.0,
        };
    }
}

/// The number if it is finite and above 0.
pub(crate) fn positive(number: Option<f64>) -> Option<f64> {
    number.filter(|number| number.is_finite() && *number > 0.0)
}
