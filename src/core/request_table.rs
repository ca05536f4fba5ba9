//! The table of unfinished requests, with the queue of their deadlines.

use crate::core::attempt::Attempt;
use crate::core::command::{AttemptId, RequestId};
use crate::core::deadlines::DeadlineQueue;
use crate::core::request::Request;
use crate::decision::model::Millis;
use std::collections::BTreeMap;

/// Unfinished requests by id: those that await an answer or have attempts in flight.
#[derive(Debug)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    next_id: RequestId,
    deadlines: DeadlineQueue,
    /// Ids of requests that may have finished since the last [`RequestTable::remove_finished`].
    finish_candidates: Vec<RequestId>,
}

impl RequestTable {
    /// Creates an empty table.
    pub(super) fn new() -> Self {
        RequestTable {
            requests: BTreeMap::new(),
            next_id: 1,
            deadlines: DeadlineQueue::default(),
            finish_candidates: vec![],
        }
    }

    /// Allocates a request id that has not been used before.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Returns the number of requests in the table, including closed ones with attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that await an answer.
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

    /// Returns the request with this id, unless it is finished.
    pub(super) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Returns the request with this id, unless it is finished.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Returns the request with this id, if it awaits an answer.
    pub(super) fn open_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.get_mut(id).filter(|request| !request.is_closed())
    }

    /// Returns the attempt with this id, if its request is in the table.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.get(id.request)?.attempts().get(id.index as usize)
    }

    /// Returns the attempt with this id, if it is in flight.
    pub(super) fn in_flight_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(id.request)?.in_flight_mut(id.index)
    }

    /// Queues the deadline of an attempt of this request.
    pub(super) fn insert_deadline(&mut self, at: Millis, id: RequestId) {
        self.deadlines.insert(at, id);
    }

    /// Returns the earliest deadline of a request or an attempt.
    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.earliest()
    }

    /// Removes the earliest deadline if it has passed, and returns the id of its request.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        self.deadlines.pop_due(now)
    }

    /// Shortens the deadlines of all unanswered requests to `by` where they are later.
    pub(super) fn shorten_deadlines(&mut self, by: Millis) {
        for (&id, request) in &mut self.requests {
            let old_deadline = request.deadline();
            if request.shorten_deadline(by) {
                self.deadlines.remove(old_deadline, id);
                self.deadlines.insert(by, id);
            }
        }
    }

    /// Registers a request that may be finished, for the next [`RequestTable::remove_finished`] to check.
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
