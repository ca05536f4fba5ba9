//! Choice of an engine for an attempt: takes the first few usable engines in this dispatcher's own
//! order, draws two of them at random, and chooses the less loaded one.

use super::admission::LOW_UTILIZATION;
use super::controller::Controller;
use super::model::utilization::FULL_UTILIZATION;
use super::model::{Action, ClassId, Millis, QueryId, endpoint_list::EngineIndex};
use super::model::{request::PendingRequest, request::Probing, selection::smallest_by_key};

/// Number of engines from which the two candidates of a query are drawn.
pub(super) const CHOICE_SIZE: usize = 4;

/// Maximum number of engines that one decision examines closely. In a larger fleet these are the
/// first engines with capacity in the dispatcher's own order, so that a decision costs no more with
/// thousands of engines than with a hundred.
pub(super) const CANDIDATE_LIMIT: usize = 128;

/// Maximum time that a query waits for the probes of its candidates, ms: a few round trips.
const PROBE_TIMEOUT: Millis = 25.0;

/// Time after which other engines are probed when no probed candidate has capacity, ms.
const PROBE_PAUSE: Millis = 200.0;

/// Cross-zone cost that is accepted for a better engine, as a fraction of the class's priority weight.
const NEGLIGIBLE_COST_FRACTION: f64 = 0.03;

/// Fraction of its spare time that a bulk load waits for an engine of its half of the fleet.
const AFFINITY_WAIT_FRACTION: f64 = 0.7;

/// Time for which a reported table lock of a bulk load keeps other queries away from the engine, ms.
pub(super) const TABLE_LOCK_TTL: Millis = 1000.0;

impl Controller {
    /// Draws two random engines from those `with_capacity` for the request's class, and returns the
    /// one with less work of this dispatcher. If both have the same amount, returns the less utilized
    /// one by a fresh load report, and probes the engines first that have none. Returns `None` if the
    /// request has to wait.
    pub(super) fn select_engine(
        &mut self,
        id: QueryId,
        with_capacity: &[EngineIndex],
    ) -> Option<EngineIndex> {
        let request = self.state.requests.get(&id)?;
        if let Probing::Waiting(probes) = &request.probing {
            if self.state.now < probes.until && !self.state.engines.have_reported(probes) {
                return None;
            }
            let mut candidates = probes.candidates.clone();
            candidates.retain(|&engine| self.is_usable(request, engine));
            if candidates.is_empty() {
                self.state.pause_probing(id, PROBE_PAUSE);
            }
            return self.less_loaded(&candidates);
        }
        let candidates = self.candidates(request, with_capacity)?;
        let pair = self.sample_pair(&candidates);
        if self.should_probe(id, &pair) {
            self.probe(id, pair);
            return None;
        }
        self.less_loaded(&pair)
    }

    /// Returns the engines in service that have capacity for a query of this class. In a large fleet,
    /// returns only preferred ones, if there are any.
    pub(super) fn engines_with_capacity(&self, class: ClassId) -> Vec<EngineIndex> {
        let class = &self.state.classes[class].settings;
        let ready = self.state.engines.ready_indices();
        let has_capacity = |engine: &EngineIndex| self.has_capacity(*engine, class.threads);
        if ready.len() > CANDIDATE_LIMIT {
            let state = &self.state;
            let rules = &state.settings.rules;
            let in_preference_order = state.engines.in_preference_order(
                state.settings.zone,
                self.rank_salt,
                state.now - rules.warm_up_period - rules.overload_window,
                CANDIDATE_LIMIT / 2,
            );
            let is_preferred = |index: &EngineIndex| {
                let engine = &self.state.engines[*index];
                class.allows(engine.zone, engine.kind) && !self.is_outlier(*index)
            };
            let preferred =
                in_preference_order.filter(|engine| is_preferred(engine) && has_capacity(engine));
            let preferred: Vec<EngineIndex> = preferred.take(CANDIDATE_LIMIT).collect();
            if !preferred.is_empty() {
                return preferred;
            }
        }
        ready.iter().copied().filter(has_capacity).collect()
    }

    fn usable_engines(&self, request: &PendingRequest) -> Vec<EngineIndex> {
        let ready = self.state.engines.ready_indices().iter().copied();
        ready
            .filter(|&engine| self.is_usable(request, engine))
            .collect()
    }

    fn is_usable(&self, request: &PendingRequest, engine: EngineIndex) -> bool {
        let threads = self.state.class(&request.query).settings.threads;
        self.has_capacity(engine, threads) && self.may_send(request, engine)
    }

    /// Draws two different engines at random, or returns the only one.
    fn sample_pair(&mut self, candidates: &[EngineIndex]) -> Vec<EngineIndex> {
        let count = candidates.len() as u64;
        let first = self.rng.rand_range(0..count) as usize;
        let mut pair = vec![candidates[first]];
        if count > 1 {
            let distance = 1 + self.rng.rand_range(0..count - 1) as usize;
            pair.push(candidates[(first + distance) % candidates.len()]);
        }
        pair
    }

    /// Returns the engines, at least one, from which two are drawn, or `None` if the request has to
    /// wait.
    fn candidates(
        &self,
        request: &PendingRequest,
        with_capacity: &[EngineIndex],
    ) -> Option<Vec<EngineIndex>> {
        let state = &self.state;
        if !self.may_send_now(request) {
            return None;
        }
        let mut candidates = match request.may_repeat_only_near_first_attempt() {
            // The few engines that qualify may not be among the preferred ones.
            true => self.usable_engines(request),
            false => with_capacity.to_vec(),
        };
        // While probing is paused, only engines with a fresh load report are considered.
        if request.is_probing_paused(state.now) {
            candidates.retain(|&engine| state.has_fresh_report(engine));
        }
        candidates.retain(|&engine| self.may_send_to(request, engine));
        self.remove_outliers(request, &mut candidates);
        retain_preferred(&mut candidates, |engine| !request.has_tried(engine));
        retain_preferred(&mut candidates, |engine| {
            state.has_memory_for(request, engine)
        });
        self.apply_table_affinity(request, &mut candidates)?;
        let candidates = self.preferred_candidates(request, candidates);
        let candidates = self.up_to_median_load(candidates);
        (!candidates.is_empty()).then_some(candidates)
    }

    /// Removes the outliers while another engine is healthy, even if no candidate remains: an engine
    /// that fails fast always has capacity and would attract the attempts of all queries.
    fn remove_outliers(&self, request: &PendingRequest, candidates: &mut Vec<EngineIndex>) {
        let is_healthy = |engine: &EngineIndex| !self.is_outlier(*engine);
        if candidates.iter().all(is_healthy) {
            return;
        }
        let mut ready = self.state.engines.ready_indices().iter();
        if ready.any(|engine| is_healthy(engine) && self.may_send(request, *engine)) {
            candidates.retain(is_healthy);
        }
    }

    /// Keeps the candidates that the table group of the query prefers: bulk loads of a group prefer
    /// one half of the engines, and readers of the group the other half. The halves follow from the
    /// ranks of the engines, so that all dispatchers agree on them without communication. A group
    /// gets half of the engines because a group with many queries that had one engine of six to
    /// itself lost an eighth of its loads. The cost is that the choice is halved. Returns `None` if a
    /// load has to wait, since readers would stall behind it on the other engines.
    fn apply_table_affinity(
        &self,
        request: &PendingRequest,
        candidates: &mut Vec<EngineIndex>,
    ) -> Option<()> {
        let engines = &self.state.engines;
        let class = self.state.class(&request.query);
        let is_load = class.settings.holds_tables;
        let has_affinity = is_load || class.settings.waits_for_loads;
        let Some(group) = request.query.tables.filter(|_| has_affinity) else {
            return Some(());
        };
        let middle = engines.median_rank(group);
        let is_in_half = |engine: EngineIndex| (engines[engine].rank(group) < middle) == is_load;
        // The lock may have ended by now: other queries get the capacity of that engine until the
        // record expires.
        let now = self.state.now;
        let is_locked = |e: EngineIndex| engines[e].is_table_locked(now, TABLE_LOCK_TTL, group);
        let wait_until =
            request.arrived_at + AFFINITY_WAIT_FRACTION * class.cost.spare_time(request);
        let stalls = self.state.utilization.has_stalling_classes();
        let is_best = |&engine: &EngineIndex| is_in_half(engine) && !is_locked(engine);
        if is_load && stalls && now < wait_until && !candidates.iter().any(is_best) {
            return None;
        }
        retain_preferred(candidates, |engine| !is_locked(engine));
        retain_preferred(candidates, is_in_half);
        Some(())
    }

    /// Returns the first few candidates in the dispatcher's own order. It prefers engines of its own
    /// zone, where that matters; engines that are warming up, since they stay idle if their random
    /// admissions are not used; and engines that have responded before, to keep connections few. The
    /// cost is a smaller choice.
    fn preferred_candidates(
        &self,
        request: &PendingRequest,
        candidates: Vec<EngineIndex>,
    ) -> Vec<EngineIndex> {
        let prefers_zone = self.prefers_own_zone(request);
        smallest_by_key(candidates, CHOICE_SIZE, |index| {
            let engine = &self.state.engines[index];
            let is_remote = prefers_zone && engine.zone != self.state.settings.zone;
            let is_warmed_up = !self.is_warming_up(engine);
            let is_unknown = engine.last_response == f64::MIN;
            (
                is_remote,
                is_warmed_up,
                is_unknown,
                engine.rank(self.rank_salt),
            )
        })
    }

    /// Returns whether engines of the dispatcher's own zone are preferred. They are not if the
    /// cross-zone cost is small compared with the priority weight of the query, or if the own zone is
    /// full and another is not, as after the loss of racks.
    fn prefers_own_zone(&self, request: &PendingRequest) -> bool {
        let state = &self.state;
        let crossing_cost =
            state.settings.cross_zone_cost * state.mean_priority_weight.mean_or(0.0);
        let weight = state.class(&request.query).settings.priority_weight;
        let limit = state.lowest_zone_utilization().max(FULL_UTILIZATION);
        crossing_cost > NEGLIGIBLE_COST_FRACTION * weight
            && state.utilization.zone(state.settings.zone) <= limit
    }

    /// Keeps the candidates with no more attempts of this dispatcher in flight than the median, since
    /// two random ones of all candidates would often be the busiest.
    fn up_to_median_load(&self, mut candidates: Vec<EngineIndex>) -> Vec<EngineIndex> {
        let in_flight = |engine: EngineIndex| self.state.engines[engine].in_flight.len();
        let mut counts: Vec<usize> = candidates.iter().map(|&engine| in_flight(engine)).collect();
        counts.sort_unstable();
        let middle = counts.len().saturating_sub(1) / 2;
        candidates.retain(|&engine| in_flight(engine) <= counts[middle]);
        candidates
    }

    /// Returns the first or the last candidate, whichever has less work of this dispatcher, or the less
    /// utilized one if both have the same. The failure rate is added to the utilization, since an
    /// engine that fails its queries is idle for that very reason.
    fn less_loaded(&self, candidates: &[EngineIndex]) -> Option<EngineIndex> {
        let first = *candidates.first()?;
        let last = *candidates.last()?;
        let work = |engine: EngineIndex| self.state.engines[engine].work_per_core();
        let utilization = |engine: EngineIndex| {
            let failure_rate = self.state.engines[engine].failure_rate();
            self.state.utilization_or(engine, FULL_UTILIZATION) + failure_rate
        };
        let is_last_better = match work(first) == work(last) {
            true => utilization(last) < utilization(first),
            false => work(last) < work(first),
        };
        Some(if is_last_better { last } else { first })
    }

    /// Returns whether the engines should be probed: neither this dispatcher's own attempts nor fresh
    /// load reports distinguish them, and they may be loaded.
    fn should_probe(&self, id: QueryId, pair: &[EngineIndex]) -> bool {
        let state = &self.state;
        let request = &state.requests[&id];
        let threads = state.class(&request.query).settings.threads;
        let work = |&engine: &EngineIndex| state.engines[engine].work_per_core();
        state.settings.limits.probes
            && pair.iter().all(|engine| work(engine) == work(&pair[0]))
            && !request.is_probing_paused(state.now)
            && state.engines[pair[0]].is_budget_fractional(threads)
            && !pair.iter().all(|&engine| state.has_fresh_report(engine))
            && !self.is_utilization_low()
    }

    /// Returns whether the least utilized zone is known to have a low utilization, so that probes are
    /// not needed. Load reports do not show this where readers stall behind bulk loads.
    fn is_utilization_low(&self) -> bool {
        let utilization = &self.state.utilization;
        !utilization.has_stalling_classes()
            && utilization.known_zones().next().is_some()
            && self.state.lowest_zone_utilization() < LOW_UTILIZATION
    }

    /// Probes the candidates without a fresh load report, and lets the request wait for the reports.
    fn probe(&mut self, id: QueryId, candidates: Vec<EngineIndex>) {
        for &engine in &candidates {
            if !self.state.has_fresh_report(engine) {
                let probe = Action::probe(&self.state.engines[engine].name);
                self.actions.push(probe);
            }
        }
        self.state.await_probes(id, candidates, PROBE_TIMEOUT);
    }
}

/// Keeps only the preferred candidates, if there are any.
fn retain_preferred(candidates: &mut Vec<EngineIndex>, is_preferred: impl Fn(EngineIndex) -> bool) {
    if candidates.iter().any(|&engine| is_preferred(engine)) {
        candidates.retain(|&engine| is_preferred(engine));
    }
}
