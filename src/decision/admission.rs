//! Which queries are admitted to a queue, and which are refused from it.

use super::controller::Controller;
use super::model::timers::{SAMPLING_PERIOD, WAKEUP_INTERVAL};
use super::model::{Action, Query, QueryId};
use super::model::{request::PendingRequest, utilization::FULL_UTILIZATION};

/// Utilization of the least used zone below which all is calm; above, the costliest queries are
/// refused.
pub(super) const CALM_UTILIZATION: f64 = 0.5;

impl Controller {
    /// Queues a query that has arrived, and starts it if it can. One with too little time to wait
    /// (of a stalled client) is answered before the next timer.
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

    /// Refuses queued requests that can no longer be answered in time.
    pub(super) fn shed_late_requests(&mut self) {
        let queued = self.state.classes.iter().flat_map(|class| &class.queue);
        let requests = queued.filter_map(|id| self.state.requests.get(id));
        let late = requests.filter(|request| self.must_shed(request));
        let late: Vec<QueryId> = late.map(|request| request.query.id).collect();
        late.into_iter().for_each(|id| self.shed(id));
    }

    /// A queued request that cannot be answered in time, is beyond its tenant's quota, or costs too
    /// much in an overload. While it waits for probes only the last moment for an answer counts.
    fn must_shed(&self, request: &PendingRequest) -> bool {
        let is_refusable = || {
            self.cannot_meet_deadline(request)
                || request.over_quota
                || self.exceeds_overload_cost_limit(&request.query)
        };
        let awaits_probes = request.awaits_probes(self.state.now);
        self.is_last_moment(request) || !awaits_probes && is_refusable()
    }

    /// Its client is about to give up, or engines will no longer drop a repeat of it.
    fn is_last_moment(&self, request: &PendingRequest) -> bool {
        let interval = WAKEUP_INTERVAL.max(self.state.settings.step);
        let answer_by = request.deadline - 2.0 * interval;
        let repeat_by = request.repeatable_until() - WAKEUP_INTERVAL;
        self.state.now >= answer_by.min(repeat_by)
    }

    /// Started now it would still miss its objective or its deadline.
    fn cannot_meet_deadline(&self, request: &PendingRequest) -> bool {
        let cost = &self.state.class(&request.query).cost;
        let work = cost.work(&request.query);
        let objective = request.arrived_at + cost.latency_objective(work);
        let end = self.state.now + cost.expected_latency(work);
        end > objective.min(request.deadline)
    }

    /// Engines are loaded and the query earns little for its work beside the mean of all: a few
    /// such use what many others would need. The higher the utilization, the nearer to the mean.
    /// Guards against surges, bad plans and heavy tails that push engines past their knee; cost: a
    /// heavy query is refused that would have run.
    pub(super) fn exceeds_overload_cost_limit(&self, query: &Query) -> bool {
        if query.work.is_none() {
            return false;
        }
        let gain = self.state.class(query).settings.priority_weight / self.state.work(query);
        let excess = self.state.lowest_zone_utilization() - CALM_UTILIZATION;
        let severity = excess / (FULL_UTILIZATION - CALM_UTILIZATION);
        let mean_weight = self.state.mean_priority_weight.mean_or(1.0);
        gain < severity * mean_weight / self.state.mean_work.mean_or(1.0)
    }

    /// The final answer to a query that will not be sent: a refusal with advice where the rules
    /// allow it.
    pub(super) fn shed(&mut self, id: QueryId) {
        let Some(request) = self.state.open_request(id) else {
            return;
        };
        let limits = &self.state.settings.limits;
        let advice = limits.max_retry_after.min(SAMPLING_PERIOD);
        let retry_after = limits.sends_retry_after.then_some(advice);
        self.actions.push(match request.is_retry_safe() {
            true => Action::Refuse { id, retry_after },
            false => Action::Fail { id },
        });
        self.finish(id);
    }
}
