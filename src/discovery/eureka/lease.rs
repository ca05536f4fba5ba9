//! Keeps this dispatcher registered, so that proxies find it: the `registration` module decides what to send, this one
//! sends it.

use crate::clock::duration_from_millis;
use crate::clock::process_clock_millis;
use crate::config::EurekaSettings;
use crate::config::eureka::InstanceRegistration;
use crate::discovery::eureka::http::{Answer, Call, Client, HttpError};
use crate::discovery::eureka::model::Instance;
use crate::discovery::eureka::registration::{Outcome, Registration, Step};
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

/// Interval between checks of the dispatcher's state: a shutdown is registered within this time plus one exchange.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the cancellation of the lease.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of renewals from one check of the registry's entry of this dispatcher to the next.
const RENEWALS_PER_CHECK: u64 = 4;
/// Maximum size of a registry's answer, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The dispatcher's state, as far as its registration depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Started, but not ready to serve clients.
    Starting,
    /// Serving clients.
    Ready,
    /// Shutting down, with no successor.
    Ending,
    /// Shutting down, while another process of this dispatcher keeps the same lease.
    HandedOver,
}

/// This dispatcher's lease at the registries.
pub struct Lease {
    source: Rc<EurekaSettings>,
    registration: InstanceRegistration,
    client: Client,
    servers: RefCell<Servers>,
    state: RefCell<Registration>,
    /// How the registry's entry differed from what was registered, when it was last checked.
    differs: RefCell<Option<String>>,
}

impl Lease {
    /// Creates the lease; `None` if the configuration has no registration.
    pub fn new(source: Rc<EurekaSettings>) -> Option<Rc<Self>> {
        let registration = source.registration.clone()?;
        let zones: Vec<Option<String>> = source.servers.iter().map(|s| s.zone.clone()).collect();
        let renew = registration.renewal_interval.as_secs_f64() * 1000.0;
        Some(Rc::new(Lease {
            client: Client::new(
                source.servers.clone(),
                source.request_timeout.min(Duration::from_secs(5)),
                MAX_BODY_BYTES,
            ),
            servers: RefCell::new(Servers::new(&zones, source.zone.as_deref(), random)),
            state: RefCell::new(Registration::new(process_clock_millis(), renew)),
            differs: RefCell::default(),
            registration,
            source,
        }))
    }

    /// Registers and renews with the status that corresponds to `stand`, which is polled every 100 ms between requests. Returns
    /// once the lease is handed over or cancelled.
    pub async fn keep(self: Rc<Self>, stand: impl Fn() -> Standing) {
        loop {
            let now = process_clock_millis();
            let status = match stand() {
                Standing::Starting => Status::Starting,
                Standing::Ready => Status::Up,
                Standing::Ending => Status::OutOfService,
                Standing::HandedOver => {
                    self.state.borrow_mut().leave();
                    return;
                }
            };
            self.state.borrow_mut().want(now, status);
            let step = self.state.borrow().due(now);
            if let Some(step) = step {
                let outcome = self.send(step).await;
                self.state
                    .borrow_mut()
                    .done(process_clock_millis(), step, outcome, random());
                let renewed = self.state.borrow().renewed;
                if matches!(step, Step::Renew(_)) && renewed % RENEWALS_PER_CHECK == 1 {
                    self.check_shown(status).await;
                }
                continue;
            }
            let Some(next) = self.state.borrow().next() else {
                return;
            };
            tokio::time::sleep(duration_from_millis(next - now).min(CHECK_INTERVAL)).await;
        }
    }

    /// Cancels the registration, if there is one. Waits at most 800 ms for a registry; failures are logged.
    pub async fn cancel(&self) {
        if self.state.borrow_mut().finish() {
            let outcome = tokio::time::timeout(CANCEL_TIMEOUT, self.send(Step::Cancel)).await;
            match outcome {
                Ok(Outcome::Done | Outcome::Unknown) => {
                    log_line!("eureka: our registration is cancelled")
                }
                _ => {
                    log_line!(
                        "eureka: our registration could not be cancelled, and ends with its lease"
                    )
                }
            }
        }
    }

    /// How the status in the registry differs from the one that was registered, for instance through an operator's
    /// override; `None` if it does not.
    pub fn differs(&self) -> Option<String> {
        self.differs.borrow().clone()
    }

    /// Sends a request to the servers in turn until one accepts it or answers 404.
    async fn send(&self, step: Step) -> Outcome {
        let call = self.call(step);
        let mut tried = vec![];
        loop {
            let chosen = self
                .servers
                .borrow()
                .choose(process_clock_millis(), self.source.servers.len());
            let Some(server) = chosen.into_iter().find(|s| !tried.contains(s)) else {
                return Outcome::Failed;
            };
            tried.push(server);
            let name = &self.source.servers[server].name;
            match self.client.call(server, &call).await {
                Ok(Answer { status, .. }) if status.is_success() => {
                    self.servers.borrow_mut().answered(server);
                    if let Step::Register(s) = step {
                        log_line!(
                            "eureka {name}: registered as {} with status {}",
                            self.registration.instance_id,
                            s.as_str()
                        );
                    }
                    return Outcome::Done;
                }
                Ok(Answer { status, .. }) if status.as_u16() == 404 => {
                    self.servers.borrow_mut().answered(server);
                    return Outcome::Unknown;
                }
                other => {
                    let problem = match other {
                        Ok(answer) => HttpError::Status(answer.status).to_string(),
                        Err(e) => e.to_string(),
                    };
                    log_line!("eureka {name}: our registration: {problem}");
                    self.servers
                        .borrow_mut()
                        .failed(process_clock_millis(), server, random());
                }
            }
        }
    }

    /// The HTTP request for a step.
    fn call(&self, step: Step) -> Call {
        let registration = &self.registration;
        let (dirty, own) = (
            self.state.borrow().dirty(),
            format!("/apps/{}/{}", registration.app, registration.instance_id),
        );
        let accept = "application/json";
        match step {
            Step::Register(status) => Call {
                method: Method::POST,
                path: format!("/apps/{}", registration.app),
                accept,
                body: Some((
                    accept,
                    Bytes::from(instance(registration, status, dirty).to_string()),
                )),
            },
            Step::Renew(status) => Call {
                method: Method::PUT,
                path: format!(
                    "{own}?status={}&lastDirtyTimestamp={dirty}",
                    status.as_str()
                ),
                accept,
                body: None,
            },
            Step::Cancel => Call {
                method: Method::DELETE,
                path: own,
                accept,
                body: None,
            },
        }
    }

    /// Compares the registry's entry with `registered`: an operator may have overridden the status.
    async fn check_shown(&self, registered: Status) {
        let Some(server) = self
            .servers
            .borrow()
            .choose(process_clock_millis(), 1)
            .first()
            .copied()
        else {
            return;
        };
        let Some(shown) = self.fetch_own(server).await else {
            return;
        };
        let record = shown.fact(false);
        let status = record.overridden.unwrap_or(record.status);
        let differs = (status != registered).then(|| {
            format!(
                "{} shows {} where {} was told",
                self.source.servers[server].name,
                status.as_str(),
                registered.as_str()
            )
        });
        if differs != *self.differs.borrow() {
            if let Some(text) = &differs {
                log_line!("eureka: {text}");
            }
            *self.differs.borrow_mut() = differs;
        }
    }

    /// The registry's entry of this dispatcher, if it can be fetched.
    async fn fetch_own(&self, server: usize) -> Option<Instance> {
        let path = format!("/instances/{}", self.registration.instance_id);
        let call = Call::get(path, "application/json");
        let answer = self.client.call(server, &call).await.ok()?;
        let body = answer.unpacked(MAX_BODY_BYTES).ok()?;
        let document = format::parse(&answer.kind, &body).ok()?;
        document
            .applications
            .into_iter()
            .flat_map(|a| a.instances)
            .next()
    }
}

/// The body of a registration of this dispatcher.
fn instance(registration: &InstanceRegistration, status: Status, dirty: u64) -> serde_json::Value {
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
