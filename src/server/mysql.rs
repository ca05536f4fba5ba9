//! Process that uses the MySQL protocol towards clients and engines.

use crate::admin::ReportSources;
use crate::clock::process_clock_millis;
use crate::config::MysqlConfig;
use crate::core::Core;
use crate::discovery::eureka::lease::DispatcherState;
use crate::dispatch::{RequestRouter, Upstream};
use crate::frontend::mysql::Frontend;
use crate::log_line;
use crate::server::endpoint_source::{
    self, EndpointSource, RegistrationStatusProbe, SharedMembership,
};
use crate::server::graceful_shutdown::{ShutdownPlan, shut_down_on_sigterm};
use crate::server::instance_coordination::coordinate;
use crate::server::instance_registry::{self, InstanceRegistry};
use crate::server::operators::OperatorsListener;
use crate::server::reload::{Reloaded, reload_on_sighup};
use crate::server::signals::{SIGHUP, SIGTERM, Signals};
use crate::server::{ServerError, core_limits, process_metrics};
use crate::spool_io::Spools;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::descriptors::{self, DescriptorBudget};
use crate::transport::listener;
use crate::transport::tls::TlsKeys;
use crate::upstream::mysql::MysqlUpstream;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::spawn_local;

/// Serves MySQL clients, configured by the file at `path`, until SIGTERM and the last answer.
/// `inherited_descriptors` is the number of descriptors that were open when the process started; they count
/// against its limit.
///
/// # Errors
/// The configuration, or a socket, directory or certificate that it names, cannot be used.
pub async fn serve(path: &str, inherited_descriptors: usize) -> Result<(), ServerError> {
    let mut sigterm = Signals::new(SIGTERM)?;
    let sighup = Signals::new(SIGHUP)?;
    let config = MysqlConfig::read(path)?;
    let pool = BufferPool::default();
    let spools = open_spools(&config)?;
    let router = request_router(&config, &pool, &spools)?;
    let listener = listener::listen(config.listen, config.inherited_descriptor).await?;
    let listen_address = listener.local_addr()?;
    let frontend = Frontend::new(
        router.clone(),
        pool.clone(),
        config.frontend.clone(),
        spools.clone(),
    );
    let descriptor_limit = descriptors::effective_limit(usize::MAX, inherited_descriptors);
    frontend.set_descriptor_limit(descriptor_limit);
    let keys = load_keys(&config, &frontend)?;
    let limited_frontend = frontend.clone();
    let limited_spools = spools.clone();
    let instances = coordinate(
        &router,
        config.state_directory.as_deref(),
        move |processes| {
            limited_frontend.set_process_count(processes);
            limited_spools.set_process_count(processes);
        },
    )?;
    let membership = SharedMembership::default();
    let operators = OperatorsListener {
        router: router.clone(),
        pool,
        instances: instances.clone(),
        sources: ReportSources {
            membership: membership.clone(),
            spools: Some(spools.clone()),
            clients: None,
        },
        max_callers: DescriptorBudget::per_process(descriptor_limit, 1).operators,
    };
    operators.listen(config.admin_address).await?;
    let endpoints = follow_endpoints(&config, &router, membership, &instances);
    spawn_local(router.clone().run_clock());
    spawn_local(process_metrics::log_periodically());
    let accepting = spawn_local(frontend.clone().accept(listener));
    log_line!("the MySQL front listens on {listen_address}");
    let plan = ShutdownPlan {
        longest_deadline: config.sockets.longest_deadline,
        handed_over: config.inherited_descriptor.is_some(),
    };
    let mut reload_target = ReloadTarget {
        active_config: config,
        keys,
        frontend: frontend.clone(),
        spools,
        endpoints: endpoints.clone(),
    };
    let path = path.to_string();
    spawn_local(reload_on_sighup(
        sighup,
        move || MysqlConfig::read(&path),
        move |new| reload_target.apply(new),
    ));
    shut_down_on_sigterm(&mut sigterm, &router, &*frontend, &plan).await;
    drop(accepting);
    let lease = endpoints.borrow().lease();
    endpoint_source::cancel(lease).await;
    Ok(())
}

fn request_router(
    config: &MysqlConfig,
    pool: &BufferPool,
    spools: &Rc<Spools>,
) -> Result<Rc<RequestRouter<MysqlUpstream>>, ServerError> {
    let limits = core_limits(&config.sockets);
    let seed = process_clock_millis() as u64;
    let mut core = Core::new(config.settings.clone(), seed, limits)?;
    // There is no gossip here that could confirm the number of dispatchers; without this call the number
    // would stay unconfirmed and engines would stay half used permanently.
    core.confirm_configured_fleet_size();
    let upstream = MysqlUpstream::new(
        config.engine_credentials.clone(),
        config.sockets.clone(),
        pool.clone(),
        spools.clone(),
    );
    Ok(RequestRouter::new(core, config.names.clone(), upstream))
}

/// Starts to follow the endpoint source that the configuration names.
fn follow_endpoints(
    config: &MysqlConfig,
    router: &Rc<RequestRouter<MysqlUpstream>>,
    membership: SharedMembership,
    instances: &Rc<InstanceRegistry>,
) -> Rc<RefCell<EndpointSource>> {
    let state_directory = config.state_directory.as_ref();
    let mut endpoints = EndpointSource::new(
        router.clone(),
        state_directory.map(|state| state.join(instance_registry::DIRECTORY)),
        membership,
        registration_status_probe(router, instances),
    );
    endpoints.follow(&config.source);
    Rc::new(RefCell::new(endpoints))
}

fn open_spools(config: &MysqlConfig) -> Result<Rc<Spools>, ServerError> {
    let names = config.names.clone();
    let opened = Spools::open(&config.spool, names.classes, names.tenants);
    let (spools, disk_results) = opened.map_err(|source| ServerError::SpoolDirectory {
        directory: config.spool.directory.clone(),
        source,
    })?;
    spawn_local(spools.clone().run(disk_results));
    Ok(spools)
}

/// Loads the certificates and keys, if any are configured, and enables TLS for clients with them.
fn load_keys(
    config: &MysqlConfig,
    frontend: &Frontend<MysqlUpstream>,
) -> Result<Option<Rc<TlsKeys>>, ServerError> {
    let Some(source) = &config.tls else {
        return Ok(None);
    };
    let keys = TlsKeys::load(source)?;
    frontend.enable_tls(keys.clone());
    spawn_local(TlsKeys::watch_files(Rc::downgrade(&keys)));
    Ok(Some(keys))
}

/// Returns the probe of the status that this dispatcher's registration reports.
fn registration_status_probe<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    instances: &Rc<InstanceRegistry>,
) -> RegistrationStatusProbe {
    let router = router.clone();
    let instances = instances.clone();
    Rc::new(move || {
        if router.is_shutting_down() {
            match instances.live_process_count() {
                Ok(2..) => DispatcherState::HandedOver,
                _ => DispatcherState::ShuttingDown,
            }
        } else if router.is_ready() {
            DispatcherState::Ready
        } else {
            DispatcherState::Starting
        }
    })
}

/// Parts of the running process that a new configuration changes.
struct ReloadTarget {
    active_config: MysqlConfig,
    keys: Option<Rc<TlsKeys>>,
    frontend: Rc<Frontend<MysqlUpstream>>,
    spools: Rc<Spools>,
    endpoints: Rc<RefCell<EndpointSource>>,
}

impl ReloadTarget {
    fn apply(&mut self, new: MysqlConfig) -> Result<Reloaded, ServerError> {
        if let Some(key) = self.active_config.needs_restart(&new) {
            return Err(ServerError::NeedsRestart(key));
        }
        if let (Some(keys), Some(source)) = (&self.keys, &new.tls) {
            keys.replace(source)?;
        }
        self.frontend.configure(new.frontend.clone());
        self.spools.configure(&new.spool);
        if new.source != self.active_config.source {
            self.endpoints.borrow_mut().follow(&new.source);
        }
        self.active_config = new;
        Ok(Reloaded::Applied)
    }
}
