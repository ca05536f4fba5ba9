//! Keeps this dispatcher registered, so that proxies find it. The `registration` module decides which request
//! is due; this module sends it.

use crate::clock::duration_from_millis;
use crate::clock::process_clock_millis;
use crate::config::EurekaSettings;
use crate::config::eureka::InstanceRegistration;
use crate::discovery::eureka::http::{Client, HttpError, RegistryRequest, RegistryResponse};
use crate::discovery::eureka::model::Instance;
use crate::discovery::eureka::registration::{LeaseRequest, Outcome, Registration};
use crate::discovery::eureka::servers::Servers;
use crate::discovery::eureka::{format, random};
use crate::log_line;
use crate::membership::Status;
use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks of the dispatcher's state. A shutdown is registered within this time plus one HTTP
/// exchange.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the cancellation of the lease.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of renewals between two checks of the registry's entry of this dispatcher.
const RENEWALS_PER_CHECK: u64 = 4;
/// Maximum size of a registry's response, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The dispatcher's state that determines the status of its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatcherState {
    /// Started, but not ready to serve clients.
    Starting,
    /// Serving clients.
    Ready,
    /// Shutting down, without a successor process.
    ShuttingDown,
    /// Shutting down, while another process of this dispatcher maintains the same lease.
    HandedOver,
}

/// This dispatcher's lease at the registries.
pub struct Lease {
    source: Rc<EurekaSettings>,
    registration: InstanceRegistration,
    client: Client,
    servers: RefCell<Servers>,
    state: RefCell<Registration>,
    /// How the registry's entry differed from the registration at the last check; `None` if it did not.
    mismatch: RefCell<Option<String>>,
}

impl Lease {
    /// Creates the lease; returns `None` if the configuration has no registration.
    pub fn new(source: Rc<EurekaSettings>) -> Option<Rc<Self>> {
        let registration = source.registration.clone()?;
        let zones: Vec<Option<String>> = source
            .servers
            .iter()
            .map(|server| server.zone.clone())
            .collect();
        let renewal_interval_ms = registration.renewal_interval.as_secs_f64() * 1000.0;
        Some(Rc::new(Lease {
            client: Client::new(
                source.servers.clone(),
                source.request_timeout.min(Duration::from_secs(5)),
                MAX_BODY_BYTES,
            ),
            servers: RefCell::new(Servers::new(&zones, source.zone.as_deref(), random)),
            state: RefCell::new(Registration::new(
                process_clock_millis(),
                renewal_interval_ms,
            )),
            mismatch: RefCell::default(),
            registration,
            source,
        }))
    }

    /// Registers this dispatcher and renews the lease, with the status that corresponds to `current_state`,
    /// which is checked every 100 ms between requests. Returns once the lease is handed over or cancelled.
    pub async fn run(self: Rc<Self>, current_state: impl Fn() -> DispatcherState) {
        loop {
            let now = process_clock_millis();
            let status = match current_state() {
                DispatcherState::Starting => Status::Starting,
                DispatcherState::Ready => Status::Up,
                DispatcherState::ShuttingDown => Status::OutOfService,
                DispatcherState::HandedOver => {
                    self.state.borrow_mut().hand_over();
                    return;
                }
            };
            self.state.borrow_mut().set_status(now, status);
            let request = self.state.borrow().due_request(now);
            if let Some(request) = request {
                let outcome = self.send(request).await;
                self.state.borrow_mut().record_outcome(
                    process_clock_millis(),
                    request,
                    outcome,
                    random(),
                );
                let renewals = self.state.borrow().renewals;
                if matches!(request, LeaseRequest::Renew(_)) && renewals % RENEWALS_PER_CHECK == 1 {
                    self.check_registry_entry(status).await;
                }
                continue;
            }
            let Some(next_due) = self.state.borrow().next_due() else {
                return;
            };
            tokio::time::sleep(duration_from_millis(next_due - now).min(CHECK_INTERVAL)).await;
        }
    }

    /// Cancels the registration, if there is one. Waits at most `CANCEL_TIMEOUT`; failures are logged.
    pub async fn cancel(&self) {
        if self.state.borrow_mut().finish() {
            let outcome =
                tokio::time::timeout(CANCEL_TIMEOUT, self.send(LeaseRequest::Cancel)).await;
            match outcome {
                Ok(Outcome::Accepted | Outcome::NotRegistered) => {
                    log_line!("eureka: cancelled this dispatcher's registration")
                }
                _ => {
                    log_line!(
                        "eureka: cannot cancel this dispatcher's registration; it ends when the lease expires"
                    )
                }
            }
        }
    }

    /// Returns how the status in the registry differs from the registered one, for instance because of an
    /// operator's override; `None` if it does not.
    pub fn status_mismatch(&self) -> Option<String> {
        self.mismatch.borrow().clone()
    }

    /// Sends a request to the servers in turn until one accepts it or responds with 404.
    async fn send(&self, lease_request: LeaseRequest) -> Outcome {
        let request = self.http_request(lease_request);
        let mut tried = vec![];
        loop {
            let selected = self
                .servers
                .borrow()
                .choose(process_clock_millis(), self.source.servers.len());
            let Some(server) = selected.into_iter().find(|server| !tried.contains(server)) else {
                return Outcome::Failed;
            };
            tried.push(server);
            let name = &self.source.servers[server].name;
            match self.client.execute(server, &request).await {
                Ok(RegistryResponse { status, .. }) if status.is_success() => {
                    self.servers.borrow_mut().record_success(server);
                    if let LeaseRequest::Register(new_status) = lease_request {
                        log_line!(
                            "eureka {name}: registered as {} with status {}",
                            self.registration.instance_id,
                            new_status.as_str()
                        );
                    }
                    return Outcome::Accepted;
                }
                Ok(RegistryResponse { status, .. }) if status.as_u16() == 404 => {
                    self.servers.borrow_mut().record_success(server);
                    return Outcome::NotRegistered;
                }
                other => {
                    let problem = match other {
                        Ok(response) => HttpError::Status(response.status).to_string(),
                        Err(e) => e.to_string(),
                    };
                    log_line!("eureka {name}: registration request failed: {problem}");
                    self.servers.borrow_mut().record_failure(
                        process_clock_millis(),
                        server,
                        random(),
                    );
                }
            }
        }
    }

    /// Returns the HTTP request for a lease request.
    fn http_request(&self, lease_request: LeaseRequest) -> RegistryRequest {
        let registration = &self.registration;
        let (dirty, own_path) = (
            self.state.borrow().dirty(),
            format!("/apps/{}/{}", registration.app, registration.instance_id),
        );
        let accept = "application/json";
        match lease_request {
            LeaseRequest::Register(status) => RegistryRequest {
                method: Method::POST,
                path: format!("/apps/{}", registration.app),
                accept,
                body: Some((
                    accept,
                    Bytes::from(registration_body(registration, status, dirty).to_string()),
                )),
            },
            LeaseRequest::Renew(status) => RegistryRequest {
                method: Method::PUT,
                path: format!(
                    "{own_path}?status={}&lastDirtyTimestamp={dirty}",
                    status.as_str()
                ),
                accept,
                body: None,
            },
            LeaseRequest::Cancel => RegistryRequest {
                method: Method::DELETE,
                path: own_path,
                accept,
                body: None,
            },
        }
    }

    /// Compares the status in the registry's entry with `registered`; an operator may have overridden it.
    async fn check_registry_entry(&self, registered: Status) {
        let Some(server) = self
            .servers
            .borrow()
            .choose(process_clock_millis(), 1)
            .first()
            .copied()
        else {
            return;
        };
        let Some(entry) = self.fetch_own_entry(server).await else {
            return;
        };
        let record = entry.to_record(false);
        let status = record.overridden.unwrap_or(record.status);
        let mismatch = (status != registered).then(|| {
            format!(
                "{} shows {} where {} was told",
                self.source.servers[server].name,
                status.as_str(),
                registered.as_str()
            )
        });
        if mismatch != *self.mismatch.borrow() {
            if let Some(text) = &mismatch {
                log_line!("eureka: {text}");
            }
            *self.mismatch.borrow_mut() = mismatch;
        }
    }

    /// Fetches the registry's entry of this dispatcher; `None` on any failure.
    async fn fetch_own_entry(&self, server: usize) -> Option<Instance> {
        let path = format!("/instances/{}", self.registration.instance_id);
        let request = RegistryRequest::get(path, "application/json");
        let response = self.client.execute(server, &request).await.ok()?;
        let body = response.decompressed_body(MAX_BODY_BYTES).ok()?;
        let document = format::parse(&response.content_type, &body).ok()?;
        document
            .applications
            .into_iter()
            .flat_map(|application| application.instances)
            .next()
    }
}

/// Returns the body of a registration of this dispatcher.
fn registration_body(
    registration: &InstanceRegistration,
    status: Status,
    dirty: u64,
) -> serde_json::Value {
    json!({ "instance": {
        "instanceId": registration.instance_id,
        "hostName": registration.host,
        "app": registration.app,
        "ipAddr": registration.ip.to_string(),
        "vipAddress": registration.vip_address,
        "status": status.as_str(),
        "overriddenstatus": "UNKNOWN",
        "port": { "$": registration.port, "@enabled": "true" },
        "securePort": { "$": 443, "@enabled": "false" },
        "countryId": 1,
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
            "name": "MyOwn"
        },
        "leaseInfo": {
            "renewalIntervalInSecs": registration.renewal_interval.as_secs().max(1),
            "durationInSecs": registration.lease_duration.as_secs().max(1)
        },
        "metadata": registration.metadata,
        "lastDirtyTimestamp": dirty.to_string(),
        "isCoordinatingDiscoveryServer": "false",
    }})
}
