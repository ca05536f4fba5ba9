//! The life of requests and attempts, with no I/O: time is passed in, what is to be done comes out as
//! [`Command`]s. It knows no wire; fronts open and leave requests, upstreams tell how attempts end.
//!
//! The decisions are the module's; what is kept here is what must hold whatever it decides: one final
//! answer for each request, in time; no attempt of an unsafe query after one that may have run; nothing out
//! once nobody waits.

mod metrics;
mod requests;

pub use metrics::{Metrics, RequestOutcome};
pub use requests::{Answer, AttemptId, Command, Core, CoreLimits, NewRequest, RequestId};
