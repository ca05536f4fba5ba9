//! Clients: arrivals, retries of rejected requests, and the windows that their service is counted in.

use super::{ClientRequest, Event, Job, NewRequest, START_MS, Simulation, WINDOW_S, Waits, Window};

impl Simulation<'_> {
    /// Until the next arrival: thinned from the highest rate, so that a shape changes no other draw.
    pub(super) fn gap(&mut self) -> f64 {
        let load = &self.scenario.load;
        let most = load.per_s * load.most();
        if most <= 0.0 {
            return f64::MAX / 4.0;
        }
        let mut at = self.now;
        loop {
            at += self.arrivals.exponential(1000.0 / most);
            let part = load.part((at - START_MS) / 1000.0) * load.per_s / most;
            if self.arrivals.chance(part) || at > self.end {
                return at - self.now;
            }
        }
    }

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
        let gateway = self.mix.below(self.dispatchers.len());
        let c = &s.classes[class];
        let mut work = self.sizes.lognormal(c.work_ms, c.sigma);
        let mut need = self.sizes.lognormal(c.memory_mb, c.sigma * 0.7);
        let io = self.sizes.between(c.io[0], c.io[1]);
        let draw = self.sizes.unit();
        for (heavy, part, times) in &self.heavy {
            if *heavy == class && draw < *part {
                (work, need) = (work * times, need * libm::sqrt(*times));
            }
        }
        let table_group = self.areas.weighted(&self.area_weights) as u64;
        let sigma = s.load.estimate_sigma;
        let (told, told_mb) = (
            self.estimates.lognormal(work, sigma),
            self.estimates.lognormal(need, sigma),
        );
        let patience = self.clients.between(0.8, 1.0);
        let leaves = self.clients.chance(s.load.leave);
        let job = Job {
            work,
            threads: c.threads,
            io,
            need_mb: need,
            grant_mb: 0.0,
            table_group,
            holds_tables: c.holds_tables,
            waits_for_loads: c.waits_for_loads,
            sender: gateway as u32,
        };
        let over = self.over_quota(tenant);
        let priority_weight = c.priority_weight * if over { 0.05 } else { 1.0 };
        let latency_objective = c.aim_ms + c.latency_objective_slowdown * work / c.threads;
        let gives_up = self.now + c.deadline_ms * patience;
        self.day.requests += 1;
        self.day.classes[class].priority_weight.asked += priority_weight;
        self.day.tenants[tenant].1.asked += priority_weight;
        self.window().priority_weight.asked += priority_weight;
        let t = ClientRequest {
            gateway,
            class,
            tenant,
            job,
            work_told: told,
            memory_told: told_mb,
            born: self.now,
            gives_up,
            latency_objective,
            priority_weight,
            again: 0,
            waits: Waits::default(),
            first_sent: None,
            lost: 0.0,
            over: false,
        };
        let request = self.submit(t);
        if leaves && let Some(request) = request {
            let at = self.now + (gives_up - self.now) / 2.0;
            self.schedule(at, Event::Leave { gateway, request });
        }
    }

    pub(super) fn over_quota(&mut self, tenant: usize) -> bool {
        let Some(quota) = self
            .scenario
            .tenants
            .get(tenant)
            .and_then(|t| t.quota_per_s)
        else {
            return false;
        };
        let (tokens, at) = self.buckets[tenant];
        let grown = (tokens + quota * (self.now - at) / 1000.0).min((2.0 * quota).max(1.0));
        let there = grown >= 1.0;
        self.buckets[tenant] = (grown - f64::from(u8::from(there)), self.now);
        !there
    }

    /// The window of a request's first try, which its worth counts in.
    pub(super) fn window_of(&mut self, born: f64) -> &mut Window {
        let n = ((born - START_MS) / 1000.0 / WINDOW_S) as usize;
        while self.day.windows.len() <= n {
            let from_s = self.day.windows.len() as f64 * WINDOW_S;
            self.day.windows.push(Window {
                from_s,
                ..Window::default()
            });
        }
        &mut self.day.windows[n]
    }

    pub(super) fn window(&mut self) -> &mut Window {
        self.window_of(self.now)
    }

    /// A client asks its gateway.
    pub(super) fn submit(&mut self, t: ClientRequest) -> Option<u64> {
        let g = t.gateway;
        let fragile = self.scenario.classes[t.class].non_idempotent;
        let new = NewRequest {
            class: t.class,
            tenant: (!self.scenario.tenants.is_empty()).then_some(t.tenant),
            group: Some(t.job.table_group),
            deadline: t.gives_up,
            work: Some(t.work_told),
            memory_mb: Some(t.memory_told),
        };
        let gives_up = t.gives_up;
        // The core gives the request its number and may answer at once: it is known before its commands are
        // looked at.
        let began = std::time::Instant::now();
        let request = self.dispatchers[g].decisions.open(self.now, new);
        self.day.decided_s += began.elapsed().as_secs_f64();
        self.day.calls += 1;
        self.add_to_hash(1, g as u64, request);
        self.checker.request_opened((g, request), fragile, gives_up);
        self.dispatchers[g].open_requests.insert(request, t);
        self.carry_out(g);
        self.dispatchers[g]
            .open_requests
            .contains_key(&request)
            .then_some(request)
    }
}
