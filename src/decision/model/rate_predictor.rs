//! Prediction of the load of each class in the next sampling period, as a fraction of all threads.

use super::class::ClassState;
use super::state::State;
use super::timers::SAMPLING_PERIOD;

/// Lower bound on the predicted fraction of a class; it keeps the inverse finite when no query
/// arrived.
const MIN_PREDICTION: f64 = 1e-3;

impl State {
    /// Returns p(i) of formula (4): the load of each class in the last sampling period, plus a
    /// share of the unused threads in proportion to the class's weighted arrivals. Also updates the
    /// mean threads of a running query.
    pub(crate) fn predict_loads(&mut self) -> Vec<f64> {
        let total = self.engines.thread_budget();
        for class in &mut self.classes {
            class.update_service_time();
        }
        let load = |class: &ClassState| class.load(SAMPLING_PERIOD, total);
        let loads: Vec<f64> = self.classes.iter().map(load).collect();
        let load_sum: f64 = loads.iter().sum();
        self.update_threads_per_query(load_sum * total * SAMPLING_PERIOD);
        let surplus = (1.0 - load_sum).max(0.0);
        let arrivals: f64 = self.classes.iter().map(ClassState::weighted_arrivals).sum();
        let predict = |(class, load): (&ClassState, &f64)| {
            let part = match arrivals > 0.0 {
                true => class.weighted_arrivals() / arrivals,
                false => 0.0,
            };
            (load + part * surplus).max(MIN_PREDICTION)
        };
        self.classes.iter().zip(&loads).map(predict).collect()
    }

    /// Applies Little's law: the threads in use divided by the queries in service, both multiplied
    /// by the period.
    fn update_threads_per_query(&mut self, threads: f64) {
        let service_time = |class: &ClassState| class.period.arrivals * class.service_time;
        let queries: f64 = self.classes.iter().map(service_time).sum();
        self.utilization.update_threads_per_query(threads, queries);
    }
}
