//! A query as received from a client.

use super::{ClassId, Millis, QueryId};

/// A query as it arrives.
#[derive(Clone, Debug)]
pub struct Query {
    /// The dispatcher's own number for the query.
    pub id: QueryId,
    /// Class of the query.
    pub class: ClassId,
    /// Number of the query's tenant, if it has one.
    pub tenant: Option<usize>,
    /// Ordering key: queries with the same key run in order, if their class has to run in order.
    pub key: Option<String>,
    /// Table group that the query reads or writes.
    pub tables: Option<u64>,
    /// Time until the client gives up on the query, ms.
    pub time_left: Millis,
    /// Estimated work, ms of one thread.
    pub work: Option<f64>,
    /// Estimated memory, MB.
    pub memory_mb: Option<f64>,
}

impl Query {
    /// Removes invalid estimates, and replaces an invalid `time_left` by 0.
    pub(crate) fn sanitize(&mut self) {
        self.work = positive(self.work);
        self.memory_mb = positive(self.memory_mb);
        self.time_left = match self.time_left.is_finite() {
            true => self.time_left.max(0.0),
            false => 0.0,
        };
    }
}

/// Returns the number if it is finite and above 0.
pub(crate) fn positive(number: Option<f64>) -> Option<f64> {
    number.filter(|number| number.is_finite() && *number > 0.0)
}
