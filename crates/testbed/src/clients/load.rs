//! Load generator for a dispatcher: clients that send requests at a fixed rate through a third-party MySQL
//! driver, and a summary of every outcome.

use crate::now;
use hdrhistogram::Histogram;
use mysql_async::prelude::Queryable;
use mysql_async::{Conn, Opts, OptsBuilder};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Served,
    /// Error 3168: nothing was executed, or a retry is harmless.
    Refused,
    /// Error 1317: it may have been executed.
    Failed,
    /// Error 3024: the time limit was exceeded.
    Late,
    /// Another error of the server, or a lost connection: not a response that the dispatcher defines.
    Lost,
}

/// Outcomes and latencies of the requests of all clients.
#[derive(Default)]
pub struct LoadSummary {
    pub ends: RefCell<BTreeMap<End, u64>>,
    /// Latency in microseconds from the time at which a request was due, so that a wait for the previous
    /// request counts.
    latency: RefCell<Option<Histogram<u64>>>,
    /// Time in milliseconds on the Unix clock and error of the first 1000 requests that were not served.
    pub errors: RefCell<Vec<(f64, End, String)>>,
    next_number: Cell<u64>,
}

impl LoadSummary {
    fn record(&self, end: End, due: f64, text: Option<String>) {
        *self.ends.borrow_mut().entry(end).or_default() += 1;
        let mut latency = self.latency.borrow_mut();
        let bounds = || Histogram::new_with_bounds(1, 120_000_000, 3).ok();
        if let Some(h) = latency.take().or_else(bounds) {
            let mut h = h;
            let _ = h.record(((now() - due).max(0.0) * 1000.0) as u64 + 1);
            *latency = Some(h);
        }
        let mut errors = self.errors.borrow_mut();
        if let Some(text) = text
            && errors.len() < 1000
        {
            errors.push((now(), end, text));
        }
    }

    /// Returns the number of requests with this outcome.
    pub fn count(&self, end: End) -> u64 {
        self.ends.borrow().get(&end).copied().unwrap_or(0)
    }

    /// Returns the number of all requests.
    pub fn all(&self) -> u64 {
        self.ends.borrow().values().sum()
    }

    /// Returns this percentile of the latency, in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency
            .borrow()
            .as_ref()
            .map_or(0.0, |h| h.value_at_percentile(percent) as f64 / 1000.0)
    }
}

/// Load that the clients generate together.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub clients: usize,
    /// Interval between two requests of one client.
    pub gap: Duration,
    /// Every n-th request is a load, which must not run twice; 0 for no loads.
    pub loads: u64,
    /// Whether reads are prepared statements.
    pub prepared: bool,
}

/// Running clients. They are aborted when this is dropped.
pub struct Clients {
    pub summary: Rc<LoadSummary>,
    tasks: Vec<JoinHandle<()>>,
    stop: Rc<Cell<bool>>,
}

/// Returns connection options with which the driver sends no statements of its own.
pub fn opts(address: SocketAddr) -> Opts {
    OptsBuilder::default()
        .ip_or_hostname(address.ip().to_string())
        .tcp_port(address.port())
        .user(Some("guest"))
        .pass(Some("guest"))
        .prefer_socket(Some(false))
        .max_allowed_packet(Some(1 << 20))
        .wait_timeout(Some(600))
        .into()
}

impl Clients {
    /// Starts the clients of this load against a dispatcher.
    pub fn start(address: SocketAddr, load: Load) -> Self {
        let summary = Rc::new(LoadSummary::default());
        let stop = Rc::new(Cell::new(false));
        let tasks = (0..load.clients).map(|n| {
            let (summary, stop) = (summary.clone(), stop.clone());
            spawn_local(async move { run_client(n, address, load, &summary, &stop).await })
        });
        Clients {
            tasks: tasks.collect(),
            summary,
            stop,
        }
    }

    /// Stops the clients after the response to their last request, and returns their summary.
    pub async fn stop(mut self) -> Rc<LoadSummary> {
        self.stop.set(true);
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
        self.summary.clone()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn run_client(
    n: usize,
    address: SocketAddr,
    load: Load,
    summary: &LoadSummary,
    stop: &Cell<bool>,
) {
    let mut conn: Option<Conn> = None;
    // Spreads the clients over the interval, so that they do not send at the same time.
    let phase = load.gap.mul_f64(n as f64 / load.clients.max(1) as f64);
    let mut due = tokio::time::Instant::now() + phase;
    while !stop.get() {
        tokio::time::sleep_until(due).await;
        let delay = due.elapsed().as_secs_f64() * 1000.0;
        let due_at = now() - delay;
        due += load.gap;
        let number = summary.next_number.get();
        summary.next_number.set(number + 1);
        let c = match conn.take() {
            Some(c) => c,
            None => match Conn::new(opts(address)).await {
                Ok(c) => c,
                Err(e) => {
                    summary.record(End::Lost, due_at, Some(format!("log in: {e}")));
                    continue;
                }
            },
        };
        let is_load = load.loads > 0 && number % load.loads == load.loads - 1;
        let (c, result) = send_request(c, number, is_load, load.prepared).await;
        match result {
            Ok(()) => summary.record(End::Served, due_at, None),
            Err(e) => {
                let end = match &e {
                    mysql_async::Error::Server(s) => match s.code {
                        3168 => End::Refused,
                        1317 => End::Failed,
                        3024 => End::Late,
                        _ => End::Lost,
                    },
                    _ => End::Lost,
                };
                summary.record(end, due_at, Some(format!("{number}: {e}")));
            }
        }
        conn = c;
    }
    if let Some(c) = conn {
        let _ = c.disconnect().await;
    }
}

/// Sends one request. Returns the connection if it is still usable.
async fn send_request(
    mut c: Conn,
    number: u64,
    load: bool,
    prepared: bool,
) -> (Option<Conn>, mysql_async::Result<()>) {
    let result = match (load, prepared) {
        (true, _) => {
            c.query_drop(format!("insert into orders values ('load-{number}')"))
                .await
        }
        (false, false) => {
            c.query_drop(format!("select engine from stock where n = {number}"))
                .await
        }
        (false, true) => {
            c.exec_drop("select engine from stock where n = ?", (number,))
                .await
        }
    };
    let usable = matches!(&result, Ok(()) | Err(mysql_async::Error::Server(_)));
    (usable.then_some(c), result)
}
