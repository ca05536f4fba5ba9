//! Restarts, signals and faults of the machine, and what the processes tell of themselves.

use super::*;

impl World {
    /// Dispatchers are restarted, killed, told of configurations in a row, and stopped for a moment.
    pub(super) async fn signals(self: Rc<Self>, mut random: Stream) {
        loop {
            random.pause(600.0).await;
            let node = self.nodes[random.below(self.nodes.len())].clone();
            if node.is_busy.replace(true) {
                continue;
            }
            match random.below(5) {
                0 | 1 => {
                    self.count("planned restart");
                    let world = self.clone();
                    let is_told_before = random.chance(0.3);
                    spawn_local(async move {
                        if is_told_before {
                            signal(&node, "HUP").await;
                        }
                        world.clone().stop(node.clone()).await;
                        world.start_again(&node).await;
                    });
                }
                2 => {
                    self.count("kill");
                    let world = self.clone();
                    spawn_local(async move {
                        world.kill(&node).await;
                        world.start_again(&node).await;
                    });
                }
                3 => {
                    self.count("reload");
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
                    self.count("pause");
                    let span = random.between(20.0, 250.0);
                    // A task of its own: what is stopped is always continued.
                    spawn_local(async move {
                        let id = node.process_id();
                        send_signal(id, "STOP").await;
                        tokio::time::sleep(Duration::from_secs_f64(span / 1000.0)).await;
                        send_signal(id, "CONT").await;
                        node.is_busy.set(false);
                    });
                }
            }
        }
    }

    /// Wall clocks are stepped, and system calls fail for a moment.
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
            self.count("clock step");
            if faults.call_failures_per_million == 0 {
                continue;
            }
            self.count("failing system calls");
            spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(500)).await;
                let calm = Faults {
                    call_failures_per_million: 0,
                    ..faults
                };
                if let Some(dispatcher) = node.dispatcher.borrow().as_ref() {
                    let _ = dispatcher.set_faults(calm);
                }
            });
        }
    }

    /// SIGTERM, and SIGKILL at the earliest that the operators allow.
    pub(super) async fn stop(self: Rc<Self>, node: Rc<Node>) {
        node.is_busy.set(true);
        signal(&node, "TERM").await;
        // A second one, and a configuration, change nothing any more.
        tokio::time::sleep(KILL_AFTER / 4).await;
        signal(&node, "HUP").await;
        signal(&node, "TERM").await;
        tokio::time::sleep(KILL_AFTER * 3 / 4).await;
        let process = node.dispatcher.borrow_mut().take();
        let Some(mut process) = process else {
            return;
        };
        let ended = process.wait(Duration::from_millis(1)).await;
        if ended.is_some_and(|status| !status.success()) {
            self.note_crash(&node, &process, ended);
        }
        self.count_logged(&process);
        process.kill().await;
        self.keep_log(&node, &process);
        node.process.set(node.process.get() + 1);
    }

    async fn kill(&self, node: &Node) {
        let process = node.dispatcher.borrow_mut().take();
        let Some(mut process) = process else {
            return;
        };
        let ended = process.wait(Duration::from_millis(1)).await;
        if ended.is_some() {
            self.note_crash(node, &process, ended);
        }
        process.kill().await;
        self.keep_log(node, &process);
        self.records.borrow_mut().process_ends.push(ProcessEnd {
            dispatcher: node.rank,
            process: node.process.get(),
            killed_at: Some(Instant::now()),
        });
        node.process.set(node.process.get() + 1);
    }

    async fn start_again(&self, node: &Node) {
        if let Err(error) = self.start_process(node).await {
            let text = format!("n{} does not start again: {error}", node.rank);
            self.crashes.borrow_mut().push(text);
        }
        node.is_busy.set(false);
    }

    /// Starts the next process of a dispatcher, at the address that the first was given.
    pub(super) async fn start_process(&self, node: &Node) -> Result<(), ProgramError> {
        let config = self.settings.file(
            node.rank,
            node.address.get(),
            self.journal.address(),
            &self.journal.known(),
        );
        let name = format!("n{}", node.rank);
        let shim = Some((&self.shim, Faults::default()));
        let started = Dispatcher::start(&self.binary, &self.folder, &name, &config, shim).await?;
        node.address.set(started.address);
        *node.dispatcher.borrow_mut() = Some(started);
        Ok(())
    }

    /// Waits until no dispatcher is being restarted, for ten seconds at most.
    pub(super) async fn until_nodes_rest(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while self.nodes.iter().any(|node| node.is_busy.get()) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Counts the invariants that a process has logged as broken.
    fn count_logged(&self, process: &Dispatcher) {
        for (_, line) in process.log() {
            if let Some((_, name)) = line.split_once("invariant broken: ") {
                let name = format!("logged {name}");
                *self.counted.borrow_mut().entry(name).or_default() += 1;
            }
        }
    }

    /// Keeps what a process has logged, for the case that it broke a rule.
    fn keep_log(&self, node: &Node, process: &Dispatcher) {
        let since = |at: Instant| at.saturating_duration_since(self.began).as_secs_f64();
        let now = since(Instant::now());
        let lines = process.log();
        let lines = lines
            .iter()
            .map(|(at, line)| format!("{:.3} {line}", since(*at)));
        let name = format!("n{}.{} ended by {now:.3}", node.rank, node.process.get());
        self.logs.borrow_mut().insert(name, lines.collect());
    }

    fn note_crash(
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

    /// What the dispatchers that live now have counted against themselves.
    pub(super) async fn collect_counted(&self) {
        for node in &self.nodes {
            let process = node.dispatcher.borrow_mut().take();
            let Some(process) = process else {
                continue;
            };
            let page = process.page("/_invariants").await.unwrap_or_default();
            *node.dispatcher.borrow_mut() = Some(process);
            let counts = page.lines().filter_map(|line| line.split_once('='));
            for (name, value) in counts.filter(|(name, _)| name.starts_with("violations.")) {
                let value: u64 = value.trim().parse().unwrap_or(0);
                *self.counted.borrow_mut().entry(name.into()).or_default() += value;
            }
        }
    }
}
