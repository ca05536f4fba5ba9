//! Integral feedback for proportional slowdown differentiation: the allocation of threads to
//! classes, and the order in which queued requests are dispatched by it. Formulas (2) to (4) are
//! those of the paper.

use super::controller::Controller;
use super::model::{ClassId, class::ClassState};

/// Control factor g of formula (3); the paper's value.
const CONTROL_FACTOR: f64 = 1.0;

/// The inverse rate stays at least this part of the inverse prediction: no class takes nearly all.
const MIN_INVERSE_RATE: f64 = 0.1;

/// Requests of a queue that are tried when the first cannot start, and random draws for them.
const QUEUE_SCAN_LIMIT: usize = 16;

/// The same before so many engines that each request costs a walk over thousands.
const MIN_QUEUE_SCAN: usize = 2;

/// Random draws for each of those: a warming engine rejects most.
const DRAWS_PER_REQUEST: usize = 3;

/// Engines that are looked at for the requests of one queue in one go. Without a bound the work
/// for one event grows with the product of both, and a dispatcher before thousands of engines
/// falls behind its deadlines.
const ENGINE_SCAN_LIMIT: usize = 4096;

/// Requests of a queue that are tried before so many engines with capacity.
fn queue_scan_limit(engines: usize) -> usize {
    (ENGINE_SCAN_LIMIT / engines.max(1)).clamp(MIN_QUEUE_SCAN, QUEUE_SCAN_LIMIT)
}

impl Controller {
    /// Ends a sampling period: allocates threads by what arrived and how the classes were slowed.
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

    /// Adds δ(i)/δ(1) − S(i)/S(1) to each class's error, with δ = 1/weight: formula (2). Slowdowns
    /// compare only over a period in which all classes were backlogged. Class 1 is the first of the
    /// greatest weight.
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

    /// Starts queued requests while any can: first of classes below their allocation, then of any.
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

    /// Starts one queued request and returns its class, given the threads that each class uses of
    /// `total`.
    fn dispatch_next(&mut self, order: &[ClassId], total: f64, threads: &[f64]) -> Option<ClassId> {
        for below_allocation in [true, false] {
            let mut better_classes = 0.0;
            for &class in order {
                let state = &self.state.classes[class];
                let is_below = threads[class] < state.allocation * total;
                better_classes += threads[class];
                // What lesser classes use does not count against a better one: one wide query would
                // shut the window for all. Where memory is overcommitted it does, for there one
                // more slows all.
                let competing = match self.state.settings.engines.overcommits_memory {
                    true => threads.iter().sum(),
                    false => better_classes,
                };
                let fits = competing + state.settings.threads <= self.state.window.threads();
                if is_below == below_allocation && fits && self.dispatch_from(class) {
                    return Some(class);
                }
            }
        }
        None
    }

    /// Requests may wait for probes, and only engines out of service have capacity: those
    /// requests are to be looked at, so that they probe others later.
    fn has_probed_in_vain(&self, class: ClassId) -> bool {
        let threads = self.state.classes[class].settings.threads;
        let mut engines = self.state.engines.indices();
        self.state.settings.limits.probes
            && engines.any(|engine| self.has_capacity(engine, threads))
    }

    /// Starts a request from the head of a class's queue, if any engine may take one.
    fn dispatch_from(&mut self, class: ClassId) -> bool {
        let with_capacity = self.engines_with_capacity(class);
        if with_capacity.is_empty() && !self.has_probed_in_vain(class) {
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
            // A warming engine admits it by a random sample; else another engine may.
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

/// u(i) of formula (3): the inverse of the prediction, corrected by the integral of the slowdown
/// errors.
fn inverse_rate((class, prediction): (&ClassState, f64)) -> f64 {
    let corrected = 1.0 / prediction + CONTROL_FACTOR * class.error_sum;
    corrected.max(MIN_INVERSE_RATE / prediction)
}
