//! Process that serves the platform's protocol: frames from clients, RESP to engines, and the endpoint list
//! from the journal.

use crate::admin::ReportSources;
use crate::config::{ConfigError, PlatformConfig};
use crate::core::Core;
use crate::discovery::Discovery;
use crate::discovery::journal::Journal;
use crate::dispatch::RequestRouter;
use crate::dispatch::gossip_driver;
use crate::frontend::frames::Frontend;
use crate::log_line;
use crate::server::graceful_shutdown::{ShutdownPlan, shut_down_on_sigterm};
use crate::server::instance_coordination::coordinate;
use crate::server::operators::OperatorsListener;
use crate::server::reload::{Reloaded, reload_on_sighup};
use crate::server::signals::{SIGHUP, SIGTERM, Signals};
use crate::server::{ServerError, core_limits, process_metrics};
use crate::transport::buffer_pool::BufferPool;
use crate::transport::descriptors::{self, DescriptorBudget};
use crate::transport::listener;
use crate::upstream::resp::RespUpstream;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Serves clients until SIGTERM and the last answer. `inherited_descriptors` is the number of descriptors
/// that were open when the process started; they count against its limit.
///
/// # Errors
/// The configuration, or a socket or directory that it names, cannot be used.
pub async fn serve(inherited_descriptors: usize) -> Result<(), ServerError> {
    let mut sigterm = Signals::new(SIGTERM)?;
    let sighup = Signals::new(SIGHUP)?;
    let mut config = read_configuration(inherited_descriptors)?;
    let pool = BufferPool::default();
    let router = request_router(&config, &pool)?;
    let (journal_address, address) = watch::channel(config.journal_address);
    let journal = Journal::new(address, config.journal_events.take(), config.seed)
        .map_err(ServerError::KnownEvents)?;
    let listener = listener::listen(config.listen, config.inherited_descriptor).await?;
    let listen_address = listener.local_addr()?;
    let frontend = Frontend::new(router.clone(), pool.clone(), &config.limits);
    let limited_frontend = frontend.clone();
    let instances = coordinate(
        &router,
        config.state_directory.as_deref(),
        move |processes| {
            limited_frontend.set_process_count(processes);
        },
    )?;
    if let Some(directory) = instances.directory() {
        let failed = |source| ServerError::StateDirectory {
            directory: Some(directory.to_path_buf()),
            source,
        };
        frontend.share_request_ids(directory).map_err(failed)?;
    }
    let reported_frontend = frontend.clone();
    let client_report = Rc::new(move || reported_frontend.client_report());
    let operators = OperatorsListener {
        router: router.clone(),
        pool,
        instances,
        sources: ReportSources {
            clients: Some(client_report),
            ..ReportSources::default()
        },
        max_callers: DescriptorBudget::per_process(config.limits.max_sockets, 1).operators,
    };
    operators.listen(config.admin_address).await?;

    if let Some(peers) = config.gossip.clone() {
        spawn_local(gossip_driver::run(Rc::downgrade(&router), peers));
    }
    let change_target = router.clone();
    spawn_local(journal.run(Box::new(move |change| {
        change_target.update_endpoints(&change)
    })));
    spawn_local(router.clone().run_clock());
    spawn_local(process_metrics::log_periodically());
    let accepting = spawn_local(frontend.clone().accept(listener));
    log_line!("{} listens on {listen_address}", config.name);
    let plan = ShutdownPlan {
        longest_deadline: config.sockets.longest_deadline,
        handed_over: config.inherited_descriptor.is_some(),
    };
    let reload_target = ReloadTarget {
        startup_config: config,
        journal_address,
        frontend: frontend.clone(),
        router: router.clone(),
    };
    spawn_local(reload_on_sighup(
        sighup,
        move || read_configuration(inherited_descriptors),
        move |new| Ok(reload_target.apply(&new)),
    ));
    shut_down_on_sigterm(&mut sigterm, &router, &*frontend, &plan).await;
    drop(accepting);
    Ok(())
}

/// Reads the configuration and lowers its descriptor limit to what the operating system allows.
fn read_configuration(inherited_descriptors: usize) -> Result<PlatformConfig, ConfigError> {
    let mut config = PlatformConfig::from_env(|name| std::env::var(name).ok())?;
    config.limits.max_sockets =
        descriptors::effective_limit(config.limits.max_sockets, inherited_descriptors);
    Ok(config)
}

fn request_router(
    config: &PlatformConfig,
    pool: &BufferPool,
) -> Result<Rc<RequestRouter<RespUpstream>>, ServerError> {
    let limits = core_limits(&config.sockets);
    let core = Core::new(config.settings.clone(), config.seed, limits)?;
    let upstream = RespUpstream::new(
        config.sockets.clone(),
        config.names.report_fields.clone(),
        pool.clone(),
    );
    upstream.set_descriptor_limit(config.limits.max_sockets);
    Ok(RequestRouter::new(core, config.names.clone(), upstream))
}

/// Parts of the running process that a new configuration changes.
struct ReloadTarget {
    /// Configuration that the process started with.
    startup_config: PlatformConfig,
    journal_address: watch::Sender<SocketAddr>,
    frontend: Rc<Frontend<RespUpstream>>,
    router: Rc<RequestRouter<RespUpstream>>,
}

impl ReloadTarget {
    fn apply(&self, new: &PlatformConfig) -> Reloaded {
        self.journal_address.send_if_modified(|address| {
            let changed = *address != new.journal_address;
            *address = new.journal_address;
            changed
        });
        self.frontend.apply_limits(&new.limits);
        self.router
            .upstream()
            .set_descriptor_limit(new.limits.max_sockets);
        match self.startup_config.needs_restart(new) {
            Some(key) => Reloaded::AppliedExcept(key),
            None => Reloaded::Applied,
        }
    }
}
