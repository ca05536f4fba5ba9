//! The choice of an engine: of the first few usable ones in the dispatcher's own order two at
//! random, and of these the less loaded.

use super::admission::CALM_UTILIZATION;
use super::controller::Controller;
use super::model::utilization::FULL_UTILIZATION;
use super::model::{Action, ClassId, Millis, QueryId, endpoint_list::EngineIndex};
use super::model::{request::PendingRequest, request::Probing, selection::smallest_by_key};

/// Engines that a query chooses among.
pub(super) const CHOICE_SIZE: usize = 4;

/// Engines that one decision looks at closely. Of a larger fleet these are the first with
/// capacity in the dispatcher's own order, so that a decision costs no more before thousands of
/// engines than before a hundred.
pub(super) const CANDIDATE_LIMIT: usize = 128;

/// How long a query waits for the probes of its candidates, ms: a few round trips.
const PROBE_TIMEOUT: Millis = 25.0;

/// When no probed candidate has capacity, others are probed after this time, ms.
const PROBE_PAUSE: Millis = 200.0;

/// A cost below this part of a class's weight is paid for a better engine.
const NEGLIGIBLE_COST: f64 = 0.03;

/// Part of its spare time that a bulk load waits for an engine of its half.
const AFFINITY_PATIENCE: f64 = 0.7;

/// How long a report of a bulk load that locks tables keeps others away, ms.
pub(super) const TABLE_LOCK_TTL: Millis = 1000.0;

impl Controller {
    /// Of two random engines among those `with_capacity` for its class, the one with less
    /// work of this dispatcher. If both have equally much, the one less utilized by a fresh
    /// report, after a probe of both where there is none. `None`: the request waits.
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

    /// The engines in service that have capacity for a query of this class; of a large
    /// fleet the preferred ones.
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

    /// Two different engines at random, or the only one.
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

    /// The engines to choose among, at least one; `None`: the request waits.
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
            // Those few may not be among the preferred ones.
            true => self.usable_engines(request),
            false => with_capacity.to_vec(),
        };
        // Between two probes only engines that are known by a fresh report are considered.
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
        let candidates = self.first_choices(request, candidates);
        let candidates = self.up_to_median_load(candidates);
        (!candidates.is_empty()).then_some(candidates)
    }

    /// Removes outliers, even the last with capacity, while another engine is healthy: what fails
    /// fast has capacity for all, and would get the attempts of all.
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

    /// Bulk loads of a table group prefer one half of the engines, its readers the other: all
    /// dispatchers know the halves without communication. Halves by rank, since with one engine of
    /// six to itself a hot group lost an eighth of its loads. Cost: half the choice. `None`: a load
    /// waits, for readers would stall behind it elsewhere.
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
        // A lock may have ended by now: others get that engine's capacity for a while.
        let now = self.state.now;
        let is_locked = |e: EngineIndex| engines[e].is_table_locked(now, TABLE_LOCK_TTL, group);
        let wait_until = request.arrived_at + AFFINITY_PATIENCE * class.cost.spare_time(request);
        let stalls = self.state.utilization.has_stalling_classes();
        let is_best = |&engine: &EngineIndex| is_in_half(engine) && !is_locked(engine);
        if is_load && stalls && now < wait_until && !candidates.iter().any(is_best) {
            return None;
        }
        retain_preferred(candidates, |engine| !is_locked(engine));
        retain_preferred(candidates, is_in_half);
        Some(())
    }

    /// The first few candidates in the dispatcher's own order: its zone's, unless that does not
    /// matter; warming ones, for random admissions left unused leave them idle; those it knows, for
    /// few connections. Cost: less choice.
    fn first_choices(
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

    /// Not if crossing costs little of a query's weight, nor if the zone is full and another not
    /// (lost racks).
    fn prefers_own_zone(&self, request: &PendingRequest) -> bool {
        let state = &self.state;
        let crossing = state.settings.cross_zone_cost * state.mean_priority_weight.mean_or(0.0);
        let weight = state.class(&request.query).settings.priority_weight;
        let limit = state.lowest_zone_utilization().max(FULL_UTILIZATION);
        crossing > NEGLIGIBLE_COST * weight && state.utilization.zone(state.settings.zone) <= limit
    }

    /// Those with no more of our attempts than the median: two chosen blindly would often be the
    /// busiest.
    fn up_to_median_load(&self, mut candidates: Vec<EngineIndex>) -> Vec<EngineIndex> {
        let in_flight = |engine: EngineIndex| self.state.engines[engine].in_flight.len();
        let mut counts: Vec<usize> = candidates.iter().map(|&engine| in_flight(engine)).collect();
        counts.sort_unstable();
        let middle = counts.len().saturating_sub(1) / 2;
        candidates.retain(|&engine| in_flight(engine) <= counts[middle]);
        candidates
    }

    /// Of the first and the last candidate the one with less of our work, then the less utilized.
    /// An engine that fails its queries is empty for that reason: its failures count as
    /// utilization.
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

    /// Neither this dispatcher's own attempts nor reports tell the engines apart, and they may be
    /// loaded.
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
            && !self.is_calm()
    }

    /// Utilization is known to be low everywhere. No report shows that where readers stall behind
    /// bulk loads.
    fn is_calm(&self) -> bool {
        let utilization = &self.state.utilization;
        !utilization.has_stalling_classes()
            && utilization.known_zones().next().is_some()
            && self.state.lowest_zone_utilization() < CALM_UTILIZATION
    }

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

/// Keeps the candidates that pass, if any does.
fn retain_preferred(candidates: &mut Vec<EngineIndex>, is_preferred: impl Fn(EngineIndex) -> bool) {
    if candidates.iter().any(|&engine| is_preferred(engine)) {
        candidates.retain(|&engine| is_preferred(engine));
    }
}
