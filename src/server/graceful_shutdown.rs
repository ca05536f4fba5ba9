//! Graceful shutdown: from SIGTERM to the last answer.
//!
//! Clients are still accepted for a moment and told that this process is not ready; then they are asked to go
//! elsewhere, and every request that is open is answered before the platform's SIGKILL can come.

use crate::clock::{duration_from_millis, process_clock_millis};
use crate::core::Violation;
use crate::decision::model::Millis;
use crate::dispatch::{RequestRouter, Upstream};
use crate::frontend::frames::{self, Work};
use crate::frontend::mysql;
use crate::log_line;
use crate::server::signals::Signals;
use crate::transport::buffer_pool::Buffer;
use crate::upstream::mysql::work::{Output, Work as MysqlWork};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Connections are still accepted for this long after SIGTERM, unless another process accepts them.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Between the goodbye and the close of idle connections: requests that crossed the goodbye still arrive.
const GOODBYE_PERIOD: Duration = Duration::from_millis(300);
/// The same where clients have another process to connect to, and nothing presses.
const GOODBYE_PERIOD_HANDED_OVER: Duration = Duration::from_millis(1000);
/// Clients may take their last answers for this long after the answers are due: SIGKILL comes 350 ms after that.
const FINAL_WRITE_PERIOD: Duration = Duration::from_millis(250);
/// How often it is checked whether anything is still owed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The longest deadline that the platform waits for before SIGKILL.
const MAX_DEADLINE_MS: Millis = 3000.0;
/// The same where another process has taken over.
const MAX_DEADLINE_HANDED_OVER_MS: Millis = 5000.0;
/// SIGKILL comes this long after the longest deadline.
const KILL_AFTER_DEADLINE_MS: Millis = 700.0;
/// Every answer is given this long before SIGKILL.
const ANSWER_BEFORE_KILL_MS: Millis = 350.0;

/// What shutdown depends on.
pub(super) struct ShutdownPlan {
    /// The longest deadline of any request class, in milliseconds.
    pub(super) longest_deadline: Millis,
    /// Another process of this dispatcher holds the listening socket and takes the clients.
    pub(super) handed_over: bool,
}

impl ShutdownPlan {
    /// From SIGTERM until every answer must be given.
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

/// A frontend, as shutdown sees it.
pub(super) trait Drain {
    /// No new request is wanted on any connection.
    fn announce_shutdown(&self, handed_over: bool);
    /// Each connection ends as soon as nothing is owed on it.
    fn close_when_idle(&self);
    /// Connections that may still be owed something.
    fn unfinished(&self) -> usize;
    /// Requests that are read and unanswered, other than those that connections count themselves when they end.
    fn uncounted_requests(&self) -> usize;
}

impl<U: Upstream<Work = Work, Output = Buffer>> Drain for frames::Frontend<U> {
    fn announce_shutdown(&self, handed_over: bool) {
        self.announce_shutdown(handed_over);
    }

    fn close_when_idle(&self) {
        self.close_when_idle();
    }

    fn unfinished(&self) -> usize {
        self.connection_count()
    }

    fn uncounted_requests(&self) -> usize {
        self.unanswered_requests()
    }
}

impl<U: Upstream<Work = MysqlWork, Output = Output>> Drain for mysql::Frontend<U> {
    fn announce_shutdown(&self, handed_over: bool) {
        self.announce_shutdown(handed_over);
    }

    /// Sessions end between statements once they are told of the shutdown.
    fn close_when_idle(&self) {}

    fn unfinished(&self) -> usize {
        self.pending_answers()
    }

    /// Each session counts its own.
    fn uncounted_requests(&self) -> usize {
        0
    }
}

/// Waits for SIGTERM and shuts down. With a listening socket that another process holds as well no more clients are
/// accepted, for they would meet an end here that the other process spares them: only those that were accepted are
/// served on.
pub(super) async fn shut_down_on_sigterm<U: Upstream>(
    sigterm: &mut Signals,
    router: &Rc<RequestRouter<U>>,
    frontend: &impl Drain,
    plan: &ShutdownPlan,
) {
    sigterm.recv().await;
    let began = Instant::now();
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
    // What clients have not taken whole by then is cut off by the kill in any case.
    let limit = answer_period + FINAL_WRITE_PERIOD;
    while (router.unanswered_requests() > 0 || frontend.unfinished() > 0) && began.elapsed() < limit
    {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for _ in 0..frontend.uncounted_requests() {
        router.record_violation(Violation::ClosedUnanswered);
    }
    log_line!("stopped after {} ms", began.elapsed().as_millis());
}
