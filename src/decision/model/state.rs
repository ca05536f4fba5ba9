//! The state of one dispatcher, and the methods that record what it learns about engines and load.

use super::aimd_limit::AimdLimit;
use super::class::ClassState;
use super::cost_estimator::CLASS_RETENTION;
use super::endpoint::Engine;
use super::endpoint_list::{EndpointList, EngineIndex};
use super::fleet_size::FleetSize;
use super::ordered_queue::OrderedQueues;
use super::process_count::ProcessCount;
use super::request::PendingRequest;
use super::retry_usage::RetryUsage;
use super::statistics::DecayingMean;
use super::timers::Timers;
use super::token_bucket::TokenBucket;
use super::utilization::{FULL_UTILIZATION, Utilization};
use super::{ClassId, EngineEntry, ListUpdate, Millis, Query, QueryId, Settings};
use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

/// Burst capacity of a tenant's token bucket, in seconds of its quota.
const QUOTA_BURST_SECONDS: f64 = 2.0;

/// The state of one dispatcher.
#[derive(Debug)]
pub(crate) struct State {
    /// The operator's settings.
    pub(crate) settings: Settings,
    /// The time of the current call, ms.
    pub(crate) now: Millis,
    /// The known engines.
    pub(crate) engines: EndpointList,
    /// Queries that have no final answer yet, or still have an attempt in flight.
    pub(crate) requests: BTreeMap<QueryId, PendingRequest>,
    /// The query classes, in the order of the settings.
    pub(crate) classes: Vec<ClassState>,
    /// Queues of the queries that have to run in order, by key.
    pub(crate) ordered_queues: OrderedQueues,
    /// The quota of each tenant, by its number.
    pub(crate) quotas: Vec<TokenBucket>,
    /// Recent arrivals and retries, for the retry budget.
    pub(crate) retry_usage: RetryUsage,
    /// Utilization of engines and zones.
    pub(crate) utilization: Utilization,
    /// Mean priority weight of recent queries.
    pub(crate) mean_priority_weight: DecayingMean,
    /// Mean expected work of recent queries, ms of one thread.
    pub(crate) mean_work: DecayingMean,
    /// Mean work of recent queries as it counts against the budget of an engine that is warming up,
    /// ms of one thread.
    pub(crate) mean_slow_start_work: DecayingMean,
    /// Congestion window: the limit on threads in flight at all engines together.
    pub(crate) window: AimdLimit,
    /// The number of processes that make the decisions of this dispatcher.
    pub(crate) processes: ProcessCount,
    /// The number of dispatchers that share the budget of an engine that is warming up.
    pub(crate) fleet_size: FleetSize,
    /// Times of the next wakeup, sampling period and subscription.
    pub(crate) timers: Timers,
    /// Number of times an engine that is warming up was sent more than this dispatcher's share of
    /// its budget.
    pub(crate) slow_start_overruns: u64,
}

impl State {
    /// Creates the state before the first event.
    pub(crate) fn new(settings: Settings) -> Self {
        let class_ids = 0..settings.classes.len();
        let dispatchers = f64::from(settings.dispatchers);
        let quotas = settings.tenants.iter().map(|tenant| {
            let rate_per_s = tenant.quota_per_s / dispatchers;
            TokenBucket::new(rate_per_s, QUOTA_BURST_SECONDS)
        });
        State {
            now: 0.0,
            engines: EndpointList::default(),
            requests: BTreeMap::new(),
            classes: class_ids
                .map(|class| ClassState::new(&settings, class))
                .collect(),
            ordered_queues: OrderedQueues::default(),
            quotas: quotas.collect(),
            retry_usage: RetryUsage::default(),
            utilization: Utilization::new(&settings),
            mean_priority_weight: DecayingMean::default(),
            mean_work: DecayingMean::default(),
            mean_slow_start_work: DecayingMean::default(),
            window: AimdLimit::default(),
            processes: ProcessCount::default(),
            fleet_size: FleetSize::new(settings.dispatchers),
            timers: Timers::default(),
            slow_start_overruns: 0,
            settings,
        }
    }

    /// Moves the clock forward; an earlier or non-finite time leaves it unchanged.
    pub(crate) fn advance_clock(&mut self, now: Millis) {
        if now.is_finite() {
            self.now = now.max(self.now);
        }
        self.timers.start(self.now);
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn apply_engine_list(&mut self, update: ListUpdate, entries: Vec<EngineEntry>) {
        let requests = &self.requests;
        let referenced: OnceCell<BTreeSet<EngineIndex>> = OnceCell::new();
        let is_referenced = |engine| {
            let referenced = referenced.get_or_init(|| {
                let requests = requests.values();
                requests.flat_map(PendingRequest::engines).collect()
            });
            referenced.contains(&engine)
        };
        self.engines
            .apply(update, entries, &self.settings, is_referenced);
    }

    /// Returns the class of a query.
    pub(crate) fn class(&self, query: &Query) -> &ClassState {
        &self.classes[query.class]
    }

    /// Returns the expected work of a query, ms of one thread.
    pub(crate) fn work(&self, query: &Query) -> f64 {
        self.class(query).cost.work(query)
    }

    /// Returns the threads that the attempts in flight of each class use at all engines.
    pub(crate) fn threads_by_class(&self) -> Vec<f64> {
        let mut threads = vec![0.0; self.classes.len()];
        for attempt in self.engines.in_flight() {
            threads[attempt.class] += attempt.threads;
        }
        threads
    }

    /// Returns the classes by priority weight per unit of work, highest first.
    pub(crate) fn classes_by_weight_per_work(&self) -> Vec<ClassId> {
        let weight_per_work = |class: ClassId| self.classes[class].weight_per_work();
        let mut order: Vec<ClassId> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| {
            weight_per_work(b)
                .total_cmp(&weight_per_work(a))
                .then(a.cmp(&b))
        });
        order
    }

    /// Returns the largest number of threads that a query of any class runs on, but at least
    /// `minimum`.
    pub(crate) fn max_query_threads_or(&self, minimum: f64) -> f64 {
        let threads = self.classes.iter().map(|class| class.settings.threads);
        threads.fold(minimum, f64::max)
    }

    /// Returns the sum of the threads of one query of each class.
    pub(crate) fn threads_of_one_query_per_class(&self) -> f64 {
        self.classes
            .iter()
            .map(|class| class.settings.threads)
            .sum()
    }

    /// Records an arriving query in the means over all queries and in the sampling period of its
    /// class.
    pub(crate) fn record_arrival(&mut self, query: &Query) {
        let class = &mut self.classes[query.class];
        class.period.arrivals += 1.0;
        let weight = class.settings.priority_weight;
        self.mean_priority_weight.add(weight, CLASS_RETENTION);
        self.mean_work.add(class.cost.work(query), CLASS_RETENTION);
        let slow_start_work = class.cost.slow_start_work(query);
        self.mean_slow_start_work
            .add(slow_start_work, CLASS_RETENTION);
    }

    /// Records that an engine responds. After a silence longer than `pause` ms its responsive
    /// period starts again.
    pub(crate) fn record_activity(&mut self, engine: EngineIndex, pause: Millis) {
        self.engines.record_activity(engine, self.now, pause);
    }

    /// Records a load report. Returns the engine's utilization, or `None` if the report is
    /// malformed.
    pub(crate) fn record_load_report(&mut self, index: EngineIndex, report: &[f64]) -> Option<f64> {
        let fields = &self.settings.report_fields;
        let engine = &mut self.engines[index];
        let is_well_formed = engine.load.decode(self.now, fields, report);
        is_well_formed.then(|| self.utilization_or(index, FULL_UTILIZATION))
    }

    /// Returns the utilization of an engine, or `default` if it is unknown.
    pub(crate) fn utilization_or(&self, engine: EngineIndex, default: f64) -> f64 {
        let observed = self.utilization.observed(&self.engines[engine], self.now);
        observed.unwrap_or(default)
    }

    /// Returns the lowest utilization among the zones with an engine in service; infinite if there
    /// is none.
    pub(crate) fn lowest_zone_utilization(&self) -> f64 {
        self.utilization.lowest_of_zones(&self.engines)
    }

    /// Returns whether the engine's last load report is recent enough to compare engines by it.
    pub(crate) fn has_fresh_report(&self, engine: EngineIndex) -> bool {
        self.engines[engine].load.is_fresh(self.now)
    }

    /// Returns the memory to request for an attempt at the engine, MB; 0 leaves the choice to the
    /// engine.
    pub(crate) fn memory_grant(&self, request: &PendingRequest, engine: EngineIndex) -> f64 {
        let cost = &self.class(&request.query).cost;
        cost.memory_grant(request, self.engines[engine].max_grant_mb)
    }

    /// Returns whether the engine has enough free memory to run the request without queueing it.
    pub(crate) fn has_memory_for(&self, request: &PendingRequest, engine: EngineIndex) -> bool {
        let granted_mb = self.memory_grant(request, engine);
        self.engines[engine].has_memory_for(self.now, granted_mb)
    }

    /// Returns how many queries of `work` ms each an engine that is warming up sustains in an
    /// overload window, given its capacity at the time `at`.
    pub(crate) fn sustainable_queries(
        &self,
        engine: &Engine,
        started: Millis,
        work: f64,
        at: Millis,
    ) -> f64 {
        let rules = &self.settings.rules;
        let capacity = engine.warm_up_capacity(rules, started, at);
        rules.overload_multiple * engine.cores * capacity * rules.overload_window / work
    }

    /// Records a query in the slow-start usage of an engine: `admission_probability` is 1 if the
    /// query was sent, else the probability with which the sample that rejected it would have
    /// admitted it.
    pub(crate) fn record_admission(
        &mut self,
        engine: EngineIndex,
        work: f64,
        admission_probability: f64,
    ) {
        let window = self.settings.rules.overload_window;
        let usage = &mut self.engines[engine].slow_start_usage;
        usage.record(self.now, window, work, admission_probability);
    }
}
