//! Restarts, signals and machine faults of dispatcher processes, and the violations that they report.

use super::*;

impl SoakRun {
    /// Restarts, kills, repeatedly reloads or briefly stops (SIGSTOP) dispatchers.
    pub(super) async fn signals(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(600.0).await;
            let node = self.nodes[random.below(self.nodes.len())].clone();
            if node.is_busy.replace(true) {
                continue;
            }
            match random.below(5) {
                0 | 1 => {
                    self.count_fault("planned restart");
                    let run = self.clone();
                    let reloads_first = random.chance(0.3);
                    spawn_local(async move {
                        if reloads_first {
                            signal(&node, "HUP").await;
                        }
                        run.clone().stop(node.clone()).await;
                        run.restart_process(&node).await;
                    });
                }
                2 => {
                    self.count_fault("kill");
                    let run = self.clone();
                    spawn_local(async move {
                        run.kill(&node).await;
                        run.restart_process(&node).await;
                    });
                }
                3 => {
                    self.count_fault("reload");
                    let times = 1 + random.below(5);
                    spawn_local(async move {
                        for _ in 0..times {
                            signal(&node, "HUP").await;
                            tokio::time::sleep(Duration::from_millis(30)).await;
                        }
                        node.is_busy.set(false);
                    });
                }
                _ => {
                    self.count_fault("pause");
                    let duration = random.between(20.0, 250.0);
                    // A separate task, so that a stopped process is continued even when this one is aborted.
                    spawn_local(async move {
                        let id = node.process_id();
                        send_signal(id, "STOP").await;
                        tokio::time::sleep(Duration::from_secs_f64(duration / 1000.0)).await;
                        send_signal(id, "CONT").await;
                        node.is_busy.set(false);
                    });
                }
            }
        }
    }

    /// Steps wall clocks, and lets system calls fail for 500 ms.
    pub(super) async fn machine_faults(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(700.0).await;
            let node = self.nodes[random.below(self.nodes.len())].clone();
            let faults = Faults {
                clock_offset_ms: Faults::CLOCK_STEPS_MS[random.below(Faults::CLOCK_STEPS_MS.len())],
                call_failures_per_million: if random.chance(0.5) { 20_000 } else { 0 },
            };
            if let Some(dispatcher) = node.dispatcher.borrow().as_ref() {
                let _ = dispatcher.set_faults(faults);
            }
            self.count_fault("clock step");
            if faults.call_failures_per_million == 0 {
                continue;
            }
            self.count_fault("failing system calls");
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let without_call_failures = Faults {
                    call_failures_per_million: 0,
                    ..faults
                };
                if let Some(dispatcher) = node.dispatcher.borrow().as_ref() {
                    let _ = dispatcher.set_faults(without_call_failures);
                }
            });
        }
    }

    /// Sends SIGTERM, then SIGKILL after the shortest delay that operators use.
    pub(super) async fn stop(self: Rc<Self>, node: Rc<Node>) {
        node.is_busy.set(true);
        if let Some(process) = node.dispatcher.borrow().as_ref() {
            self.check_memory(&node, process);
        }
        signal(&node, "TERM").await;
        // A second SIGTERM and a reload have no effect during the shutdown.
        tokio::time::sleep(SIGKILL_DELAY / 4).await;
        signal(&node, "HUP").await;
        signal(&node, "TERM").await;
        tokio::time::sleep(SIGKILL_DELAY * 3 / 4).await;
        let process = node.dispatcher.borrow_mut().take();
        let Some(mut process) = process else {
            return;
        };
        let status = process.wait_for_exit(Duration::from_millis(1)).await;
        if status.is_some_and(|status| !status.success()) {
            self.record_crash(&node, &process, status);
        }
        self.count_logged_violations(&process);
        process.kill().await;
        self.store_log(&node, &process);
        node.process.set(node.process.get() + 1);
    }

    /// Kills the dispatcher's process without a SIGTERM.
    async fn kill(&self, node: &Node) {
        let process = node.dispatcher.borrow_mut().take();
        let Some(mut process) = process else {
            return;
        };
        self.check_memory(node, &process);
        let status = process.wait_for_exit(Duration::from_millis(1)).await;
        if status.is_some() {
            self.record_crash(node, &process, status);
        }
        process.kill().await;
        self.store_log(node, &process);
        self.records.borrow_mut().process_ends.push(ProcessEnd {
            dispatcher: node.rank,
            process: node.process.get(),
            killed_at: Some(Instant::now()),
        });
        node.process.set(node.process.get() + 1);
    }

    async fn restart_process(&self, node: &Node) {
        if let Err(error) = self.start_process(node).await {
            let text = format!("n{} failed to restart: {error}", node.rank);
            self.crashes.borrow_mut().push(text);
        }
        node.is_busy.set(false);
    }

    /// Starts the next process of a dispatcher, at the address of its first process.
    pub(super) async fn start_process(&self, node: &Node) -> Result<(), ProgramError> {
        let config = self.settings.config_file(
            node.rank,
            node.address.get(),
            self.journal.address(),
            &self.journal.known_section(),
        );
        let name = format!("n{}", node.rank);
        let shim = Some((&self.shim, Faults::default()));
        let started = Dispatcher::start(&self.binary, &self.folder, &name, &config, shim).await?;
        node.address.set(started.address);
        *node.dispatcher.borrow_mut() = Some(started);
        Ok(())
    }

    /// Waits until no dispatcher is being restarted or signalled, for at most ten seconds.
    pub(super) async fn wait_for_idle_nodes(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while self.nodes.iter().any(|node| node.is_busy.get()) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Counts the broken invariants in the log of a process.
    fn count_logged_violations(&self, process: &Dispatcher) {
        for (_, line) in process.log() {
            if let Some((_, name)) = line.split_once("invariant broken: ") {
                let name = format!("logged {name}");
                *self
                    .reported_violations
                    .borrow_mut()
                    .entry(name)
                    .or_default() += 1;
            }
        }
    }

    /// Stores the log of a process, to be printed if the run has violations.
    fn store_log(&self, node: &Node, process: &Dispatcher) {
        let since = |at: Instant| at.saturating_duration_since(self.started_at).as_secs_f64();
        let now = since(Instant::now());
        let lines = process.log();
        let lines = lines
            .iter()
            .map(|(at, line)| format!("{:.3} {line}", since(*at)));
        let name = format!("n{}.{} ended by {now:.3}", node.rank, node.process.get());
        self.logs.borrow_mut().insert(name, lines.collect());
    }

    /// Records that a process exited by itself, with the last line of its log.
    fn record_crash(
        &self,
        node: &Node,
        process: &Dispatcher,
        status: Option<std::process::ExitStatus>,
    ) {
        let log = process.log();
        let last = log.last().map(|(_, line)| line.clone());
        let text = format!("n{}: {status:?} {last:?}", node.rank);
        self.crashes.borrow_mut().push(text);
    }

    /// Adds the violation counters (`/_invariants`) of the dispatchers that are running.
    pub(super) async fn collect_violation_counters(&self) {
        for node in &self.nodes {
            let process = node.dispatcher.borrow_mut().take();
            let Some(process) = process else {
                continue;
            };
            let page = process.fetch_page("/_invariants").await.unwrap_or_default();
            *node.dispatcher.borrow_mut() = Some(process);
            let counts = page.lines().filter_map(|line| line.split_once('='));
            for (name, value) in counts.filter(|(name, _)| name.starts_with("violations.")) {
                let value: u64 = value.trim().parse().unwrap_or(0);
                *self
                    .reported_violations
                    .borrow_mut()
                    .entry(name.into())
                    .or_default() += value;
            }
        }
    }
}
