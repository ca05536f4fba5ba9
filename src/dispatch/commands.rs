//! Execution of the core's commands.

use crate::clock::process_clock_millis;
use crate::core::invariants::LATE_ANSWER_MS;
use crate::core::{Answer, Command, RequestId, StartAttempt, Violation};
use crate::dispatch::request_router::RequestRouter;
use crate::dispatch::upstream::Upstream;
use crate::log_line;
use std::rc::Rc;

impl<U: Upstream> RequestRouter<U> {
    /// Executes the core's commands, including those that are queued while others are executed.
    pub(super) fn run_commands(self: &Rc<Self>) {
        loop {
            let commands = self.core.borrow_mut().take_commands();
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.run_command(command);
            }
        }
        self.wakeup_changed.notify_one();
    }

    fn run_command(self: &Rc<Self>, command: Command) {
        match command {
            Command::Start(start) => self.start_attempt(start),
            Command::Cancel { attempt } => self.upstream.cancel_attempt(attempt),
            Command::Answer { request, answer } => self.answer(request, answer),
            Command::Log(text) => log_line!("decision: {text}"),
            Command::Broadcast(message) => self.broadcast(&message),
        }
    }

    fn start_attempt(self: &Rc<Self>, start: StartAttempt) {
        let work = self
            .open
            .borrow()
            .get(&start.attempt.request)
            .map(|request| request.work.clone());
        if let Some(work) = work {
            self.upstream.start(self, start, work);
        }
    }

    fn answer(&self, id: RequestId, answer: Answer) {
        let request = self.open.borrow_mut().remove(&id);
        if let Some(request) = request {
            if process_clock_millis() > request.deadline + LATE_ANSWER_MS {
                self.record_violation(Violation::LateAnswer);
            }
            (request.reply_handler)(answer.with_result(request.output));
        }
    }

    fn broadcast(&self, message: &[u8]) {
        if let Some(send) = self.gossip_sender.get() {
            send(message);
        }
    }
}
