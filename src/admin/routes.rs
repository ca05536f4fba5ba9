//! Routes of the operators' HTTP service: reports, and the administrative drain of engines.

use crate::admin::Admin;
use crate::admin::request::Request;
use crate::admin::response::Response;
use crate::dispatch::{AdministrativeDrain, Upstream};
use crate::server::instance_registry::decode_engine_id;
use crate::server::process_metrics;

/// Path prefix of actions on one engine; the action and the encoded engine id follow it.
const ENGINES_PREFIX: &str = "/_engines/";

/// Operation that a path selects.
enum Route<'a> {
    Ready,
    Metrics,
    Invariants,
    Clients,
    Spools,
    Members,
    /// Starts the administrative drain of the engine with this encoded id.
    Drain(&'a str),
    /// Ends the administrative drain of the engine with this encoded id.
    Undrain(&'a str),
}

impl<'a> Route<'a> {
    fn parse(path: &'a str) -> Option<Self> {
        match path {
            "/_ready" => Some(Route::Ready),
            "/_vars" => Some(Route::Metrics),
            "/_invariants" => Some(Route::Invariants),
            "/_clients" => Some(Route::Clients),
            "/_spools" => Some(Route::Spools),
            "/_members" => Some(Route::Members),
            _ => {
                let (action, engine) = path.strip_prefix(ENGINES_PREFIX)?.split_once('/')?;
                match action {
                    "detach" => Some(Route::Drain(engine)),
                    "attach" => Some(Route::Undrain(engine)),
                    _ => None,
                }
            }
        }
    }

    /// Returns the only HTTP method that the route accepts.
    fn method(&self) -> &'static str {
        match self {
            Route::Drain(_) | Route::Undrain(_) => "POST",
            Route::Ready
            | Route::Metrics
            | Route::Invariants
            | Route::Clients
            | Route::Spools
            | Route::Members => "GET",
        }
    }
}

impl<U: Upstream> Admin<U> {
    /// Executes a request and returns its response.
    pub(super) fn respond(&self, request: &Request) -> Response {
        let (path, query) = match request.target.split_once('?') {
            Some(parts) => parts,
            None => (request.target.as_str(), ""),
        };
        let Some(route) = Route::parse(path) else {
            return Response::text(404, format!("no call is named {path}\n"));
        };
        let method = route.method();
        if request.method != method {
            return Response::text(405, format!("{path} is called with {method}\n"));
        }
        match route {
            Route::Ready => self.readiness(),
            Route::Metrics => self.metrics(),
            Route::Invariants => Response::text(200, self.router.invariants()),
            Route::Clients => self.clients(),
            Route::Spools => self.spools(),
            Route::Members => self.members(query),
            Route::Drain(engine) => self.drain(engine),
            Route::Undrain(engine) => self.undrain(engine),
        }
    }

    fn readiness(&self) -> Response {
        if self.router.is_ready() {
            Response::text(200, "ready\n")
        } else {
            Response::text(503, "not ready: no list of engines yet, or shutting down\n")
        }
    }

    fn metrics(&self) -> Response {
        let spools = self.sources.spools.as_ref();
        let spool_metrics = spools.map_or(String::new(), |spools| spools.metrics());
        Response::text(200, self.router.metrics() + &spool_metrics)
    }

    /// Returns the state of the clients' connections, and the memory of the process.
    fn clients(&self) -> Response {
        let Some(clients) = &self.sources.clients else {
            return Response::text(404, "nothing is told of the clients here\n");
        };
        let memory = process_metrics::current().map_or(String::new(), |memory| {
            format!(
                "process.resident_kb={}\nprocess.peak_kb={}\n",
                memory.resident_kb, memory.peak_kb
            )
        });
        Response::text(200, clients() + &memory)
    }

    fn spools(&self) -> Response {
        match &self.sources.spools {
            Some(spools) => Response::json(spools.status_page()),
            None => Response::text(404, "no results are kept here\n"),
        }
    }

    /// Returns the resolved state of the engines that a registry lists, with the reasons for it.
    fn members(&self, query: &str) -> Response {
        let membership = self.sources.membership.borrow();
        match membership
            .as_ref()
            .map(|membership| membership.report_page(query))
        {
            Some(Ok(page)) => Response::json(page),
            Some(Err(error)) => Response::text(400, format!("{error}\n")),
            None => Response::text(404, "no registry lists the engines\n"),
        }
    }

    fn drain(&self, encoded_engine: &str) -> Response {
        let Some(engine) = self.known_engine(encoded_engine) else {
            return unknown_engine();
        };
        // The drain is recorded first, so that a reported success survives the end of this process.
        if let Err(error) = self.instances.drain_engine(&engine) {
            return not_recorded(&error);
        }
        self.router
            .set_administrative_drain(&engine, AdministrativeDrain::Drained);
        Response::text(200, "out\n")
    }

    fn undrain(&self, encoded_engine: &str) -> Response {
        let Some(engine) = self.known_engine(encoded_engine) else {
            return unknown_engine();
        };
        if let Err(error) = self.instances.undrain_engine(&engine) {
            return not_recorded(&error);
        }
        self.router
            .set_administrative_drain(&engine, AdministrativeDrain::Undrained);
        Response::text(200, "in use\n")
    }

    /// Decodes an engine id; returns `None` if no known engine has it.
    fn known_engine(&self, encoded: &str) -> Option<String> {
        decode_engine_id(encoded).filter(|id| self.router.is_known(id))
    }
}

fn unknown_engine() -> Response {
    Response::text(404, "no engine has this id\n")
}

fn not_recorded(error: &std::io::Error) -> Response {
    Response::text(503, format!("it could not be kept: {error}\n"))
}
