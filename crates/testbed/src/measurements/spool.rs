//! Long measurements of spooled results for slow readers on real sockets, which are not part of any test.

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

/// Measured program, and whether it is an earlier version that does not know `[spool]`.
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

/// Returns the number of spooled results that `/_spools` reports.
async fn spooled_results(p: &Program) -> u64 {
    let page = p
        .call("GET", "/_spools")
        .await
        .map(|c| c.1)
        .unwrap_or_default();
    let page: Value = serde_json::from_str(&page).unwrap_or_default();
    page["results"].as_u64().unwrap_or(0)
}

fn request_failed(e: impl std::fmt::Display) -> MeasureError {
    MeasureError::Failed(format!("request: {e}"))
}

/// Measures how long a result of 10 MB occupies its engine while the client reads it at `pace` bytes per
/// second (0 for full speed).
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn occupancy(subject: &Spooling<'_>, pace: usize) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-occupancy")?;
    let engines = fixture::engines(1, Duration::from_millis(1)).await?;
    let program = subject
        .start(&folder, &engines, "result = \"1 GB\"")
        .await?;
    let sql = "select engine from report /* rows(10000, 1000) */";
    for _ in 0..12 {
        let options = SessionOptions {
            receive_buffer: (pace > 0).then_some(8192),
            ..SessionOptions::default()
        };
        let mut s = Session::log_in(program.address, "guest", "guest", options)
            .await
            .map_err(request_failed)?;
        let before = engines[0]
            .executions()
            .iter()
            .filter(|r| r.answered)
            .count();
        let reader = spawn_local(async move {
            match pace {
                // Waits as long between two results as with slow readers, since an idle machine starts
                // slowly.
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
    // The first two results are not counted, since they open connections and allocate buffers.
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

/// Measures the memory with `readers` slow readers, each of a result of `megabytes`.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
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
        let options = SessionOptions {
            receive_buffer: Some(8192),
            ..SessionOptions::default()
        };
        let mut s = Session::log_in(program.address, "guest", "guest", options)
            .await
            .map_err(request_failed)?;
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
                return Err(MeasureError::Failed(format!(
                    "{n} of {readers} results were whole after 500 s"
                )));
            }
        }
    }
    let seconds = (now() - began) / 1000.0;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (memory, max_memory) = program.memory();
    tasks.iter().for_each(|t| t.abort());
    Ok(json!({
        "measure": "readers", "readers": readers, "mb_each": megabytes, "seconds_to_take_all": seconds,
        "mb_a_second": readers as f64 * megabytes as f64 / seconds, "memory_mb": memory, "memory_most_mb": max_memory,
    }))
}

/// Measures the throughput of a result of `megabytes` to a client at full speed, compared with writing and
/// syncing a plain file.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn throughput(subject: &Spooling<'_>, megabytes: u64) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-throughput")?;
    let block = crate::fakes::engine::padded_text(1, 1 << 20);
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
        .map_err(request_failed)?;
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
    let rows = s.each(&sql, each).await.map_err(request_failed)?;
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

/// Measures the latency of results of one row. The requests follow one another on one connection, so that
/// no timer's granularity affects it.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn small(subject: &Spooling<'_>, requests: u64) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-small")?;
    let engines = fixture::engines(2, Duration::ZERO).await?;
    let program = subject.start(&folder, &engines, "").await?;
    let mut s = Session::log_in(program.address, "guest", "guest", SessionOptions::default())
        .await
        .map_err(request_failed)?;
    let mut spans = vec![];
    for n in 0..requests + 500 {
        let began = std::time::Instant::now();
        s.query("select engine from stock")
            .await
            .map_err(request_failed)?;
        // The first 500 requests open connections and fill caches.
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

/// Measures the start of the program with `spools` spools of an earlier process on disk.
///
/// # Errors
/// The program or a fake fails, or does not reach an expected state in time.
pub async fn recovery(subject: &Spooling<'_>, spools: u64) -> Result<Value, MeasureError> {
    let folder = Folder::new("measure-recovery")?;
    let engines = fixture::engines(2, Duration::ZERO).await?;
    let spool = "keep_s = 3600\nmost = 20000\ndisk = \"8 GB\"";
    let program = subject.start(&folder, &engines, spool).await?;
    let mut tasks = vec![];
    for n in 0..8 {
        let mut s = Session::log_in(program.address, "guest", "guest", SessionOptions::default())
            .await
            .map_err(request_failed)?;
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
    let start_ms = now() - began;
    Ok(json!({
        "measure": "recovery", "spools": spooled_results(&program).await, "start_ms": start_ms, "memory_mb": program.memory().0,
    }))
}
