//! Cost of sessions of the MySQL front, compared with sessions directly at the same fake engine.

use crate::clients::mysql::{Session, SessionOptions};
use crate::fakes::engine::PASSWORD;
use crate::fixture;
use crate::measurements::membership::{MeasureError, Subject};
use crate::program::Folder;
use hdrhistogram::Histogram;
use query_dispatcher::protocol::mysql::packet::PacketError;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// Number of sessions that are opened to measure memory and log-ins, and the number of them that are
/// pinned.
const IDLE: usize = 200;
const PINNED: usize = 40;

struct SessionRun {
    /// Latency of a statement, in microseconds.
    latency: Histogram<u64>,
    seconds: f64,
}

impl SessionRun {
    /// Returns the results as JSON. `cpu` is the CPU time that the dispatcher used, in seconds.
    fn report(&self, cpu: Option<f64>) -> Value {
        let n = self.latency.len();
        json!({
            "p50_us": self.latency.value_at_quantile(0.5),
            "p99_us": self.latency.value_at_quantile(0.99),
            "a_second": (n as f64 / self.seconds).round(),
            "a_second_of_its_processor": cpu.map(|c| (n as f64 / c.max(1e-3)).round()),
        })
    }
}

async fn log_in(at: SocketAddr, user: &str, password: &str) -> Result<Session, PacketError> {
    Session::log_in(at, user, password, SessionOptions::default()).await
}

/// Executes `rounds` rounds of these statements, on each session in turn.
async fn run_rounds(
    all: &mut [Session],
    sqls: &[&str],
    rounds: usize,
) -> Result<SessionRun, MeasureError> {
    let bounds = Histogram::new_with_bounds(1, 60_000_000, 3);
    let mut latency = bounds.map_err(|e| MeasureError::Client(e.to_string()))?;
    let (began, turns) = (Instant::now(), all.len().max(1));
    for n in 0..rounds {
        let Some(s) = all.get_mut(n % turns) else {
            break;
        };
        for sql in sqls {
            let sent = Instant::now();
            s.query(sql)
                .await
                .map_err(|e| MeasureError::Failed(format!("{sql}: {e}")))?;
            let _ = latency.record(sent.elapsed().as_micros() as u64 + 1);
        }
    }
    Ok(SessionRun {
        latency,
        seconds: began.elapsed().as_secs_f64(),
    })
}

const HOST: &str = "lab.example";

/// Creates a certificate for the dispatcher. Returns the TLS sections of the configuration file, and a
/// client configuration that trusts the certificate.
fn create_certificate(folder: &Folder) -> Result<(String, Arc<ClientConfig>), MeasureError> {
    let failed =
        |e: &dyn std::fmt::Display| MeasureError::Failed(format!("creating a certificate: {e}"));
    let made =
        rcgen::generate_simple_self_signed(vec![HOST.to_string()]).map_err(|e| failed(&e))?;
    let (cert, key) = (folder.path().join("lab.pem"), folder.path().join("lab.key"));
    std::fs::write(&cert, made.cert.pem())?;
    std::fs::write(&key, made.signing_key.serialize_pem())?;
    let mut roots = RootCertStore::empty();
    roots.add(made.cert.der().clone()).map_err(|e| failed(&e))?;
    let client = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|e| failed(&e))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok((
        format!("[tls]\n[[tls.key]]\ncert = {cert:?}\nkey = {key:?}\n"),
        Arc::new(client),
    ))
}

/// Measures the overhead of a statement: alone, in transactions, and where two sessions with different
/// settings share a connection; log-ins per second; and the memory of an idle and of a pinned session.
///
/// # Errors
/// The program cannot be started, or a request fails.
pub async fn sessions(subject: &Subject, statements: usize) -> Result<Value, MeasureError> {
    let failed = |e: PacketError| MeasureError::Failed(format!("session: {e}"));
    let engines = fixture::engines(1, Duration::ZERO).await?;
    let engine = engines
        .first()
        .ok_or_else(|| MeasureError::Failed("no engine was started".into()))?;
    let folder = Folder::new("measure-sessions")?;
    let list = format!(
        "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
        engine.name(),
        engine.address()
    );
    let (tls, client) = create_certificate(&folder)?;
    let text = fixture::dispatcher_file("max_clients = 512", &format!("{list}{tls}"));
    let text = text.replace("[engines]", "[engines]\nconnections = 64");
    let program =
        crate::program::Program::start(&subject.program, &folder, "sessions", &text).await?;
    let read = ["select a from t"];
    let transaction = ["begin", "insert into t values (1)", "commit"];
    let mut out = serde_json::Map::new();
    for (name, sqls, n) in [
        ("read", &read[..], statements),
        ("transaction", &transaction[..], statements / 3),
    ] {
        let mut direct = [log_in(engine.address(), "lab", PASSWORD)
            .await
            .map_err(failed)?];
        let mut through = [log_in(program.address, "guest", "guest")
            .await
            .map_err(failed)?];
        run_rounds(&mut through, sqls, n / 10).await?;
        let report = run_rounds(&mut direct, sqls, n).await?.report(None);
        out.insert(format!("{name}_direct"), report);
        let before = program.cpu();
        let run = run_rounds(&mut through, sqls, n).await?;
        out.insert(name.into(), run.report(Some(program.cpu() - before)));
    }
    let mut two = vec![];
    for zone in ["+01:00", "+02:00"] {
        let mut s = log_in(program.address, "guest", "guest")
            .await
            .map_err(failed)?;
        s.query(&format!(
            "set time_zone = '{zone}', @a = 1, sql_mode = 'ANSI'"
        ))
        .await
        .map_err(failed)?;
        two.push(s);
    }
    let before = program.cpu();
    let run = run_rounds(&mut two, &read, statements).await?;
    out.insert(
        "read_with_settings_by_turns".into(),
        run.report(Some(program.cpu() - before)),
    );

    let log_in_tls = async || {
        Session::log_in_tls(program.address, "guest", "guest", client.clone(), HOST)
            .await
            .map_err(failed)
    };
    let mut secure = [log_in_tls().await?];
    let before = program.cpu();
    let run = run_rounds(&mut secure, &read, statements).await?;
    out.insert(
        "read_in_tls".into(),
        run.report(Some(program.cpu() - before)),
    );
    let (began, before) = (Instant::now(), program.cpu());
    for _ in 0..IDLE {
        log_in_tls().await?;
    }
    out.insert(
        "log_ins_in_tls_a_second".into(),
        json!((IDLE as f64 / began.elapsed().as_secs_f64()).round()),
    );
    let spent = (program.cpu() - before).max(1e-3);
    out.insert(
        "of_its_processor".into(),
        json!((IDLE as f64 / spent).round()),
    );

    let (empty, began) = (program.memory().0, Instant::now());
    let mut all = vec![];
    for _ in 0..IDLE {
        all.push(
            log_in(program.address, "guest", "guest")
                .await
                .map_err(failed)?,
        );
    }
    out.insert(
        "log_ins_a_second".into(),
        json!((IDLE as f64 / began.elapsed().as_secs_f64()).round()),
    );
    let idle = program.memory().0;
    for s in all.iter_mut().take(PINNED) {
        s.query("begin").await.map_err(failed)?;
    }
    let pinned = program.memory().0;
    out.insert(
        "kB_an_idle_session".into(),
        json!((idle - empty) * 1024.0 / IDLE as f64),
    );
    out.insert(
        "kB_more_pinned".into(),
        json!((pinned - idle) * 1024.0 / PINNED as f64),
    );
    Ok(Value::Object(out))
}
