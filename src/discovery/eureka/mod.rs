//! Client of Eureka's registry API: polls the nearest registries for their instances and maintains this
//! dispatcher's own lease.
//!
//! [`crate::membership`] merges the responses into one endpoint list. This module fetches them: `servers`
//! selects the registries, `http` makes the requests, `format` and `model` parse and represent the documents,
//! `replica` applies deltas and checks the hash code, `registration` and `lease` register this dispatcher.

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
use http::{Client, HttpError, RegistryRequest, RegistryResponse};
use model::Document;
use replica::{Replica, ReplicaError};
use servers::Servers;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time from the start of polling without a response after which the engines of the snapshot are served.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why polling a registry failed. The text is reported at `/_members`.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The HTTP exchange failed or its status is not a success.
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
    ParseTask,
}

/// Returns a random number from 0 to 1, for delays and orders that should differ between dispatchers.
fn random() -> f64 {
    getrandom::u32().map_or(0.5, |number| f64::from(number) / f64::from(u32::MAX))
}

/// Returns the media type of a format, for the `Accept` header.
fn media_type(format: PayloadFormat) -> &'static str {
    match format {
        PayloadFormat::Json => "application/json",
        PayloadFormat::Xml => "application/xml",
    }
}

/// The registry servers of one configuration, with a replica of each one's list.
struct RegistrySet {
    source: Rc<EurekaSettings>,
    client: Client,
    replicas: Vec<RefCell<Replica>>,
    servers: RefCell<Servers>,
}

impl RegistrySet {
    fn new(source: Rc<EurekaSettings>) -> Self {
        let zones: Vec<Option<String>> = source
            .servers
            .iter()
            .map(|server| server.zone.clone())
            .collect();
        RegistrySet {
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

    /// Polls one server and passes its response to membership at once, without waiting for the other servers
    /// of the polling round. Returns whether the poll succeeded.
    async fn poll(&self, server: usize, members: &MembershipDriver) -> bool {
        let name = &self.source.servers[server].name;
        match self.fetch_updates(server, members).await {
            Ok(()) => true,
            Err(e) => {
                self.replicas[server].borrow_mut().invalidate();
                members.record_source_failure(name, e.to_string());
                log_line!("eureka {name}: {e}; keeping its previous list");
                false
            }
        }
    }

    /// Fetches a delta if the replica holds a full list, and the full list if the replica has none or the
    /// hash codes differ. Passes each update to membership.
    async fn fetch_updates(
        &self,
        server: usize,
        members: &MembershipDriver,
    ) -> Result<(), FetchError> {
        let (source, replica) = (&self.source, &self.replicas[server]);
        let name = &source.servers[server].name;
        let publish = |requested_at: f64, content: UpdateContent| {
            members.apply_update(SourceUpdate {
                source: name.clone(),
                requested_at,
                received_at: process_clock_millis(),
                content,
            });
        };
        if source.query.has_deltas() && replica.borrow().has_full_list() {
            let requested_at = process_clock_millis();
            let document = self.fetch_document(server, "/apps/delta").await?;
            let applied = replica.borrow_mut().apply_delta(&document, &source.query)?;
            let needs_full_list = applied.needs_full_list;
            publish(requested_at, applied.content);
            if !needs_full_list {
                return Ok(());
            }
        }
        let requested_at = process_clock_millis();
        let document = self.fetch_document(server, &source.query.path()).await?;
        let content = replica
            .borrow_mut()
            .apply_full_list(&document, &source.query)?;
        publish(requested_at, content);
        Ok(())
    }

    async fn fetch_document(&self, server: usize, path: &str) -> Result<Document, FetchError> {
        let regions = self.source.remote_regions.join(",");
        let query = if regions.is_empty() {
            String::new()
        } else {
            format!("?regions={regions}")
        };
        let request =
            RegistryRequest::get(format!("{path}{query}"), media_type(self.source.format));
        let response = self.client.execute(server, &request).await?;
        // A registry responds with 404 for an application or VIP address without instances: an empty list.
        if response.status.as_u16() == 404
            && response.body.is_empty()
            && !self.source.query.has_deltas()
        {
            return Ok(Document::default());
        }
        parse_response(response, self.source.max_body_bytes).await
    }
}

/// Parses the document in a response; a large one on the blocking thread pool.
async fn parse_response(
    response: RegistryResponse,
    max_bytes: usize,
) -> Result<Document, FetchError> {
    if !response.status.is_success() {
        return Err(HttpError::Status(response.status).into());
    }
    // A compressed body may expand a thousandfold, so the threshold for it is lower.
    let parse_inline = response.body.len()
        <= if response.gzip {
            http::MAX_INLINE_BYTES / 64
        } else {
            http::MAX_INLINE_BYTES
        };
    let parse = move || -> Result<Document, FetchError> {
        let body = response.decompressed_body(max_bytes)?;
        Ok(format::parse(&response.content_type, &body)?)
    };
    match parse_inline {
        true => parse(),
        false => tokio::task::spawn_blocking(parse)
            .await
            .map_err(|_| FetchError::ParseTask)?,
    }
}

/// State of the polling of the current configuration's registries.
struct Poller {
    members: Rc<MembershipDriver>,
    registries: Rc<RegistrySet>,
    /// Polls in flight; each returns the server's index and whether it succeeded.
    polls: FuturesUnordered<LocalBoxFuture<'static, (usize, bool)>>,
    /// Indices of the servers with a poll in flight.
    polls_in_flight: BTreeSet<usize>,
    /// Indices of the servers that were polled in this round.
    polled: BTreeSet<usize>,
    next_round: Instant,
    /// Whether any server has responded since polling started.
    any_response: bool,
}

impl Poller {
    fn new(source: Rc<EurekaSettings>, members: Rc<MembershipDriver>) -> Self {
        Poller {
            members,
            registries: Rc::new(RegistrySet::new(source)),
            polls: FuturesUnordered::new(),
            polls_in_flight: BTreeSet::new(),
            polled: BTreeSet::new(),
            next_round: Instant::now(),
            any_response: false,
        }
    }

    /// Starts a round, in which every server may be polled again.
    fn start_round(&mut self) {
        self.polled.clear();
        let period = self.registries.source.poll_interval;
        self.next_round = Instant::now() + period.mul_f64(0.95 + 0.1 * random());
    }

    /// Records the outcome of a poll.
    fn finish_poll(&mut self, server: usize, succeeded: bool) {
        self.polls_in_flight.remove(&server);
        self.any_response |= succeeded;
        let mut servers = self.registries.servers.borrow_mut();
        match succeeded {
            true => servers.record_success(server),
            false => servers.record_failure(process_clock_millis(), server, random()),
        }
    }

    /// Replaces the configuration; polls of the previous configuration's servers are abandoned.
    fn reconfigure(&mut self, source: Rc<EurekaSettings>) {
        self.polls = FuturesUnordered::new();
        self.polls_in_flight.clear();
        self.polled.clear();
        self.registries = Rc::new(RegistrySet::new(source));
        self.next_round = Instant::now();
    }

    /// Polls the selected servers that have not been polled in this round. A failed server is in backoff, so
    /// the selection moves on to the next one at once. If no server can be polled and none has responded yet,
    /// the snapshot is served.
    fn start_polls(&mut self) {
        let selected = self.registries.servers.borrow().choose(
            process_clock_millis(),
            self.registries.source.servers_per_round,
        );
        for server in selected {
            if !self.polls_in_flight.contains(&server) && self.polled.insert(server) {
                self.polls_in_flight.insert(server);
                let (registries, members) = (self.registries.clone(), self.members.clone());
                let poll = async move { (server, registries.poll(server, &members).await) };
                self.polls.push(poll.boxed_local());
            }
        }
        if self.polls.is_empty() && !self.any_response {
            self.members.serve_restored();
        }
    }
}

/// Polls the registries until `source` closes, and passes their responses to `members`. A new configuration
/// replaces the previous one at once; the membership is kept. Must run in a `LocalSet`.
pub async fn follow(
    mut source: watch::Receiver<Rc<EurekaSettings>>,
    members: Rc<MembershipDriver>,
) {
    let restore_deadline = Instant::now() + FIRST_RESPONSE_TIMEOUT;
    let mut restored = false;
    let mut poller = Poller::new(source.borrow_and_update().clone(), members);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(poller.next_round) => poller.start_round(),
            Some((server, succeeded)) = poller.polls.next(), if !poller.polls.is_empty() => {
                poller.finish_poll(server, succeeded);
            }
            () = tokio::time::sleep_until(restore_deadline), if !poller.any_response && !restored => {
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
        poller.start_polls();
    }
}
