//! Admission control: queues arriving queries and sheds those that cannot or should not be served.

use super::controller::Controller;
use super::model::timers::{SAMPLING_PERIOD, WAKEUP_INTERVAL};
use super::model::{Action, Query, QueryId};
use super::model::{request::PendingRequest, utilization::FULL_UTILIZATION};

/// Utilization of the least utilized zone up to which no query is refused for its cost. Above it,
/// the queries with the least weight for their work are refused first.
pub(super) const LOW_UTILIZATION: f64 = 0.5;

impl Controller {
    /// Queues an arriving query and starts it if an engine can take it. A query with too little time
    /// left to wait in the queue (such as one from a stalled client) is answered at once instead of
    /// at the next timer.
    pub(super) fn admit(&mut self, query: Query) {
        let Some(id) = self.state.enqueue(query) else {
            return;
        };
        self.dispatch_queued();
        let Some(request) = self.state.requests.get(&id) else {
            return;
        };
        if request.is_finished || !request.attempts.is_empty() {
            return;
        }
        let period = &mut self.state.classes[request.query.class].period;
        period.is_backlogged |= !request.awaits_probes(self.state.now);
        if self.must_shed(request) {
            self.shed(id);
        }
    }

    /// Sheds the queued requests for which [`Controller::must_shed`] holds.
    pub(super) fn shed_late_requests(&mut self) {
        let queued = self.state.classes.iter().flat_map(|class| &class.queue);
        let requests = queued.filter_map(|id| self.state.requests.get(id));
        let late = requests.filter(|request| self.must_shed(request));
        let late: Vec<QueryId> = late.map(|request| request.query.id).collect();
        late.into_iter().for_each(|id| self.shed(id));
    }

    /// Returns whether a queued request has to be shed: it cannot be answered in time, exceeds its
    /// tenant's quota, or costs too much during an overload. While the request waits for probes, it
    /// is shed only if its final answer is due.
    fn must_shed(&self, request: &PendingRequest) -> bool {
        let is_refused = || {
            self.cannot_meet_deadline(request)
                || request.over_quota
                || self.exceeds_overload_cost_limit(&request.query)
        };
        let awaits_probes = request.awaits_probes(self.state.now);
        self.is_final_answer_due(request) || !awaits_probes && is_refused()
    }

    /// Returns whether the final answer is due now: the deadline of the client is near, or engines
    /// are about to stop recognizing a repeated attempt as a duplicate.
    fn is_final_answer_due(&self, request: &PendingRequest) -> bool {
        let interval = WAKEUP_INTERVAL.max(self.state.settings.step);
        let answer_by = request.deadline - 2.0 * interval;
        let repeat_by = request.repeatable_until() - WAKEUP_INTERVAL;
        self.state.now >= answer_by.min(repeat_by)
    }

    /// Returns whether the request is expected to miss its latency objective or its deadline even if
    /// it is started now.
    fn cannot_meet_deadline(&self, request: &PendingRequest) -> bool {
        let cost = &self.state.class(&request.query).cost;
        let work = cost.work(&request.query);
        let objective = request.arrived_at + cost.latency_objective(work);
        let end = self.state.now + cost.expected_latency(work);
        end > objective.min(request.deadline)
    }

    /// Returns whether the engines are loaded and the query has a low priority weight for its work,
    /// compared with the mean of all queries: a few such queries use the capacity that many others
    /// need. The required weight rises with the utilization and reaches the mean at full
    /// utilization. This guards against surges, bad plans and heavy-tailed work that push engines
    /// past the point where latency rises steeply. The cost is that a heavy query is refused that
    /// would have run.
    pub(super) fn exceeds_overload_cost_limit(&self, query: &Query) -> bool {
        if query.work.is_none() {
            return false;
        }
        let weight_per_work =
            self.state.class(query).settings.priority_weight / self.state.work(query);
        let excess = self.state.lowest_zone_utilization() - LOW_UTILIZATION;
        let severity = excess / (FULL_UTILIZATION - LOW_UTILIZATION);
        let mean_weight = self.state.mean_priority_weight.mean_or(1.0);
        weight_per_work < severity * mean_weight / self.state.mean_work.mean_or(1.0)
    }

    /// Gives the final answer to a query that will not be sent (again): a refusal, with a retry
    /// delay where the limits allow it, if the client can safely retry, else a failure.
    pub(super) fn shed(&mut self, id: QueryId) {
        let Some(request) = self.state.open_request(id) else {
            return;
        };
        let limits = &self.state.settings.limits;
        let retry_delay = limits.max_retry_after.min(SAMPLING_PERIOD);
        let retry_after = limits.sends_retry_after.then_some(retry_delay);
        self.actions.push(match request.is_retry_safe() {
            true => Action::Refuse { id, retry_after },
            false => Action::Fail { id },
        });
        self.finish(id);
    }
}
