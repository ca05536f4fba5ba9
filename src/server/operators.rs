//! Listener of the operators' HTTP service: binds the configured address and starts the service.

use crate::admin::{Admin, ReportSources};
use crate::dispatch::{RequestRouter, Upstream};
use crate::log_line;
use crate::server::ServerError;
use crate::server::instance_registry::InstanceRegistry;
use crate::transport::buffer_pool::BufferPool;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Dependencies of the operators' HTTP service.
pub(super) struct OperatorsListener<U: Upstream> {
    pub(super) router: Rc<RequestRouter<U>>,
    pub(super) pool: BufferPool,
    pub(super) instances: Rc<InstanceRegistry>,
    pub(super) sources: ReportSources,
    /// Maximum number of concurrent connections.
    pub(super) max_callers: usize,
}

impl<U: Upstream> OperatorsListener<U> {
    /// Binds `address`, if there is one, and serves operators there in a separate task.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(super) async fn listen(self, address: Option<SocketAddr>) -> Result<(), ServerError> {
        let Some(address) = address else {
            return Ok(());
        };
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| ServerError::AdminListen { address, source })?;
        log_line!("operators call at {}", listener.local_addr()?);
        let admin = Admin::new(
            self.router,
            self.pool,
            self.instances,
            self.sources,
            self.max_callers,
        );
        spawn_local(admin.accept(listener));
        Ok(())
    }
}
