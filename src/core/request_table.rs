//! The open requests, with the queue of their deadlines.

use crate::core::attempt::Attempt;
use crate::core::command::{AttemptId, RequestId};
use crate::core::deadlines::DeadlineQueue;
use crate::core::request::Request;
use crate::decision::model::Millis;
use std::collections::BTreeMap;

/// Requests that are not finished, by id.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    next_id: RequestId,
    deadlines: DeadlineQueue,
    /// Requests that may be finished since the last [`RequestTable::remove_finished`].
    finish_candidates: Vec<RequestId>,
}

impl RequestTable {
    /// An empty table.
    pub(super) fn new() -> Self {
        RequestTable {
            requests: BTreeMap::new(),
            next_id: 1,
            deadlines: DeadlineQueue::default(),
            finish_candidates: vec![],
        }
    }

    /// An id that no request has had.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Requests in the table, closed ones with attempts in flight included.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Requests that await an answer.
    pub(super) fn unanswered(&self) -> usize {
        self.requests
            .values()
            .filter(|request| !request.is_closed())
            .count()
    }

    /// Adds a request and queues its deadline.
    pub(super) fn insert(&mut self, id: RequestId, request: Request) {
        self.deadlines.insert(request.deadline(), id);
        self.requests.insert(id, request);
    }

    /// The request of this id, unless it is finished.
    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// The request of this id, unless it is finished.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// The request of this id, if it awaits an answer.
    pub(super) fn open_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.get_mut(id).filter(|request| !request.is_closed())
    }

    /// The attempt of this id, while its request is in the table.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.get(id.request)?.attempts().get(id.index as usize)
    }

    /// The attempt of this id, unless it is over.
    pub(super) fn in_flight_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(id.request)?.in_flight_mut(id.index)
    }

    /// Queues an attempt's own deadline.
    pub(super) fn insert_deadline(&mut self, at: Millis, id: RequestId) {
        self.deadlines.insert(at, id);
    }

    /// The earliest deadline of a request or an attempt.
    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.next()
    }

    /// Removes the earliest deadline if it has passed, and returns its request.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        self.deadlines.pop_due(now)
    }

    /// Makes every answer due at `by` that would be due later.
    pub(super) fn shorten_deadlines(&mut self, by: Millis) {
        for (&id, request) in &mut self.requests {
            let old_deadline = request.deadline();
            if request.shorten_deadline(by) {
                self.deadlines.remove(old_deadline, id);
                self.deadlines.insert(by, id);
            }
        }
    }

    /// The request may be finished: the next [`RequestTable::remove_finished`] looks at it.
    pub(super) fn add_finish_candidate(&mut self, id: RequestId) {
        self.finish_candidates.push(id);
    }

    /// Removes the finished requests and their deadlines.
    pub(super) fn remove_finished(&mut self) {
        while let Some(id) = self.finish_candidates.pop() {
            if self.get(id).is_some_and(Request::is_finished) {
                self.remove(id);
            }
        }
    }

    fn remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.deadlines.remove(request.deadline(), id);
        for attempt in request.attempts() {
            self.deadlines.remove(attempt.deadline(), id);
        }
    }
}
