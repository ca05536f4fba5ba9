//! Estimates of the work, memory and latency of the queries of one class, learned from answers.
//! Before the first answers they are derived from the settings.

use super::query::{Query, positive};
use super::request::PendingRequest;
use super::statistics::{DecayingMean, DecayingRegression, TRUSTED_WEIGHT};
use super::{ClassId, Ended, Millis, Settings};

#[cfg(test)]
mod tests;

/// Factor by which the weight of class statistics decays at each sample: about the last fifty
/// samples count.
pub(crate) const CLASS_RETENTION: f64 = 0.98;

/// Variance assumed for the logarithm of an estimate before answers show the actual one.
const PRIOR_LOG_VARIANCE: f64 = 0.05;

/// Memory requested beyond the median need, in standard deviations, because a spill to disk costs
/// more than unused memory.
const GRANT_STANDARD_DEVIATIONS: f64 = 0.85;

/// Lower bound on recorded latencies, ms, that keeps ratios finite.
const MIN_LATENCY: Millis = 1e-3;

/// Estimates the cost of the queries of one class.
#[derive(Debug)]
pub(crate) struct CostEstimator {
    threads: f64,
    latency_objective: Millis,
    latency_objective_slowdown: f64,
    reports_cost: bool,
    accepts_memory_grants: bool,
    work: DecayingMean,
    latency: DecayingMean,
    /// Logarithm of latency times threads divided by expected work; 0 is as expected.
    pace: DecayingMean,
    /// Logarithms of the estimates (x) and of the actual values (y).
    work_estimates: DecayingRegression,
    memory_estimates: DecayingRegression,
}

/// The distribution of the logarithm of an actual cost, given its estimate.
#[derive(Clone, Copy, Debug)]
struct LogEstimate {
    median: f64,
    variance: f64,
}

impl CostEstimator {
    /// Creates an estimator for a class of these settings, before any answer.
    pub(crate) fn new(settings: &Settings, class: ClassId) -> Self {
        let class = &settings.classes[class];
        CostEstimator {
            threads: class.threads,
            latency_objective: class.latency_objective,
            latency_objective_slowdown: class.latency_objective_slowdown,
            reports_cost: settings.engines.reports_cost,
            accepts_memory_grants: settings.engines.accepts_memory_grants,
            work: DecayingMean::default(),
            latency: DecayingMean::default(),
            pace: DecayingMean::default(),
            work_estimates: DecayingRegression::default(),
            memory_estimates: DecayingRegression::default(),
        }
    }

    /// Returns the expected work of a query, ms of one thread: its corrected estimate, or the
    /// class's mean if it has none.
    pub(crate) fn work(&self, query: &Query) -> f64 {
        let Some(estimate) = query.work else {
            return self.usual_work();
        };
        let corrected = correct(&self.work_estimates, estimate);
        (corrected.median + corrected.variance / 2.0).exp()
    }

    /// Returns the class's mean work, ms of one thread. Before there are enough answers it is
    /// derived from the latency objective.
    pub(crate) fn usual_work(&self) -> f64 {
        let guess = self.latency_objective * self.threads / (1.0 + self.latency_objective_slowdown);
        self.work.trusted_mean_or(guess).max(1.0)
    }

    /// Returns the work that a query counts against the budget of an engine that is warming up, ms
    /// of one thread: the larger of the class's mean and the query's own estimate. If neither
    /// answers nor the query state the work, it is at least the mean latency of answers times the
    /// class's threads.
    pub(crate) fn slow_start_work(&self, query: &Query) -> f64 {
        let is_known = self.reports_cost || query.work.is_some();
        let by_latency = match is_known {
            true => 0.0,
            false => self.latency.mean_or(0.0) * self.threads,
        };
        self.usual_work().max(self.work(query)).max(by_latency)
    }

    /// Returns the expected latency of an attempt of this much work, ms, given the slowdown of
    /// recent answers.
    pub(crate) fn expected_latency(&self, work: f64) -> Millis {
        let usual = self.usual_work();
        self.latency.trusted_mean_or(usual / self.threads) * work / usual
    }

    /// Returns the time within which an answer to a query of this work has its full weight, ms.
    pub(crate) fn latency_objective(&self, work: f64) -> Millis {
        self.latency_objective + self.latency_objective_slowdown * work / self.threads
    }

    /// Returns the time that a request can spend waiting in addition to its expected latency, ms;
    /// negative if it is already too late.
    pub(crate) fn spare_time(&self, request: &PendingRequest) -> Millis {
        let work = self.work(&request.query);
        let time = request.deadline - request.arrived_at;
        self.latency_objective(work).min(time) - self.expected_latency(work)
    }

    /// Returns the class's mean logarithm of latency times threads divided by expected work, or
    /// `default` while there are too few answers.
    pub(crate) fn usual_pace(&self, default: f64) -> f64 {
        self.pace.trusted_mean_or(default)
    }

    /// Returns the memory to request for an attempt, MB, at most `limit_mb`; 0 leaves the choice to
    /// the engine.
    pub(crate) fn memory_grant(&self, request: &PendingRequest, limit_mb: f64) -> f64 {
        if !self.accepts_memory_grants {
            return 0.0;
        }
        let estimated = request.query.memory_mb.map(|estimate| {
            let corrected = correct(&self.memory_estimates, estimate);
            (corrected.median + GRANT_STANDARD_DEVIATIONS * corrected.variance.sqrt()).exp()
        });
        let needed = request.required_memory_mb.or(estimated);
        needed.map_or(0.0, |memory_mb| memory_mb.min(limit_mb))
    }

    /// Updates the estimates from an answer that took `latency` ms, and returns the latency as
    /// recorded.
    ///
    /// If answers do not report their work, it is inferred from the latency of an `undisturbed`
    /// attempt.
    pub(crate) fn record_answer(
        &mut self,
        query: &Query,
        answer: &Ended,
        latency: Millis,
        undisturbed: bool,
    ) -> Millis {
        let expected_work = self.work(query);
        let latency = latency.max(MIN_LATENCY);
        let work = positive(answer.work);
        self.latency.add(latency, CLASS_RETENTION);
        if work.is_some() || undisturbed {
            let sample = work.unwrap_or(latency * self.threads);
            self.work.add(sample, CLASS_RETENTION);
        }
        let pace = (latency * self.threads / expected_work).ln();
        self.pace.add(pace, CLASS_RETENTION);
        if let (Some(actual), Some(estimate)) = (work, query.work) {
            self.work_estimates
                .add(estimate.ln(), actual.ln(), CLASS_RETENTION);
        }
        if let (Some(actual), Some(estimate)) = (positive(answer.memory_mb), query.memory_mb) {
            self.memory_estimates
                .add(estimate.ln(), actual.ln(), CLASS_RETENTION);
        }
        latency
    }
}

/// Corrects an estimate by the answers so far, with a shrunken regression of logarithms.
///
/// An estimate that varies more than the actual values is drawn to the mean; otherwise half of its
/// queries would spill to disk. The correction guards against rough and biased estimates. Its cost
/// is that a rare query far from its class's mean is drawn to the mean too.
fn correct(history: &DecayingRegression, estimate: f64) -> LogEstimate {
    let samples = history.weight();
    if samples < TRUSTED_WEIGHT {
        return LogEstimate {
            median: estimate.ln(),
            variance: PRIOR_LOG_VARIANCE,
        };
    }
    let moments = history.moments();
    let prior = TRUSTED_WEIGHT / samples;
    let prior_variance = prior * (moments.variance_x + PRIOR_LOG_VARIANCE);
    let slope = (moments.covariance + prior_variance) / (moments.variance_x + prior_variance);
    let slope = slope.clamp(0.0, 1.0);
    let residual =
        moments.variance_y - 2.0 * slope * moments.covariance + slope * slope * moments.variance_x;
    let residual = residual.max(0.0);
    LogEstimate {
        median: moments.mean_y + slope * (estimate.ln() - moments.mean_x),
        variance: (residual + prior * PRIOR_LOG_VARIANCE) / (1.0 + prior),
    }
}
