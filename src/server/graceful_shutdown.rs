//! Graceful shutdown: from SIGTERM until the last answer is written.
//!
//! For a short time connections are still accepted, and readiness requests are answered with "not ready".
//! Then clients are notified to use another process, and every open request is answered before the platform
//! can send SIGKILL.

use crate::clock::{duration_from_millis, process_clock_millis};
use crate::core::Violation;
use crate::decision::model::Millis;
use crate::dispatch::{RequestRouter, Upstream};
use crate::frontend::frames::{self, Work};
use crate::frontend::mysql;
use crate::log_line;
use crate::server::signals::Signals;
use crate::transport::buffer_pool::Buffer;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after SIGTERM for which connections are still accepted, unless another process accepts them.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Time between the goodbye frame and the close of idle connections: requests that were sent before their
/// client received the goodbye still arrive.
const GOODBYE_PERIOD: Duration = Duration::from_millis(300);
/// The same period where clients can connect to another process, so that a longer one costs nothing.
const GOODBYE_PERIOD_HANDED_OVER: Duration = Duration::from_millis(1000);
/// Time after the answers are due in which clients may still read their last answers: SIGKILL comes 350 ms
/// after the answers are due.
const FINAL_WRITE_PERIOD: Duration = Duration::from_millis(250);
/// Interval between checks for pending answers.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest deadline that the platform takes into account before SIGKILL, in milliseconds.
const MAX_DEADLINE_MS: Millis = 3000.0;
/// The same limit where another process has taken over, in milliseconds.
const MAX_DEADLINE_HANDED_OVER_MS: Millis = 5000.0;
/// Time from the longest deadline to SIGKILL, in milliseconds.
const KILL_AFTER_DEADLINE_MS: Millis = 700.0;
/// Time from the last answer to SIGKILL, in milliseconds.
const ANSWER_BEFORE_KILL_MS: Millis = 350.0;

/// Parameters of the shutdown.
pub(super) struct ShutdownPlan {
    /// The longest deadline of any request class, in milliseconds.
    pub(super) longest_deadline: Millis,
    /// Another process of this dispatcher holds the listening socket and takes the clients.
    pub(super) handed_over: bool,
}

impl ShutdownPlan {
    /// Returns the time from SIGTERM until every request must be answered.
    fn answer_period(&self) -> Duration {
        let max_deadline = if self.handed_over {
            MAX_DEADLINE_HANDED_OVER_MS
        } else {
            MAX_DEADLINE_MS
        };
        duration_from_millis(
            self.longest_deadline.min(max_deadline) + KILL_AFTER_DEADLINE_MS
                - ANSWER_BEFORE_KILL_MS,
        )
    }
}

/// Frontend operations that a graceful shutdown uses.
pub(super) trait DrainableFrontend {
    /// Notifies every client to send no more requests on its connection.
    fn announce_shutdown(&self, handed_over: bool);
    /// Closes each connection as soon as it has no pending answers.
    fn close_when_idle(&self);
    /// Returns the number of connections that may still have pending answers.
    fn unfinished_connections(&self) -> usize;
    /// Returns the number of requests that are read but unanswered, without those that connections count
    /// themselves when they end.
    fn uncounted_requests(&self) -> usize;
}

impl<U: Upstream<Work = Work, Output = Buffer>> DrainableFrontend for frames::Frontend<U> {
    fn announce_shutdown(&self, handed_over: bool) {
        self.announce_shutdown(handed_over);
    }

    fn close_when_idle(&self) {
        self.close_when_idle();
    }

    fn unfinished_connections(&self) -> usize {
        self.connection_count()
    }

    fn uncounted_requests(&self) -> usize {
        self.unanswered_requests()
    }
}

impl<U: mysql::StatementUpstream> DrainableFrontend for mysql::Frontend<U> {
    fn announce_shutdown(&self, handed_over: bool) {
        self.announce_shutdown(handed_over);
    }

    /// Does nothing: once notified of the shutdown, sessions end between statements by themselves.
    fn close_when_idle(&self) {}

    fn unfinished_connections(&self) -> usize {
        self.pending_answers()
    }

    /// Returns 0: each session counts its own requests.
    fn uncounted_requests(&self) -> usize {
        0
    }
}

/// Waits for SIGTERM, then shuts down. If another process also holds the listening socket, no more clients
/// are accepted here, because their connections would soon be closed; the other process accepts them instead.
/// Clients that were accepted before are still served.
pub(super) async fn shut_down_on_sigterm<U: Upstream>(
    sigterm: &mut Signals,
    router: &Rc<RequestRouter<U>>,
    frontend: &impl DrainableFrontend,
    plan: &ShutdownPlan,
) {
    sigterm.recv().await;
    let started = Instant::now();
    let answer_period = plan.answer_period();
    router.begin_shutdown(process_clock_millis() + answer_period.as_secs_f64() * 1000.0);
    if plan.handed_over {
        frontend.announce_shutdown(plan.handed_over);
    }
    log_line!(
        "SIGTERM: {} requests are open",
        router.unanswered_requests()
    );
    if plan.handed_over {
        tokio::time::sleep(GOODBYE_PERIOD_HANDED_OVER).await;
    } else {
        tokio::time::sleep(ACCEPT_PERIOD).await;
        frontend.announce_shutdown(plan.handed_over);
        tokio::time::sleep(GOODBYE_PERIOD).await;
    }
    frontend.close_when_idle();
    // SIGKILL would truncate answers that clients have not read completely by then in any case.
    let limit = answer_period + FINAL_WRITE_PERIOD;
    while (router.unanswered_requests() > 0 || frontend.unfinished_connections() > 0)
        && started.elapsed() < limit
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for _ in 0..frontend.uncounted_requests() {
        router.record_violation(Violation::ClosedUnanswered);
    }
    log_line!("stopped after {} ms", started.elapsed().as_millis());
}
