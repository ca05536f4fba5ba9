//! Keeps this process in step with the dispatcher's other processes: how many share the limits, and which engines
//! operators have drained.

use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::server::ServerError;
use crate::server::instance_registry::InstanceRegistry;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How often the shared directory is read: an operator's call is in force in all processes within 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Opens the registry of this dispatcher's processes and applies what it holds, before the first engine is known; then
/// follows it in a task of its own. `on_processes` is called with the number of living processes whenever it changes.
///
/// # Errors
/// The directory cannot be used.
pub(super) fn coordinate<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    directory: Option<&Path>,
    on_processes: impl Fn(u32) + 'static,
) -> Result<Rc<InstanceRegistry>, ServerError> {
    let failed = |source: io::Error| ServerError::StateDirectory {
        directory: directory.map(Path::to_path_buf),
        source,
    };
    let instances = Rc::new(InstanceRegistry::open(directory).map_err(failed)?);
    let drained = instances.drained_engines().map_err(failed)?;
    router.apply_administrative_drains(&drained.unwrap_or_default());
    let follower = Follower {
        processes: instances.processes().map_err(failed)?,
        instances: instances.clone(),
        router: router.clone(),
        on_processes,
    };
    follower.divide_limits();
    spawn_local(follower.run());
    Ok(instances)
}

/// Applies what other processes of this dispatcher write to the registry.
struct Follower<U: Upstream, F: Fn(u32)> {
    instances: Rc<InstanceRegistry>,
    router: Rc<RequestRouter<U>>,
    on_processes: F,
    /// Living processes, as last read.
    processes: u32,
}

impl<U: Upstream, F: Fn(u32)> Follower<U, F> {
    async fn run(mut self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.poll_processes();
            self.poll_drains();
        }
    }

    fn poll_processes(&mut self) {
        match self.instances.processes() {
            Ok(processes) if processes != self.processes => {
                log_line!("{processes} processes of this dispatcher share its limits");
                self.processes = processes;
                self.divide_limits();
            }
            Ok(_) => {}
            Err(error) => log_line!("the folder for state: {error}"),
        }
    }

    fn poll_drains(&self) {
        match self.instances.drained_engines() {
            Ok(Some(drained)) => self.router.apply_administrative_drains(&drained),
            Ok(None) => {}
            // What cannot be read changes nothing.
            Err(error) => log_line!("the folder for state: {error}"),
        }
    }

    fn divide_limits(&self) {
        self.router.set_process_count(self.processes);
        (self.on_processes)(self.processes);
    }
}
