//! Plays the scripts of [`cases`] against the MySQL front and, for calibration, straight against the stand-in engine
//! that the front leads to; writes the table of `docs/MYSQL-CONFORMANCE.md`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::missing_errors_doc,
    clippy::unwrap_used,
    clippy::wildcard_imports,
    reason = "fakes and measurements whose modules are laid out, and not yet documented item by item"
)]

pub mod cases;

use cases::{CASES, Case, Engine as Against, Step, UNTESTED, Want};
use query_dispatcher::config::{EndpointSource, MysqlConfig};
use query_dispatcher::core::{Core, CoreLimits};
use query_dispatcher::discovery::{DiscoveredEngine as Listed, EndpointListChange};
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

/// How a case came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    Carried,
    /// As wanted, by an error: its code and its words.
    Refused(u16, String),
    /// Not as wanted.
    Differs(String),
}

/// A front of its own in this process, before these engines.
///
/// # Errors
/// Its file is wrong, or it cannot listen.
pub async fn frontend(engines: &[Engine]) -> Result<SocketAddr, Error> {
    let list = engines.iter().map(|e| {
        format!(
            "[[engine]]\nid = {:?}\naddress = \"{}\"\n",
            e.name(),
            e.address()
        )
    });
    let config = MysqlConfig::parse(
        &fixture::dispatcher_file("", &list.collect::<String>()),
        |_| None,
    )?;
    let pool = BufferPool::default();
    let bounds = CoreLimits {
        max_open_requests: config.sockets.max_open_requests,
        answer_margin: Duration::from_millis(20),
        page_timeout: Duration::from_millis(600),
    };
    let core = Core::new(config.settings.clone(), 1, bounds)?;
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
    let EndpointSource::Static(fixed) = config.source else {
        return Err("the engines are not listed".into());
    };
    let listed = fixed.into_iter().map(|e| Listed {
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
        engines: listed.collect(),
    });
    spawn_local(router.clone().run_clock());
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(Frontend::new(router, pool, config.frontend, spools).accept(listener));
    Ok(address)
}

/// Who plays: where, and as whom.
#[derive(Clone, Copy)]
pub struct Target<'a> {
    pub address: SocketAddr,
    pub user: &'a str,
    pub password: &'a str,
    /// Engines that are slowed down where a script asks for it.
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

    /// Plays one case on a session of its own.
    pub async fn play(&self, case: &Case) -> Came {
        let mut s = match self.session().await {
            Ok(s) => s,
            Err(e) => return Came::Differs(format!("log in: {e}")),
        };
        let mut came = Came::Carried;
        for step in case.steps {
            match tokio::time::timeout(Duration::from_secs(5), self.step(&mut s, step)).await {
                // The last step tells.
                Ok(Ok(None)) => came = Came::Carried,
                Ok(Ok(Some((code, text)))) => came = Came::Refused(code, text),
                Ok(Err(e)) => return Came::Differs(format!("{step:?}: {e}")),
                Err(_) => return Came::Differs(format!("{step:?}: no answer within 5 s")),
            }
        }
        came
    }

    /// The error that was wanted, if one was; an error of its own tells what came instead.
    async fn step(&self, s: &mut Session, step: &Step) -> Result<Option<(u16, String)>, String> {
        match *step {
            Step::Sql(sql, want) => judge(want, s.query(sql).await, false),
            Step::Command(kind, body, want) => {
                s.send(kind, &[body]).await.map_err(|e| e.to_string())?;
                if let Want::Any = want {
                    let p = s.packet().await.map_err(|e| e.to_string())?;
                    return if p.first() == Some(&0xff) {
                        Err("an error".into())
                    } else {
                        Ok(None)
                    };
                }
                judge(want, s.answer().await, false)
            }
            Step::Prepared(sql, wants) => {
                let id = match s.prepare(sql).await {
                    Ok((id, _)) => id,
                    Err(e) => {
                        return judge(wants.first().copied().unwrap_or(Want::Any), Err(e), true);
                    }
                };
                for want in wants {
                    judge(*want, s.execute(id, false).await, true)?;
                }
                Ok(None)
            }
            Step::Cursor(sql, rows, want) => {
                let (id, _) = s.prepare(sql).await.map_err(|e| e.to_string())?;
                s.execute(id, true).await.map_err(|e| e.to_string())?;
                judge(want, s.fetch(id, rows).await, true)
            }
            Step::ChangeUser(user, password, want) => {
                let end = s.change_user(user, password).await;
                judge(
                    want,
                    end.map(|()| Answer {
                        columns: 0,
                        rows: vec![],
                        last: Default::default(),
                    }),
                    false,
                )
            }
            Step::Killed(sql, want) => {
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
                judge(want, answer, false)
            }
            Step::Beside(sql, want) => {
                let mut other = self.session().await.map_err(|e| e.to_string())?;
                judge(want, other.query(sql).await, false)
            }
        }
    }
}

fn judge(
    want: Want,
    came: Result<Answer, PacketError>,
    binary: bool,
) -> Result<Option<(u16, String)>, String> {
    let answer = match (came, want) {
        (Err(PacketError::Server(e)), Want::Code(code)) if e.code == code => {
            return Ok(Some((code, e.message)));
        }
        (Err(e), _) => return Err(e.to_string()),
        (Ok(answer), _) => answer,
    };
    let status = || match answer.last.first() {
        Some(0) => parse_ok_status(&answer.last).map_or(0, |status| status.flags),
        _ => eof_status(&answer.last).unwrap_or(0),
    };
    let right = match want {
        Want::Any => true,
        Want::Ok => answer.columns == 0,
        Want::Rows(n) => answer.rows.len() == n,
        Want::First(texts) => {
            let row = answer
                .rows
                .first()
                .map(|r| columns(r.clone(), binary))
                .unwrap_or_default();
            row.len() >= texts.len() && row.iter().zip(texts).all(|(a, b)| a == b)
        }
        Want::Status(with, without) => status() & with == with && status() & without == 0,
        Want::Code(_) => false,
    };
    match right {
        true => Ok(None),
        false => Err(format!(
            "{} rows, status {:#x}",
            answer.rows.len(),
            status()
        )),
    }
}

/// The texts of a row; NULL by its name.
fn columns(row: bytes::Bytes, binary: bool) -> Vec<String> {
    let mut r = PayloadReader(row.slice(if binary { 2 } else { 0 }..));
    let mut all = vec![];
    while !r.0.is_empty() {
        if r.0.first() == Some(&0xfb) {
            all.push("NULL".to_string());
            let _ = r.u8();
            continue;
        }
        match r.length_encoded_bytes() {
            Ok(b) => all.push(String::from_utf8_lossy(&b).into_owned()),
            Err(_) => break,
        }
    }
    all
}

/// A case with how it came out at the front, and at the engine where it was asked.
pub type Line = (&'static Case, Came, Option<Came>);

/// Plays all cases against both.
///
/// # Errors
/// Engines or front cannot be set up.
pub async fn play() -> Result<Vec<Line>, Error> {
    let engines = fixture::engines(2, Duration::from_millis(1)).await?;
    let address = frontend(&engines).await?;
    let at_front = Target {
        address,
        user: "guest",
        password: "guest",
        engines: &engines,
    };
    let address = engines.first().ok_or("no engine")?.address();
    let at_engine = Target {
        address,
        user: "lab",
        password: testbed::fakes::engine::PASSWORD,
        engines: &engines,
    };
    let mut all = vec![];
    for case in CASES {
        let own = match case.engine {
            Against::Alike => Some(at_engine.play(case).await),
            Against::No => None,
        };
        all.push((case, at_front.play(case).await, own));
    }
    Ok(all)
}

/// The page, as `docs/MYSQL-CONFORMANCE.md` holds it.
pub fn page(lines: &[Line]) -> String {
    let mut text = String::from(
        "# MySQL conformance\n\nWritten by `cargo run -p mysql-conformance -- --write docs/MYSQL-CONFORMANCE.md`; a test \
         compares the two.\nEach line is a script of `crates/mysql-conformance/src/cases.rs`, played against the front and, for \
         calibration, straight\nagainst the stand-in engine.\n\n",
    );
    let count = |f: fn(&Came) -> bool| lines.iter().filter(|l| f(&l.1)).count();
    let _ = writeln!(
        text,
        "{} carried, {} refused with a reason, {} not as wanted, {} untested.",
        count(|c| *c == Came::Carried),
        count(|c| matches!(c, Came::Refused(..))),
        count(|c| matches!(c, Came::Differs(_))),
        UNTESTED.len(),
    );
    let mut area = "";
    for (case, frontend, engine) in lines {
        if case.area != area {
            area = case.area;
            let _ = writeln!(
                text,
                "\n## {area}\n\n| what | front | stand-in engine |\n| --- | --- | --- |"
            );
        }
        let told = |came: &Came| match came {
            Came::Carried => "carried".to_string(),
            Came::Refused(code, reason) => format!("{code}: {}", reason.replace('|', "\\|")),
            Came::Differs(how) => format!("**not as wanted**: {}", how.replace('|', "\\|")),
        };
        let own = engine.as_ref().map_or("-".to_string(), told);
        let _ = writeln!(text, "| {} | {} | {own} |", case.name, told(frontend));
    }
    text.push_str("\n## Untested\n\n| what | why |\n| --- | --- |\n");
    for (what, reason) in UNTESTED {
        let _ = writeln!(text, "| {what} | {reason} |");
    }
    text
}

#[cfg(test)]
mod tests;
