//! Client of Eureka's registry API: polls the nearest registries for their lists, and keeps this dispatcher's own lease.
//!
//! How answers are merged into one list is decided by [`crate::membership`]. This module fetches them: `servers` selects
//! the registries, `http` makes the requests, `format` and `model` hold the documents, `replica` applies deltas and
//! checks the hash code, `registration` and `lease` register this dispatcher.

pub mod format;
pub mod http;
pub mod lease;
pub mod model;
pub mod registration;
pub mod replica;
pub mod servers;
#[cfg(test)]
mod tests;

use crate::clock::unix_time_millis;
use crate::config::EurekaSettings;
use crate::config::eureka::PayloadFormat;
use crate::discovery::membership_driver::MembershipDriver;
use crate::log_line;
use crate::membership::{SourceUpdate, UpdateContent};
use format::FormatError;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Answer, Call, Client, HttpError};
use model::Document;
use replica::{Replica, ReplicaError};
use servers::Servers;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// After the start a registry has this long to answer before the engines of the snapshot are served.
const FIRST: Duration = Duration::from_millis(1000);

/// Why a registry's answer could not be used.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// The exchange failed or its status is not a success.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The body is not a valid document.
    #[error(transparent)]
    Format(#[from] FormatError),
    /// The document could not be applied to the replica.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The task that parsed the body panicked or was cancelled.
    #[error("reading it was given up")]
    Reading,
}

/// A random number from 0 to 1, for delays and orders that should differ between dispatchers.
pub fn random() -> f64 {
    getrandom::u32().map_or(0.5, |n| f64::from(n) / f64::from(u32::MAX))
}

fn accept(format: PayloadFormat) -> &'static str {
    match format {
        PayloadFormat::Json => "application/json",
        PayloadFormat::Xml => "application/xml",
    }
}

/// One configuration's servers, with what each has told.
struct Round {
    source: Rc<EurekaSettings>,
    client: Client,
    replicas: Vec<RefCell<Replica>>,
    servers: RefCell<Servers>,
}

impl Round {
    fn new(source: Rc<EurekaSettings>) -> Self {
        let zones: Vec<Option<String>> = source.servers.iter().map(|s| s.zone.clone()).collect();
        Round {
            client: Client::new(
                source.servers.clone(),
                source.request_timeout,
                source.max_body_bytes,
            ),
            replicas: zones.iter().map(|_| RefCell::default()).collect(),
            servers: RefCell::new(Servers::new(&zones, source.zone.as_deref(), random)),
            source,
        }
    }

    /// Asks one server and tells membership; true if it answered. A drain counts as soon as it is here, whatever
    /// the other servers of the round are at.
    async fn ask(&self, server: usize, members: &MembershipDriver) -> bool {
        let name = &self.source.servers[server].name;
        match self.views(server, members).await {
            Ok(()) => true,
            Err(e) => {
                self.replicas[server].borrow_mut().forget();
                members.failed(name, e.to_string());
                log_line!("eureka {name}: {e}; what it told before stays");
                false
            }
        }
    }

    /// A change if a list is in hand, and the whole if not or if the change does not add up.
    async fn views(&self, server: usize, members: &MembershipDriver) -> Result<(), AskError> {
        let (source, replica) = (&self.source, &self.replicas[server]);
        let name = &source.servers[server].name;
        let tell = |asked: f64, content: UpdateContent| {
            members.view(SourceUpdate {
                source: name.clone(),
                requested_at: asked,
                received_at: unix_time_millis(),
                content,
            });
        };
        if source.query.has_deltas() && replica.borrow().listed() {
            let asked = unix_time_millis();
            let document = self.get(server, "/apps/delta").await?;
            let applied = replica.borrow_mut().delta(&document, &source.query)?;
            let differs = applied.differs;
            tell(asked, applied.content);
            if !differs {
                return Ok(());
            }
        }
        let asked = unix_time_millis();
        let document = self.get(server, &source.query.path()).await?;
        let content = replica.borrow_mut().whole(&document, &source.query)?;
        tell(asked, content);
        Ok(())
    }

    async fn get(&self, server: usize, path: &str) -> Result<Document, AskError> {
        let regions = self.source.remote_regions.join(",");
        let query = if regions.is_empty() {
            String::new()
        } else {
            format!("?regions={regions}")
        };
        let call = Call::get(format!("{path}{query}"), accept(self.source.format));
        let answer = self.client.call(server, &call).await?;
        // An application or a name that nobody registers under has no list: a list without engines.
        if answer.status.as_u16() == 404
            && answer.body.is_empty()
            && !self.source.query.has_deltas()
        {
            return Ok(Document::default());
        }
        read(answer, self.source.max_body_bytes).await
    }
}

/// Reads an answer's document; a long one beside the runtime.
async fn read(answer: Answer, most: usize) -> Result<Document, AskError> {
    if !answer.status.is_success() {
        return Err(HttpError::Status(answer.status).into());
    }
    // A packed body may hold a thousand times its size.
    let small = answer.body.len()
        <= if answer.gzip {
            http::SMALL / 64
        } else {
            http::SMALL
        };
    let parse = move || -> Result<Document, AskError> {
        let body = answer.unpacked(most)?;
        Ok(format::parse(&answer.kind, &body)?)
    };
    match small {
        true => parse(),
        false => tokio::task::spawn_blocking(parse)
            .await
            .map_err(|_| AskError::Reading)?,
    }
}

/// Polls the registries until `source` closes, and passes their answers to `members`. A new configuration replaces the
/// previous one at once, while membership is kept. Must run in a `LocalSet`.
pub async fn follow(
    mut source: watch::Receiver<Rc<EurekaSettings>>,
    members: Rc<MembershipDriver>,
) {
    let began = Instant::now();
    let mut round = Rc::new(Round::new(source.borrow_and_update().clone()));
    let mut asks = FuturesUnordered::new();
    // Who is being asked, and who was asked in this round.
    let (mut busy, mut asked) = (BTreeSet::new(), BTreeSet::new());
    let mut next = Instant::now();
    let (mut answered, mut waited) = (false, false);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(next) => {
                asked.clear();
                let period = round.source.poll_interval.mul_f64(0.95 + 0.1 * random());
                next = Instant::now() + period;
            }
            Some((server, ok)) = asks.next(), if !asks.is_empty() => {
                let server: usize = server;
                busy.remove(&server);
                answered |= ok;
                match ok {
                    true => round.servers.borrow_mut().answered(server),
                    false => round.servers.borrow_mut().failed(unix_time_millis(), server, random()),
                }
            }
            () = tokio::time::sleep_until(began + FIRST), if !answered && !waited => {
                waited = true;
                members.serve_restored();
                continue;
            }
            new = source.changed() => {
                if new.is_err() {
                    return;
                }
                // What is being asked of the servers before counts for nothing.
                asks = FuturesUnordered::new();
                (busy, asked) = (BTreeSet::new(), BTreeSet::new());
                round = Rc::new(Round::new(source.borrow_and_update().clone()));
                next = Instant::now();
                continue;
            }
        }
        // One that failed makes room for the next at once.
        let chosen = round
            .servers
            .borrow()
            .choose(unix_time_millis(), round.source.servers_per_round);
        for server in chosen {
            if !busy.contains(&server) && asked.insert(server) {
                busy.insert(server);
                let (round, members) = (round.clone(), members.clone());
                asks.push(async move { (server, round.ask(server, &members).await) });
            }
        }
        if asks.is_empty() && !answered {
            members.serve_restored();
        }
    }
}
