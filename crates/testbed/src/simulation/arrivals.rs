//! Clients: arrivals, quotas, submission of requests, and the windows in which their priority weight is
//! counted.

use super::{ClientRequest, Event, Job, NewRequest, START_MS, Simulation, WINDOW_S, Waits, Window};

impl Simulation<'_> {
    /// Returns the time until the next arrival, in milliseconds. Arrivals are thinned from the peak rate, so
    /// that the shape of the load changes no draw of another stream.
    pub(super) fn interarrival_time(&mut self) -> f64 {
        let load = &self.scenario.load;
        let peak = load.per_s * load.peak_fraction();
        if peak <= 0.0 {
            return f64::MAX / 4.0;
        }
        let mut at = self.now;
        loop {
            at += self.arrivals.exponential(1000.0 / peak);
            let fraction = load.fraction_at((at - START_MS) / 1000.0) * load.per_s / peak;
            if self.arrivals.chance(fraction) || at > self.end {
                return at - self.now;
            }
        }
    }

    /// Handles the arrival of a new request.
    pub(super) fn arrive(&mut self) {
        let s = self.scenario;
        let shares: Vec<f64> = s.classes.iter().map(|c| c.share).collect();
        let class = self.mix.weighted(&shares);
        let tenants: Vec<f64> = s.tenants.iter().map(|t| t.share).collect();
        let tenant = if tenants.is_empty() {
            0
        } else {
            self.mix.weighted(&tenants)
        };
        let dispatcher = self.mix.below(self.dispatchers.len());
        let c = &s.classes[class];
        let mut work = self.sizes.lognormal(c.work_ms, c.sigma);
        let mut need_mb = self.sizes.lognormal(c.memory_mb, c.sigma * 0.7);
        let io = self.sizes.between(c.io[0], c.io[1]);
        let draw = self.sizes.unit();
        for (heavy_class, fraction, times) in &self.heavy_tails {
            if *heavy_class == class && draw < *fraction {
                (work, need_mb) = (work * times, need_mb * libm::sqrt(*times));
            }
        }
        let table_group = self.table_groups.weighted(&self.table_group_weights) as u64;
        let sigma = s.load.estimate_sigma;
        let (estimated_work, estimated_memory_mb) = (
            self.estimates.lognormal(work, sigma),
            self.estimates.lognormal(need_mb, sigma),
        );
        let patience = self.clients.between(0.8, 1.0);
        let disconnects = self.clients.chance(s.load.leave);
        let job = Job {
            work,
            threads: c.threads,
            io,
            need_mb,
            grant_mb: 0.0,
            table_group,
            holds_tables: c.holds_tables,
            waits_for_loads: c.waits_for_loads,
            sender: dispatcher as u32,
        };
        let over_quota = self.over_quota(tenant);
        let priority_weight = c.priority_weight * if over_quota { 0.05 } else { 1.0 };
        let latency_objective =
            c.latency_objective_ms + c.latency_objective_slowdown * work / c.threads;
        let deadline = self.now + c.deadline_ms * patience;
        self.report.requests += 1;
        self.report.classes[class].priority_weight.offered += priority_weight;
        self.report.tenants[tenant].1.offered += priority_weight;
        self.window().priority_weight.offered += priority_weight;
        let client_request = ClientRequest {
            dispatcher,
            class,
            tenant,
            job,
            estimated_work,
            estimated_memory_mb,
            first_tried_at: self.now,
            deadline,
            latency_objective,
            priority_weight,
            retries: 0,
            waits: Waits::default(),
            first_sent: None,
            lost_ms: 0.0,
            finished: false,
        };
        let request = self.submit_request(client_request);
        if disconnects && let Some(request) = request {
            let at = self.now + (deadline - self.now) / 2.0;
            self.schedule(
                at,
                Event::ClientDisconnect {
                    dispatcher,
                    request,
                },
            );
        }
    }

    /// Takes a token from the tenant's bucket; returns true if there was none.
    pub(super) fn over_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self
            .scenario
            .tenants
            .get(tenant)
            .and_then(|t| t.quota_per_s)
        else {
            return false;
        };
        let (tokens, at) = self.quota_buckets[tenant];
        let available = (tokens + quota * (self.now - at) / 1000.0).min((2.0 * quota).max(1.0));
        let within_quota = available >= 1.0;
        self.quota_buckets[tenant] = (available - f64::from(u8::from(within_quota)), self.now);
        !within_quota
    }

    /// Returns the window of a request's first try, in which its priority weight is counted.
    pub(super) fn window_of(&mut self, first_tried_at: f64) -> &mut Window {
        let n = ((first_tried_at - START_MS) / 1000.0 / WINDOW_S) as usize;
        while self.report.windows.len() <= n {
            let from_s = self.report.windows.len() as f64 * WINDOW_S;
            self.report.windows.push(Window {
                from_s,
                ..Window::default()
            });
        }
        &mut self.report.windows[n]
    }

    /// Returns the current window.
    pub(super) fn window(&mut self) -> &mut Window {
        self.window_of(self.now)
    }

    /// Sends a request of a client to its dispatcher; returns the identifier of the request if it is still
    /// open.
    pub(super) fn submit_request(&mut self, t: ClientRequest) -> Option<u64> {
        let g = t.dispatcher;
        let non_idempotent = self.scenario.classes[t.class].non_idempotent;
        let new = NewRequest {
            class: t.class,
            tenant: (!self.scenario.tenants.is_empty()).then_some(t.tenant),
            group: Some(t.job.table_group),
            deadline: t.deadline,
            work: Some(t.estimated_work),
            memory_mb: Some(t.estimated_memory_mb),
        };
        let deadline = t.deadline;
        // The core assigns the identifier and may answer at once, so the request is recorded before the
        // commands are carried out.
        let began = std::time::Instant::now();
        let request = self.dispatchers[g].decisions.open(self.now, new);
        self.report.decision_time_s += began.elapsed().as_secs_f64();
        self.report.decision_calls += 1;
        self.add_to_hash(1, g as u64, request);
        self.checker
            .request_opened((g, request), non_idempotent, deadline);
        self.dispatchers[g].open_requests.insert(request, t);
        self.carry_out(g);
        self.dispatchers[g]
            .open_requests
            .contains_key(&request)
            .then_some(request)
    }
}
