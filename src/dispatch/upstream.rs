//! The interface between the request router and the connections to the engines.

use crate::core::{AttemptId, StartAttempt};
use crate::discovery::EndpointListChange;
use crate::dispatch::request_router::RequestRouter;
use std::rc::Rc;

/// Connections to the engines over one protocol.
pub trait Upstream: Sized + 'static {
    /// Payload that a frontend passes with a request: the statement, and what is needed to send it.
    type Work: 'static;
    /// Result that an engine returns.
    type Output: 'static;

    /// Starts an attempt. The outcome is reported to `router`, unless the attempt is cancelled first.
    fn start(&self, router: &Rc<RequestRouter<Self>>, start: StartAttempt, work: Rc<Self::Work>);

    /// Cancels an attempt. Its outcome must no longer be reported.
    fn cancel_attempt(&self, attempt: AttemptId);

    /// Applies a change of the endpoint list.
    fn update_endpoints(&self, change: &EndpointListChange);

    /// Sets how many processes of this dispatcher share the limits on connections to engines.
    fn set_process_count(&self, processes: usize);
}
