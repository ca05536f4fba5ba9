//! Keeps this dispatcher registered, so that proxies find it: `registration` decides what to
//! send, this module sends it.

use crate::clock::duration_from_millis;
use crate::clock::unix_time_millis;
use crate::config::EurekaSettings;
use crate::config::eureka::InstanceRegistration;
use crate::discovery::eureka::http::{Answer, Call, Client, HttpError};
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

/// How often it is looked at how the dispatcher stands: proxies hear of its end within this and an exchange.
const LOOK: Duration = Duration::from_millis(100);
/// The end waits no longer for a registry.
const GOODBYE: Duration = Duration::from_millis(800);
/// Renewals between two looks at what the registry shows of us.
const LOOK_BACK: u64 = 4;

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
    /// What the registry showed of us last, if that is not what we told.
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
                1 << 20,
            ),
            servers: RefCell::new(Servers::new(&zones, source.zone.as_deref(), random)),
            state: RefCell::new(Registration::new(unix_time_millis(), renew)),
            differs: RefCell::default(),
            registration,
            source,
        }))
    }

    /// Registers and renews with the status that corresponds to `stand`, which is polled every 100 ms between requests. Returns
    /// once the lease is handed over or cancelled.
    pub async fn keep(self: Rc<Self>, stand: impl Fn() -> Standing) {
        loop {
            let now = unix_time_millis();
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
                    .done(unix_time_millis(), step, outcome, random());
                let renewed = self.state.borrow().renewed;
                if matches!(step, Step::Renew(_)) && renewed % LOOK_BACK == 1 {
                    self.look_back(status).await;
                }
                continue;
            }
            let Some(next) = self.state.borrow().next() else {
                return;
            };
            tokio::time::sleep(duration_from_millis(next - now).min(LOOK)).await;
        }
    }

    /// Cancels the registration, if there is one. Waits at most 800 ms for a registry; failures are logged.
    pub async fn cancel(&self) {
        if self.state.borrow_mut().finish() {
            let outcome = tokio::time::timeout(GOODBYE, self.send(Step::Cancel)).await;
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

    /// Sends a step to the first server that takes it.
    async fn send(&self, step: Step) -> Outcome {
        let call = self.call(step);
        let mut tried = vec![];
        loop {
            let chosen = self
                .servers
                .borrow()
                .choose(unix_time_millis(), self.source.servers.len());
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
                        .failed(unix_time_millis(), server, random());
                }
            }
        }
    }

    fn call(&self, step: Step) -> Call {
        let r = &self.registration;
        let (dirty, own) = (
            self.state.borrow().dirty(),
            format!("/apps/{}/{}", r.app, r.instance_id),
        );
        let accept = "application/json";
        match step {
            Step::Register(status) => Call {
                method: Method::POST,
                path: format!("/apps/{}", r.app),
                accept,
                body: Some((accept, Bytes::from(instance(r, status, dirty).to_string()))),
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

    /// Reads our own instance back: somebody may have set another status over ours.
    async fn look_back(&self, told: Status) {
        let Some(server) = self
            .servers
            .borrow()
            .choose(unix_time_millis(), 1)
            .first()
            .copied()
        else {
            return;
        };
        let call = Call::get(
            format!("/instances/{}", self.registration.instance_id),
            "application/json",
        );
        let Ok(answer) = self.client.call(server, &call).await else {
            return;
        };
        let Ok(body) = answer.unpacked(1 << 20) else {
            return;
        };
        let Ok(document) = format::parse(&answer.kind, &body) else {
            return;
        };
        let Some(shown) = document
            .applications
            .iter()
            .flat_map(|a| &a.instances)
            .next()
        else {
            return;
        };
        let fact = shown.fact(false);
        let status = fact.overridden.unwrap_or(fact.status);
        let differs = (status != told).then(|| {
            format!(
                "{} shows {} where {} was told",
                self.source.servers[server].name,
                status.as_str(),
                told.as_str()
            )
        });
        if differs != *self.differs.borrow() {
            if let Some(text) = &differs {
                log_line!("eureka: {text}");
            }
            *self.differs.borrow_mut() = differs;
        }
    }
}

/// Our own instance, as a registration words it.
fn instance(r: &InstanceRegistration, status: Status, dirty: u64) -> serde_json::Value {
    json!({ "instance": {
        "instanceId": r.instance_id,
        "hostName": r.host,
        "app": r.app,
        "ipAddr": r.ip.to_string(),
    "vipAddress" : r.vip_address, "status" : status.as_str(),
        "overriddenstatus": "UNKNOWN",
        "port": { "$": r.port, "@enabled": "true" },
        "securePort": { "$": 443, "@enabled": "false" },
        "countryId": 1,
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
            "name": "MyOwn"
        },
        "leaseInfo": {
            "renewalIntervalInSecs": r.renewal_interval.as_secs().max(1),
            "durationInSecs": r.lease_duration.as_secs().max(1)
        },
        "metadata": r.metadata,
        "lastDirtyTimestamp": dirty.to_string(),
        "isCoordinatingDiscoveryServer": "false",
    }})
}
