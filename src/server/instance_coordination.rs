//! Synchronizes this process with the dispatcher's other processes: how many of them share the limits, and
//! which engines are administratively drained.

use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::server::ServerError;
use crate::server::instance_registry::InstanceRegistry;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Interval between reads of the shared directory: an operator's request takes effect in all processes within
/// 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Opens the registry of this dispatcher's processes and applies its content before any engine is known, then
/// polls it in a separate task. Calls `on_process_count` with the number of live processes now and after each
/// change.
///
/// # Errors
/// The directory cannot be used.
pub(super) fn coordinate<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    directory: Option<&Path>,
    on_process_count: impl Fn(u32) + 'static,
) -> Result<Rc<InstanceRegistry>, ServerError> {
    let failed = |source: io::Error| ServerError::StateDirectory {
        directory: directory.map(Path::to_path_buf),
        source,
    };
    let instances = Rc::new(InstanceRegistry::open(directory).map_err(failed)?);
    let drained = instances.drained_engines().map_err(failed)?;
    router.apply_administrative_drains(&drained.unwrap_or_default());
    let poller = SharedStatePoller {
        processes: instances.live_process_count().map_err(failed)?,
        instances: instances.clone(),
        router: router.clone(),
        on_process_count,
    };
    poller.apply_process_count();
    spawn_local(poller.run());
    Ok(instances)
}

/// Polls the registry and applies what other processes of this dispatcher write to it.
struct SharedStatePoller<U: Upstream, F: Fn(u32)> {
    instances: Rc<InstanceRegistry>,
    router: Rc<RequestRouter<U>>,
    on_process_count: F,
    /// Number of live processes, as last read.
    processes: u32,
}

impl<U: Upstream, F: Fn(u32)> SharedStatePoller<U, F> {
    async fn run(mut self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.poll_processes();
            self.poll_drains();
        }
    }

    fn poll_processes(&mut self) {
        match self.instances.live_process_count() {
            Ok(processes) if processes != self.processes => {
                log_line!("{processes} processes of this dispatcher share its limits");
                self.processes = processes;
                self.apply_process_count();
            }
            Ok(_) => {}
            Err(error) => log_line!("the state directory cannot be read: {error}"),
        }
    }

    fn poll_drains(&self) {
        match self.instances.drained_engines() {
            Ok(Some(drained)) => self.router.apply_administrative_drains(&drained),
            Ok(None) => {}
            // After a failed read the current drains stay in effect.
            Err(error) => log_line!("the state directory cannot be read: {error}"),
        }
    }

    fn apply_process_count(&self) {
        self.router.set_process_count(self.processes);
        (self.on_process_count)(self.processes);
    }
}
