//! Load on a dispatcher, with a driver that others wrote: clients that ask at a pace, and an account of every answer.

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
    /// 3168: nothing ran, or a repeat is harmless.
    Refused,
    /// 1317: it may have run.
    Failed,
    /// 3024.
    Late,
    /// Another error of the server, or a connection that broke off: no answer of the dispatcher's own.
    Lost,
}

/// What clients saw.
#[derive(Default)]
pub struct LoadSummary {
    pub ends: RefCell<BTreeMap<End, u64>>,
    /// Microseconds from the moment that a request was due, so that waiting for the one before counts.
    latency: RefCell<Option<Histogram<u64>>>,
    /// Moments in milliseconds, and texts, of what was not served; the first thousand.
    pub troubles: RefCell<Vec<(f64, End, String)>>,
    next: Cell<u64>,
}

impl LoadSummary {
    fn note(&self, end: End, due: f64, text: Option<String>) {
        *self.ends.borrow_mut().entry(end).or_default() += 1;
        let mut latency = self.latency.borrow_mut();
        let bounds = || Histogram::new_with_bounds(1, 120_000_000, 3).ok();
        if let Some(h) = latency.take().or_else(bounds) {
            let mut h = h;
            let _ = h.record(((now() - due).max(0.0) * 1000.0) as u64 + 1);
            *latency = Some(h);
        }
        let mut troubles = self.troubles.borrow_mut();
        if let Some(text) = text
            && troubles.len() < 1000
        {
            troubles.push((now(), end, text));
        }
    }

    pub fn count(&self, end: End) -> u64 {
        self.ends.borrow().get(&end).copied().unwrap_or(0)
    }

    pub fn all(&self) -> u64 {
        self.ends.borrow().values().sum()
    }

    /// Milliseconds within which this part of the requests was answered.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency
            .borrow()
            .as_ref()
            .map_or(0.0, |h| h.value_at_percentile(percent) as f64 / 1000.0)
    }
}

/// What clients ask.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub clients: usize,
    /// Between two requests of one client.
    pub gap: Duration,
    /// One request in so many is a load, which must not run twice; 0: none.
    pub loads: u64,
    /// Reads are prepared statements.
    pub prepared: bool,
}

/// Clients under way. They stop with the handle.
pub struct Clients {
    pub account: Rc<LoadSummary>,
    tasks: Vec<JoinHandle<()>>,
    stop: Rc<Cell<bool>>,
}

/// How a client logs in: nothing is asked of the server but what the client was told to ask.
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
    pub fn start(address: SocketAddr, load: Load) -> Self {
        let account = Rc::new(LoadSummary::default());
        let stop = Rc::new(Cell::new(false));
        let tasks = (0..load.clients).map(|n| {
            let (account, stop) = (account.clone(), stop.clone());
            spawn_local(async move { client(n, address, load, &account, &stop).await })
        });
        Clients {
            tasks: tasks.collect(),
            account,
            stop,
        }
    }

    /// Lets every client have its last answer.
    pub async fn stop(mut self) -> Rc<LoadSummary> {
        self.stop.set(true);
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
        self.account.clone()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn client(
    n: usize,
    address: SocketAddr,
    load: Load,
    account: &LoadSummary,
    stop: &Cell<bool>,
) {
    let mut conn: Option<Conn> = None;
    // Clients do not ask in step.
    let phase = load.gap.mul_f64(n as f64 / load.clients.max(1) as f64);
    let mut due = tokio::time::Instant::now() + phase;
    while !stop.get() {
        tokio::time::sleep_until(due).await;
        let late = due.elapsed().as_secs_f64() * 1000.0;
        let began = now() - late;
        due += load.gap;
        let number = account.next.get();
        account.next.set(number + 1);
        let c = match conn.take() {
            Some(c) => c,
            None => match Conn::new(opts(address)).await {
                Ok(c) => c,
                Err(e) => {
                    account.note(End::Lost, began, Some(format!("log in: {e}")));
                    continue;
                }
            },
        };
        let is_load = load.loads > 0 && number % load.loads == load.loads - 1;
        let (c, result) = ask(c, number, is_load, load.prepared).await;
        match result {
            Ok(()) => account.note(End::Served, began, None),
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
                account.note(end, began, Some(format!("{number}: {e}")));
            }
        }
        conn = c;
    }
    if let Some(c) = conn {
        let _ = c.disconnect().await;
    }
}

/// One request. The connection comes back if it is of further use.
async fn ask(
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
