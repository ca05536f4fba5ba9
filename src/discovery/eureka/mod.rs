//! Client of Eureka's registry API: polls the nearest registries for their lists, and keeps this dispatcher's own lease.
//!
//! How answers are merged into one list is decided by [`crate::membership`]. This module fetches them: `servers` selects
//! the registries, `http` makes the requests, `format` and `model` hold the documents, `replica` applies deltas and
//! checks the hash code, `registration` and `lease` register this dispatcher.

pub mod format;
mod http;
pub mod lease;
pub mod model;
mod registration;
mod replica;
mod servers;
#[cfg(test)]
mod tests;

use crate::clock::process_clock_millis;
use crate::config::EurekaSettings;
use crate::config::eureka::PayloadFormat;
use crate::discovery::membership_driver::MembershipDriver;
use crate::log_line;
use crate::membership::{SourceUpdate, UpdateContent};
use format::FormatError;
use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
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

/// Time from the start for a first answer, after which the engines of the snapshot are served.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why a registry's answer could not be used.
#[derive(Debug, thiserror::Error)]
enum AskError {
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
fn random() -> f64 {
    getrandom::u32().map_or(0.5, |n| f64::from(n) / f64::from(u32::MAX))
}

fn accept(format: PayloadFormat) -> &'static str {
    match format {
        PayloadFormat::Json => "application/json",
        PayloadFormat::Xml => "application/xml",
    }
}

/// One configuration's servers, with a replica of each one's list.
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

    /// Asks one server and passes its answer to membership at once, without waiting for the round's other servers.
    /// Returns whether it answered.
    async fn ask(&self, server: usize, members: &MembershipDriver) -> bool {
        let name = &self.source.servers[server].name;
        match self.update(server, members).await {
            Ok(()) => true,
            Err(e) => {
                self.replicas[server].borrow_mut().forget();
                members.failed(name, e.to_string());
                log_line!("eureka {name}: {e}; what it told before stays");
                false
            }
        }
    }

    /// Fetches a delta if the replica holds a full list, and the full list if it does not or the hash codes differ.
    async fn update(&self, server: usize, members: &MembershipDriver) -> Result<(), AskError> {
        let (source, replica) = (&self.source, &self.replicas[server]);
        let name = &source.servers[server].name;
        let publish = |requested_at: f64, content: UpdateContent| {
            members.view(SourceUpdate {
                source: name.clone(),
                requested_at,
                received_at: process_clock_millis(),
                content,
            });
        };
        if source.query.has_deltas() && replica.borrow().listed() {
            let requested_at = process_clock_millis();
            let document = self.get(server, "/apps/delta").await?;
            let applied = replica.borrow_mut().delta(&document, &source.query)?;
            let differs = applied.differs;
            publish(requested_at, applied.content);
            if !differs {
                return Ok(());
            }
        }
        let requested_at = process_clock_millis();
        let document = self.get(server, &source.query.path()).await?;
        let content = replica.borrow_mut().whole(&document, &source.query)?;
        publish(requested_at, content);
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
        // A registry answers 404 for an application or VIP address without instances: an empty list.
        if answer.status.as_u16() == 404
            && answer.body.is_empty()
            && !self.source.query.has_deltas()
        {
            return Ok(Document::default());
        }
        read(answer, self.source.max_body_bytes).await
    }
}

/// Parses an answer's document; a long one on the blocking thread pool.
async fn read(answer: Answer, max_bytes: usize) -> Result<Document, AskError> {
    if !answer.status.is_success() {
        return Err(HttpError::Status(answer.status).into());
    }
    // A compressed body may expand a thousandfold.
    let small = answer.body.len()
        <= if answer.gzip {
            http::MAX_INLINE_BYTES / 64
        } else {
            http::MAX_INLINE_BYTES
        };
    let parse = move || -> Result<Document, AskError> {
        let body = answer.unpacked(max_bytes)?;
        Ok(format::parse(&answer.kind, &body)?)
    };
    match small {
        true => parse(),
        false => tokio::task::spawn_blocking(parse)
            .await
            .map_err(|_| AskError::Reading)?,
    }
}

/// The polling of the registries of the current configuration.
struct Poller {
    members: Rc<MembershipDriver>,
    round: Rc<Round>,
    /// Requests in flight: each gives the server's index and whether it answered.
    requests: FuturesUnordered<LocalBoxFuture<'static, (usize, bool)>>,
    /// The servers with a request in flight.
    busy: BTreeSet<usize>,
    /// The servers that were asked in this round.
    asked: BTreeSet<usize>,
    next_round: Instant,
    /// Whether any server has answered since the start of the process.
    answered: bool,
}

impl Poller {
    fn new(source: Rc<EurekaSettings>, members: Rc<MembershipDriver>) -> Self {
        Poller {
            members,
            round: Rc::new(Round::new(source)),
            requests: FuturesUnordered::new(),
            busy: BTreeSet::new(),
            asked: BTreeSet::new(),
            next_round: Instant::now(),
            answered: false,
        }
    }

    /// Starts a round, in which every server may be asked again.
    fn start_round(&mut self) {
        self.asked.clear();
        let period = self.round.source.poll_interval;
        self.next_round = Instant::now() + period.mul_f64(0.95 + 0.1 * random());
    }

    /// Records the outcome of a request.
    fn finish_request(&mut self, server: usize, ok: bool) {
        self.busy.remove(&server);
        self.answered |= ok;
        let mut servers = self.round.servers.borrow_mut();
        match ok {
            true => servers.answered(server),
            false => servers.failed(process_clock_millis(), server, random()),
        }
    }

    /// Replaces the configuration; requests to the previous configuration's servers are abandoned.
    fn reconfigure(&mut self, source: Rc<EurekaSettings>) {
        self.requests = FuturesUnordered::new();
        self.busy.clear();
        self.asked.clear();
        self.round = Rc::new(Round::new(source));
        self.next_round = Instant::now();
    }

    /// Asks the selected servers that have not been asked in this round. A failure moves the selection on to the next
    /// server at once. If there is nobody to ask and nobody has answered yet, the snapshot is served.
    fn send_requests(&mut self) {
        let selected = self
            .round
            .servers
            .borrow()
            .choose(process_clock_millis(), self.round.source.servers_per_round);
        for server in selected {
            if !self.busy.contains(&server) && self.asked.insert(server) {
                self.busy.insert(server);
                let (round, members) = (self.round.clone(), self.members.clone());
                let request = async move { (server, round.ask(server, &members).await) };
                self.requests.push(request.boxed_local());
            }
        }
        if self.requests.is_empty() && !self.answered {
            self.members.serve_restored();
        }
    }
}

/// Polls the registries until `source` closes, and passes their answers to `members`. A new configuration replaces the
/// previous one at once, while membership is kept. Must run in a `LocalSet`.
pub async fn follow(
    mut source: watch::Receiver<Rc<EurekaSettings>>,
    members: Rc<MembershipDriver>,
) {
    let restore_at = Instant::now() + FIRST_ANSWER_TIMEOUT;
    let mut restored = false;
    let mut poller = Poller::new(source.borrow_and_update().clone(), members);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(poller.next_round) => poller.start_round(),
            Some((server, ok)) = poller.requests.next(), if !poller.requests.is_empty() => {
                poller.finish_request(server, ok);
            }
            () = tokio::time::sleep_until(restore_at), if !poller.answered && !restored => {
                restored = true;
                poller.members.serve_restored();
                continue;
            }
            changed = source.changed() => {
                if changed.is_err() {
                    return;
                }
                poller.reconfigure(source.borrow_and_update().clone());
                continue;
            }
        }
        poller.send_requests();
    }
}
