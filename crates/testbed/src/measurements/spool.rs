//! Measurements of results that wait for slow readers, on real sockets: long, and no part of any test.

use crate::clients::mysql::{Session, SessionOptions};
use crate::fakes::engine::Engine;
use crate::fixture;
use crate::measurements::membership::MeasureError;
use crate::now;
use crate::program::{Folder, Program};
use serde_json::{Value, json};
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use tokio::task::spawn_local;

/// The program that is measured, and whether it knows `[spool]`.
#[derive(Clone, Debug)]
pub struct Spooling<'a> {
    pub program: &'a Path,
    pub earlier: bool,
}

impl Spooling<'_> {
    async fn start(
        &self,
        folder: &Folder,
        engines: &[Engine],
        spool: &str,
    ) -> Result<Program, MeasureError> {
        let mut list = String::new();
        for e in engines {
            list.push_str(&format!(
                "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
                e.name(),
                e.address()
            ));
        }
        let (top, rest) = match self.earlier {
            true => ("max_result = 16777216", String::new()),
            false => (
                "",
                format!("[spool]\ndir = {:?}\n{spool}", folder.path().join("spool")),
            ),
        };
        let top = format!("max_clients = 500\nconnect_timeout_ms = 1000\n{top}");
        let text = fixture::dispatcher_file(&top, &format!("{list}{rest}"));
        let text = text.replace("deadline_ms = 5000.0", "deadline_ms = 120000.0");
        Ok(Program::start(self.program, folder, "measured", &text).await?)
    }
}

async fn results(p: &Program) -> u64 {
    let page = p
        .call("GET", "/_spools")
        .await
        .map(|c| c.1)
        .unwrap_or_default();
    let page: Value = serde_json::from_str(&page).unwrap_or_default();
    page["results"].as_u64().unwrap_or(0)
}

fn broken(e: impl std::fmt::Display) -> MeasureError {
    MeasureError::Never(format!("an answer: {e}"))
}

/// For how long a report of 10 MB holds its engine, by its client's pace in bytes a second (0: full speed).
///
/// # Errors
/// The program or a stand-in does not do its part.
pub async fn occupancy(subject: &Spooling<'_>, pace: usize) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-occupancy")?;
    let engines = fixture::engines(1, Duration::from_millis(1)).await?;
    let program = subject
        .start(&folder, &engines, "result = \"1 GB\"")
        .await?;
    let sql = "select engine from report /* rows(10000, 1000) */";
    for _ in 0..12 {
        let wants = SessionOptions {
            receive: (pace > 0).then_some(8192),
            ..SessionOptions::default()
        };
        let mut s = Session::log_in(program.address, "guest", "guest", wants)
            .await
            .map_err(broken)?;
        let before = engines[0]
            .executions()
            .iter()
            .filter(|r| r.answered)
            .count();
        let reader = spawn_local(async move {
            match pace {
                // As long between two reports as with the slow ones: an idle machine starts slowly.
                0 => {
                    drop(s.query(sql).await);
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
                pace => {
                    let _ = s.send(3, &[sql.as_bytes()]).await;
                    let _ = s.read_slowly(pace, Duration::from_secs(2)).await;
                }
            }
        });
        while engines[0]
            .executions()
            .iter()
            .filter(|r| r.answered)
            .count()
            == before
        {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let _ = reader.await;
    }
    // The first two are not counted: connections and buffers are new.
    let mut held: Vec<f64> = engines[0]
        .executions()
        .iter()
        .skip(2)
        .map(|r| r.held)
        .collect();
    held.sort_by(f64::total_cmp);
    Ok(json!({
        "measure": "occupancy", "earlier": subject.earlier, "pace": pace, "mb": 10, "n": held.len(),
        "median_ms": held.get(held.len() / 2), "most_ms": held.last(),
    }))
}

/// Memory with so many slow readers of so many megabytes each.
///
/// # Errors
/// The program or a stand-in does not do its part.
pub async fn readers(
    subject: &Spooling<'_>,
    readers: usize,
    megabytes: u64,
) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-readers")?;
    let engines = fixture::engines(2, Duration::from_millis(1)).await?;
    let spool = "memory = \"16 MB\"\ndisk = \"20 GB\"\nresult = \"1 GB\"";
    let program = subject.start(&folder, &engines, spool).await?;
    let sql = format!(
        "select engine from report /* rows({}, 10000) */",
        megabytes * 100
    );
    let began = now();
    let mut tasks = vec![];
    for n in 0..readers {
        let wants = SessionOptions {
            receive: Some(8192),
            ..SessionOptions::default()
        };
        let mut s = Session::log_in(program.address, "guest", "guest", wants)
            .await
            .map_err(broken)?;
        let sql = sql.clone();
        tasks.push(spawn_local(async move {
            let _ = s.send(3, &[sql.as_bytes()]).await;
            s.read_slowly(1000, Duration::from_secs(600)).await
        }));
        while engines
            .iter()
            .flat_map(Engine::executions)
            .filter(|r| r.answered)
            .count()
            < n + 1
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
            if now() - began > 500_000.0 {
                return Err(MeasureError::Never(format!(
                    "{readers} whole results; {n} are"
                )));
            }
        }
    }
    let took = (now() - began) / 1000.0;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (memory, most) = program.memory();
    tasks.iter().for_each(|t| t.abort());
    Ok(json!({
        "measure": "readers", "readers": readers, "mb_each": megabytes, "seconds_to_take_all": took,
        "mb_a_second": readers as f64 * megabytes as f64 / took, "memory_mb": memory, "memory_most_mb": most,
    }))
}

/// How quickly a result of so many megabytes goes through to a client at full speed, beside a plain file that is
/// written and synced.
///
/// # Errors
/// The program or a stand-in does not do its part.
pub async fn throughput(subject: &Spooling<'_>, megabytes: u64) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-throughput")?;
    let block = crate::fakes::engine::filled(1, 1 << 20);
    let began = now();
    let mut file = std::fs::File::create(folder.path().join("plain"))?;
    for _ in 0..megabytes {
        file.write_all(block.as_bytes())?;
    }
    file.sync_all()?;
    let plain = (now() - began) / 1000.0;
    let engines = fixture::engines(1, Duration::from_millis(1)).await?;
    let spool = "memory = \"16 MB\"\ndisk = \"8 GB\"\nresult = \"4 GB\"";
    let program = subject.start(&folder, &engines, spool).await?;
    let mut s = Session::log_in(program.address, "guest", "guest", SessionOptions::default())
        .await
        .map_err(broken)?;
    let sql = format!(
        "select engine from report /* rows({}, 100000) */",
        megabytes * 10
    );
    let began = now();
    let mut first = None;
    let each = |n: u64, _: &bytes::Bytes| {
        if n == 0 {
            first = Some(now());
        }
    };
    let rows = s.each(&sql, each).await.map_err(broken)?;
    let (all, first) = (
        (now() - began) / 1000.0,
        (first.unwrap_or(began) - began) / 1000.0,
    );
    Ok(json!({
        "measure": "throughput", "mb": megabytes, "rows": rows, "plain_file_mb_s": megabytes as f64 / plain,
        "into_the_spool_mb_s": megabytes as f64 / first, "out_of_it_mb_s": megabytes as f64 / (all - first),
        "memory_most_mb": program.memory().1,
    }))
}

/// Latency of results of one row, one after the other on one connection, so that no clock's grain is in it.
///
/// # Errors
/// The program or a stand-in does not do its part.
pub async fn small(subject: &Spooling<'_>, requests: u64) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-small")?;
    let engines = fixture::engines(2, Duration::ZERO).await?;
    let program = subject.start(&folder, &engines, "").await?;
    let mut s = Session::log_in(program.address, "guest", "guest", SessionOptions::default())
        .await
        .map_err(broken)?;
    let mut spans = vec![];
    for n in 0..requests + 500 {
        let began = std::time::Instant::now();
        s.query("select engine from stock").await.map_err(broken)?;
        // The first ones open connections and warm everything up.
        if n >= 500 {
            spans.push(began.elapsed().as_secs_f64() * 1e6);
        }
    }
    spans.sort_by(f64::total_cmp);
    let at = |part: f64| {
        spans
            .get((spans.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0.0)
            .round()
    };
    Ok(json!({
        "measure": "small", "earlier": subject.earlier, "requests": requests,
        "p50_us": at(0.5), "p90_us": at(0.9), "p99_us": at(0.99),
    }))
}

/// How long a start takes that finds so many spools.
///
/// # Errors
/// The program or a stand-in does not do its part.
pub async fn recovery(subject: &Spooling<'_>, spools: u64) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-recovery")?;
    let engines = fixture::engines(2, Duration::ZERO).await?;
    let spool = "keep_s = 3600\nmost = 20000\ndisk = \"8 GB\"";
    let program = subject.start(&folder, &engines, spool).await?;
    let mut tasks = vec![];
    for n in 0..8 {
        let mut s = Session::log_in(program.address, "guest", "guest", SessionOptions::default())
            .await
            .map_err(broken)?;
        tasks.push(spawn_local(async move {
            let mut done = 0;
            while done < spools / 8 {
                match s
                    .query(&format!("select engine from r{n} /* rows(70, 1000) */"))
                    .await
                {
                    Ok(_) => done += 1,
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        }));
    }
    for t in tasks {
        let _ = t.await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    program.kill().await?;
    let began = now();
    let program = subject.start(&folder, &engines, spool).await?;
    let took = now() - began;
    Ok(json!({
        "measure": "recovery", "spools": results(&program).await, "start_ms": took, "memory_mb": program.memory().0,
    }))
}
