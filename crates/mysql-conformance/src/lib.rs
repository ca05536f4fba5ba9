//! Runs the scripts of [`cases`] against the MySQL frontend and, for calibration, directly against the fake
//! engine behind it, and renders the table of `docs/MYSQL-CONFORMANCE.md`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "test code, whose public items are not all documented"
)]

pub mod cases;

use cases::{CASES, Case, EngineRun, Expectation, Step, UNTESTED};
use query_dispatcher::config::{EndpointSource, MysqlConfig};
use query_dispatcher::core::{Core, CoreLimits};
use query_dispatcher::discovery::{DiscoveredEngine, EndpointListChange};
use query_dispatcher::dispatch::RequestRouter;
use query_dispatcher::frontend::mysql::Frontend;
use query_dispatcher::protocol::mysql::packet::{
    COM_QUERY, PacketError, PayloadReader, eof_status, parse_ok_status,
};
use query_dispatcher::spool_io::Spools;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::upstream::mysql::MysqlUpstream;
use query_dispatcher::{EngineState, ListUpdate};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::clients::mysql::{Answer, Session, SessionOptions};
use testbed::fakes::engine::Engine;
use testbed::fixture;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

pub type Error = Box<dyn std::error::Error>;

/// Outcome of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaseOutcome {
    /// Every step had the expected answer; the last one succeeded.
    Supported,
    /// The last step was answered with the expected error: its code and message.
    Refused(u16, String),
    /// A step had an unexpected answer, which the text describes.
    Unexpected(String),
}

/// Starts a MySQL frontend for these engines in this process and returns its address.
///
/// # Errors
/// Returns an error if the configuration is invalid or the frontend cannot listen.
pub async fn frontend(engines: &[Engine]) -> Result<SocketAddr, Error> {
    let engine_sections = engines.iter().map(|e| {
        format!(
            "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
            e.name(),
            e.address()
        )
    });
    let config = MysqlConfig::parse(
        &fixture::dispatcher_file("", &engine_sections.collect::<String>()),
        |_| None,
    )?;
    let pool = BufferPool::default();
    let limits = CoreLimits {
        max_open_requests: config.sockets.max_open_requests,
        answer_margin: Duration::from_millis(20),
        page_timeout: Duration::from_millis(600),
    };
    let core = Core::new(config.settings.clone(), 1, limits)?;
    let names = config.names.clone();
    let (spools, done) = Spools::open(&config.spool, names.classes.clone(), names.tenants.clone())?;
    spawn_local(spools.clone().run(done));
    let upstream = MysqlUpstream::new(
        config.engine_credentials,
        config.sockets,
        pool.clone(),
        spools.clone(),
    );
    let router = RequestRouter::new(core, names, upstream);
    let EndpointSource::Static(endpoints) = config.source else {
        return Err("the configuration lists no engines".into());
    };
    let discovered = endpoints.into_iter().map(|e| DiscoveredEngine {
        id: e.id,
        address: Some(e.address),
        state: EngineState::Ready,
        zone: e.zone,
        kind: e.kind,
        cell: 0,
        started: None,
    });
    router.update_endpoints(&EndpointListChange {
        update: ListUpdate::Snapshot,
        engines: discovered.collect(),
    });
    spawn_local(router.clone().run_clock());
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(Frontend::new(router, pool, config.frontend, spools).accept(listener));
    Ok(address)
}

/// Server and credentials that cases are run with.
#[derive(Clone, Copy)]
pub struct Target<'a> {
    pub address: SocketAddr,
    pub user: &'a str,
    pub password: &'a str,
    /// Engines that a script can slow down.
    pub engines: &'a [Engine],
}

impl Target<'_> {
    async fn session(&self) -> Result<Session, PacketError> {
        Session::log_in(
            self.address,
            self.user,
            self.password,
            SessionOptions::default(),
        )
        .await
    }

    /// Runs one case on a new session.
    pub async fn run_case(&self, case: &Case) -> CaseOutcome {
        let mut s = match self.session().await {
            Ok(s) => s,
            Err(e) => return CaseOutcome::Unexpected(format!("log in: {e}")),
        };
        let mut outcome = CaseOutcome::Supported;
        for step in case.steps {
            match tokio::time::timeout(Duration::from_secs(5), self.run_step(&mut s, step)).await {
                // The last step decides.
                Ok(Ok(None)) => outcome = CaseOutcome::Supported,
                Ok(Ok(Some((code, text)))) => outcome = CaseOutcome::Refused(code, text),
                Ok(Err(e)) => return CaseOutcome::Unexpected(format!("{step:?}: {e}")),
                Err(_) => {
                    return CaseOutcome::Unexpected(format!("{step:?}: no answer within 5 s"));
                }
            }
        }
        outcome
    }

    /// Runs one step. Returns the code and message of an expected error; an unexpected answer is an error
    /// that describes it.
    async fn run_step(
        &self,
        s: &mut Session,
        step: &Step,
    ) -> Result<Option<(u16, String)>, String> {
        match *step {
            Step::Sql(sql, expected) => check_answer(expected, s.query(sql).await, false),
            Step::Command(kind, body, expected) => {
                s.send(kind, &[body]).await.map_err(|e| e.to_string())?;
                if let Expectation::Any = expected {
                    let p = s.packet().await.map_err(|e| e.to_string())?;
                    return if p.first() == Some(&0xff) {
                        Err("unexpected error packet".into())
                    } else {
                        Ok(None)
                    };
                }
                check_answer(expected, s.answer().await, false)
            }
            Step::Prepare(sql, expectations) => {
                let id = match s.prepare(sql).await {
                    Ok((id, _)) => id,
                    Err(e) => {
                        return check_answer(
                            expectations.first().copied().unwrap_or(Expectation::Any),
                            Err(e),
                            true,
                        );
                    }
                };
                for expected in expectations {
                    check_answer(*expected, s.execute(id, false).await, true)?;
                }
                Ok(None)
            }
            Step::Cursor(sql, rows, expected) => {
                let (id, _) = s.prepare(sql).await.map_err(|e| e.to_string())?;
                s.execute(id, true).await.map_err(|e| e.to_string())?;
                check_answer(expected, s.fetch(id, rows).await, true)
            }
            Step::ChangeUser(user, password, expected) => {
                let result = s.change_user(user, password).await;
                check_answer(
                    expected,
                    result.map(|()| Answer {
                        columns: 0,
                        rows: vec![],
                        last: Default::default(),
                    }),
                    false,
                )
            }
            Step::KillQuery(sql, expected) => {
                self.engines
                    .iter()
                    .for_each(|e| e.set_execution_time(Duration::from_secs(3)));
                s.send(COM_QUERY, &[sql.as_bytes()])
                    .await
                    .map_err(|e| e.to_string())?;
                tokio::time::sleep(Duration::from_millis(100)).await;
                let mut other = self.session().await.map_err(|e| e.to_string())?;
                other
                    .query(&format!("kill query {}", s.number))
                    .await
                    .map_err(|e| e.to_string())?;
                let answer = s.answer().await;
                self.engines
                    .iter()
                    .for_each(|e| e.set_execution_time(Duration::from_millis(1)));
                check_answer(expected, answer, false)
            }
            Step::OtherSession(sql, expected) => {
                let mut other = self.session().await.map_err(|e| e.to_string())?;
                check_answer(expected, other.query(sql).await, false)
            }
        }
    }
}

/// Compares an answer with the expected one. Returns the code and message of an expected error; an unexpected
/// answer is an error that describes it.
fn check_answer(
    expected: Expectation,
    answer: Result<Answer, PacketError>,
    binary: bool,
) -> Result<Option<(u16, String)>, String> {
    let answer = match (answer, expected) {
        (Err(PacketError::Server(e)), Expectation::Code(code)) if e.code == code => {
            return Ok(Some((code, e.message)));
        }
        (Err(e), _) => return Err(e.to_string()),
        (Ok(answer), _) => answer,
    };
    let status = || match answer.last.first() {
        Some(0) => parse_ok_status(&answer.last).map_or(0, |status| status.flags),
        _ => eof_status(&answer.last).unwrap_or(0),
    };
    let is_expected = match expected {
        Expectation::Any => true,
        Expectation::Ok => answer.columns == 0,
        Expectation::Rows(n) => answer.rows.len() == n,
        Expectation::First(texts) => {
            let row = answer
                .rows
                .first()
                .map(|r| column_texts(r.clone(), binary))
                .unwrap_or_default();
            row.len() >= texts.len() && row.iter().zip(texts).all(|(a, b)| a == b)
        }
        Expectation::Status(set, unset) => status() & set == set && status() & unset == 0,
        Expectation::Code(_) => false,
    };
    match is_expected {
        true => Ok(None),
        false => Err(format!(
            "{} rows, status {:#x}",
            answer.rows.len(),
            status()
        )),
    }
}

/// Returns the values of a row as text; NULL becomes "NULL".
fn column_texts(row: bytes::Bytes, binary: bool) -> Vec<String> {
    let mut r = PayloadReader(row.slice(if binary { 2 } else { 0 }..));
    let mut texts = vec![];
    while !r.0.is_empty() {
        if r.0.first() == Some(&0xfb) {
            texts.push("NULL".to_string());
            let _ = r.u8();
            continue;
        }
        match r.length_encoded_bytes() {
            Ok(b) => texts.push(String::from_utf8_lossy(&b).into_owned()),
            Err(_) => break,
        }
    }
    texts
}

/// A case with its outcome at the frontend, and at the engine if it was run there.
pub type CaseReport = (&'static Case, CaseOutcome, Option<CaseOutcome>);

/// Runs all cases against the frontend and the fake engine.
///
/// # Errors
/// Returns an error if the engines or the frontend cannot be started.
pub async fn run_cases() -> Result<Vec<CaseReport>, Error> {
    let engines = fixture::engines(2, Duration::from_millis(1)).await?;
    let address = frontend(&engines).await?;
    let frontend_target = Target {
        address,
        user: "guest",
        password: "guest",
        engines: &engines,
    };
    let address = engines.first().ok_or("no engine")?.address();
    let engine_target = Target {
        address,
        user: "lab",
        password: testbed::fakes::engine::PASSWORD,
        engines: &engines,
    };
    let mut reports = vec![];
    for case in CASES {
        let own = match case.engine {
            EngineRun::Same => Some(engine_target.run_case(case).await),
            EngineRun::Skipped => None,
        };
        reports.push((case, frontend_target.run_case(case).await, own));
    }
    Ok(reports)
}

/// Renders the page `docs/MYSQL-CONFORMANCE.md`.
pub fn render_page(reports: &[CaseReport]) -> String {
    let mut text = String::from(
        "# MySQL conformance\n\nWritten by `cargo run -p mysql-conformance -- --write docs/MYSQL-CONFORMANCE.md`; a test \
         compares the two.\nEach line is a script of `crates/mysql-conformance/src/cases.rs`, played against the front and, for \
         calibration, straight\nagainst the stand-in engine.\n\n",
    );
    let count = |f: fn(&CaseOutcome) -> bool| reports.iter().filter(|report| f(&report.1)).count();
    let _ = writeln!(
        text,
        "{} carried, {} refused with a reason, {} not as wanted, {} untested.",
        count(|c| *c == CaseOutcome::Supported),
        count(|c| matches!(c, CaseOutcome::Refused(..))),
        count(|c| matches!(c, CaseOutcome::Unexpected(_))),
        UNTESTED.len(),
    );
    let mut area = "";
    for (case, frontend, engine) in reports {
        if case.area != area {
            area = case.area;
            let _ = writeln!(
                text,
                "\n## {area}\n\n| what | front | stand-in engine |\n| --- | --- | --- |"
            );
        }
        let cell = |outcome: &CaseOutcome| match outcome {
            CaseOutcome::Supported => "carried".to_string(),
            CaseOutcome::Refused(code, reason) => format!("{code}: {}", reason.replace('|', "\\|")),
            CaseOutcome::Unexpected(difference) => {
                format!("**not as wanted**: {}", difference.replace('|', "\\|"))
            }
        };
        let own = engine.as_ref().map_or("-".to_string(), cell);
        let _ = writeln!(text, "| {} | {} | {own} |", case.name, cell(frontend));
    }
    text.push_str("\n## Untested\n\n| what | why |\n| --- | --- |\n");
    for (what, reason) in UNTESTED {
        let _ = writeln!(text, "| {what} | {reason} |");
    }
    text
}

#[cfg(test)]
mod tests;
