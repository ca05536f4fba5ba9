//! The state of a query class: its queue, its allocation of threads and the current sampling
//! period.

use super::cost_estimator::CostEstimator;
use super::request::PendingRequest;
use super::{Class, ClassId, Ended, Millis, QueryId, Settings};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Statistics of a class over one sampling period.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeriodStatistics {
    /// Number of queries that arrived.
    pub(crate) arrivals: f64,
    /// Number of queries that were answered.
    pub(crate) served: f64,
    /// Sum of the service times of the answered queries, ms.
    pub(crate) service_time: Millis,
    /// Sum of the slowdowns of the answered queries: time in the queue divided by service time.
    pub(crate) slowdown: f64,
    /// Whether any query had to wait for capacity.
    pub(crate) is_backlogged: bool,
}

impl PeriodStatistics {
    /// Records an answer.
    pub(crate) fn record_answer(&mut self, service_time: Millis, queue_time: Millis) {
        self.served += 1.0;
        self.service_time += service_time;
        self.slowdown += queue_time / service_time;
    }

    /// Returns the mean slowdown of the answered queries; 0 if there were none.
    pub(crate) fn mean_slowdown(&self) -> f64 {
        if self.served > 0.0 {
            self.slowdown / self.served
        } else {
            0.0
        }
    }
}

/// The state of a query class.
#[derive(Debug)]
pub(crate) struct ClassState {
    /// Settings of the class.
    pub(crate) settings: Class,
    /// Queries that wait for an engine, in queue order.
    pub(crate) queue: VecDeque<QueryId>,
    /// Statistics of the current sampling period.
    pub(crate) period: PeriodStatistics,
    /// Mean service time in the last sampling period with an answer, ms.
    pub(crate) service_time: Millis,
    /// Sum of the slowdown errors: the state of the integral controller.
    pub(crate) error_sum: f64,
    /// Fraction of all threads that the controller allocates to the class.
    pub(crate) allocation: f64,
    /// Cost estimates for the queries of the class.
    pub(crate) cost: CostEstimator,
}

impl ClassState {
    /// Creates a class that has had no query yet. All classes start with equal allocations.
    pub(crate) fn new(settings: &Settings, class: ClassId) -> Self {
        ClassState {
            settings: settings.classes[class].clone(),
            queue: VecDeque::new(),
            period: PeriodStatistics::default(),
            service_time: 0.0,
            error_sum: 0.0,
            allocation: 1.0 / settings.classes.len() as f64,
            cost: CostEstimator::new(settings, class),
        }
    }

    /// Updates the mean service time from the period that ends.
    pub(crate) fn update_service_time(&mut self) {
        if self.period.served > 0.0 {
            self.service_time = self.period.service_time / self.period.served;
        }
    }

    /// Starts a new sampling period.
    pub(crate) fn begin_period(&mut self) {
        self.period = PeriodStatistics {
            is_backlogged: !self.queue.is_empty(),
            ..PeriodStatistics::default()
        };
    }

    /// Returns the load of the sampling period that ends, λE\[X\] in threads, as a fraction of
    /// `total` threads.
    pub(crate) fn load(&self, period: Millis, total: f64) -> f64 {
        let arrival_rate = self.period.arrivals / period;
        let threads = arrival_rate * self.service_time * self.settings.threads;
        if total > 0.0 { threads / total } else { 0.0 }
    }

    /// Returns the arrivals of the sampling period that ends times the class's priority weight.
    pub(crate) fn weighted_arrivals(&self) -> f64 {
        self.period.arrivals * self.settings.priority_weight
    }

    /// Returns the priority weight per unit of work.
    pub(crate) fn weight_per_work(&self) -> f64 {
        self.settings.priority_weight / self.cost.usual_work()
    }

    /// Updates the estimates and the period's statistics from an answer after `elapsed` ms. The
    /// work may be inferred from that time if the attempt ran `undisturbed`.
    pub(crate) fn record_answer(
        &mut self,
        request: &PendingRequest,
        answer: &Ended,
        elapsed: Millis,
        undisturbed: bool,
    ) {
        let latency = self
            .cost
            .record_answer(&request.query, answer, elapsed, undisturbed);
        self.period.record_answer(latency, request.queue_time);
    }
}
