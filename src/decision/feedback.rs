//! Integral feedback control for proportional slowdown differentiation: allocates threads to the
//! classes and dispatches queued requests in the order that follows from the allocation. The formulas
//! (2) to (4) are those of the paper on this controller.

use super::controller::Controller;
use super::model::{ClassId, class::ClassState};

/// Control factor g of formula (3), with the value from the paper.
const CONTROL_FACTOR: f64 = 1.0;

/// Lower bound of the inverse rate, as a fraction of the inverse prediction. It keeps one class from
/// getting nearly all threads.
const MIN_INVERSE_RATE: f64 = 0.1;

/// Maximum number of requests of a queue that are tried in one go, and of random draws for them.
const QUEUE_SCAN_LIMIT: usize = 16;

/// Minimum number of requests of a queue that are tried when there are thousands of engines, each of
/// which is examined for each request.
const MIN_QUEUE_SCAN: usize = 2;

/// Random draws of an engine for each request, since the random admission of an engine that is
/// warming up rejects most requests.
const DRAWS_PER_REQUEST: usize = 3;

/// Maximum number of engines examined for the requests of one queue in one go. Without this bound the
/// work for one event grows with the product of engines and queued requests, and a dispatcher with
/// thousands of engines misses its deadlines.
const ENGINE_SCAN_LIMIT: usize = 4096;

/// Returns how many requests of a queue are tried when `engines` engines have capacity.
fn queue_scan_limit(engines: usize) -> usize {
    (ENGINE_SCAN_LIMIT / engines.max(1)).clamp(MIN_QUEUE_SCAN, QUEUE_SCAN_LIMIT)
}

impl Controller {
    /// Ends a sampling period, and allocates threads to the classes by their arrivals and slowdowns.
    pub(super) fn sample(&mut self) {
        let predictions = self.state.predict_loads();
        self.integrate_slowdown_errors();
        let classes = &mut self.state.classes;
        let class_predictions = classes.iter().zip(predictions);
        let inverse_rates: Vec<f64> = class_predictions.map(inverse_rate).collect();
        let sum: f64 = inverse_rates.iter().map(|rate| 1.0 / rate).sum();
        for (class, inverse_rate) in classes.iter_mut().zip(&inverse_rates) {
            class.allocation = 1.0 / (inverse_rate * sum);
            class.begin_period();
        }
        for engine in self.state.engines.iter_mut() {
            engine.budget_rounding = self.rng.rand_float();
            engine.decay_failures();
        }
    }

    /// Adds δ(i)/δ(1) − S(i)/S(1) to the error sum of each class, with δ = 1/weight: formula (2).
    /// Slowdowns are comparable only over a period in which all classes were backlogged. Class 1 of
    /// the formula is the first class with the greatest weight.
    fn integrate_slowdown_errors(&mut self) {
        let classes = &mut self.state.classes;
        let weight = |class: &ClassState| class.settings.priority_weight;
        let greatest = classes.iter().map(weight).fold(0.0, f64::max);
        let reference = classes.iter().find(|class| weight(class) == greatest);
        let reference_slowdown = reference.map_or(0.0, |class| class.period.mean_slowdown());
        let all_backlogged = classes.iter().all(|class| class.period.is_backlogged);
        if all_backlogged && reference_slowdown > 0.0 {
            for class in classes {
                let target = greatest / weight(class);
                class.error_sum += target - class.period.mean_slowdown() / reference_slowdown;
            }
        }
    }

    /// Starts queued requests as long as one can start: first those of classes below their
    /// allocation, then those of any class.
    pub(super) fn dispatch_queued(&mut self) {
        if self
            .state
            .classes
            .iter()
            .all(|class| class.queue.is_empty())
        {
            return;
        }
        self.open_window();
        let order = self.state.classes_by_weight_per_work();
        let total = self.state.engines.thread_budget();
        let total = total.min(self.state.window.threads());
        let mut threads = self.state.threads_by_class();
        while let Some(class) = self.dispatch_next(&order, total, &threads) {
            threads[class] += self.state.classes[class].settings.threads;
        }
    }

    /// Starts one queued request and returns its class. `threads` holds the threads in use by each
    /// class, out of `total`.
    fn dispatch_next(&mut self, order: &[ClassId], total: f64, threads: &[f64]) -> Option<ClassId> {
        for below_allocation in [true, false] {
            let mut higher_ranked_threads = 0.0;
            for &class in order {
                let state = &self.state.classes[class];
                let is_below = threads[class] < state.allocation * total;
                higher_ranked_threads += threads[class];
                // Threads of lower-ranked classes do not count against a higher-ranked one, else one
                // query with many threads would block the window for all. Where memory is
                // overcommitted they count, since there each further query slows down all others.
                let competing_threads = match self.state.settings.engines.overcommits_memory {
                    true => threads.iter().sum(),
                    false => higher_ranked_threads,
                };
                let fits =
                    competing_threads + state.settings.threads <= self.state.window.threads();
                if is_below == below_allocation && fits && self.dispatch_from(class) {
                    return Some(class);
                }
            }
        }
        None
    }

    /// Returns whether queued requests have to be examined although no engine in service has
    /// capacity: requests may wait for probes of engines that have gone out of service since, and have
    /// to schedule probes of other engines.
    fn must_recheck_probing_requests(&self, class: ClassId) -> bool {
        let threads = self.state.classes[class].settings.threads;
        let mut engines = self.state.engines.indices();
        self.state.settings.limits.probes
            && engines.any(|engine| self.has_capacity(engine, threads))
    }

    /// Starts one of the first requests in the queue of a class, if an engine can take it. Returns
    /// whether a request was started.
    fn dispatch_from(&mut self, class: ClassId) -> bool {
        let with_capacity = self.engines_with_capacity(class);
        if with_capacity.is_empty() && !self.must_recheck_probing_requests(class) {
            return false;
        }
        let scan_limit = queue_scan_limit(with_capacity.len());
        let queued = self.state.classes[class].queue.len();
        let mut draws = 0..(DRAWS_PER_REQUEST * scan_limit).min(QUEUE_SCAN_LIMIT);
        for position in 0..queued.min(scan_limit) {
            let id = self.state.classes[class].queue[position];
            let request = self.state.requests.get(&id);
            if request.is_some_and(|request| self.exceeds_overload_cost_limit(&request.query)) {
                continue;
            }
            // An engine that is warming up admits the request by a random sample. If it does not,
            // another engine is drawn.
            while let Some(engine) = draws
                .next()
                .and_then(|_| self.select_engine(id, &with_capacity))
            {
                if self.start_attempt(id, engine) {
                    self.state.classes[class].queue.remove(position);
                    return true;
                }
            }
        }
        false
    }
}

/// Returns u(i) of formula (3): the inverse of the prediction, corrected by the integral of the
/// slowdown errors.
fn inverse_rate((class, prediction): (&ClassState, f64)) -> f64 {
    let corrected = 1.0 / prediction + CONTROL_FACTOR * class.error_sum;
    corrected.max(MIN_INVERSE_RATE / prediction)
}
