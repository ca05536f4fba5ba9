//! The real dispatcher: wiring and signals. Without arguments it serves the platform; with `--mysql FILE` it
//! serves the MySQL protocol as that file says.

use query_dispatcher::admin::{Admin, Watched};
use query_dispatcher::clock::unix_time_millis;
use query_dispatcher::config::{
    ConfigError, EndpointSource, EurekaSettings, MysqlConfig, PlatformConfig,
};
use query_dispatcher::core::{Core, CoreLimits};
use query_dispatcher::discovery::eureka::{self, lease::Lease, lease::Standing};
use query_dispatcher::discovery::membership_driver::MembershipDriver;
use query_dispatcher::discovery::{Discovery, fixed, journal::Journal};
use query_dispatcher::dispatch::gossip_driver;
use query_dispatcher::dispatch::request_router::{RequestRouter, Upstream};
use query_dispatcher::frontend::frames::{self, Frontend};
use query_dispatcher::frontend::mysql;
use query_dispatcher::server::instance_registry::InstanceRegistry;
use query_dispatcher::server::signals::{SIGHUP, SIGTERM, Signals};
use query_dispatcher::spool_io::Spools;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::transport::descriptors;
use query_dispatcher::transport::descriptors::DescriptorBudget;
use query_dispatcher::transport::listener;
use query_dispatcher::transport::tls::TlsKeys;
use query_dispatcher::upstream::mysql::MysqlUpstream;
use query_dispatcher::upstream::resp::RespUpstream;

use query_dispatcher::log_line;
use query_dispatcher::server::process_metrics;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, LocalSet, spawn_local};

/// An answer has to be written and read before its client gives up.
const MARGIN: f64 = 40.0;
/// A result that has begun may stay without its next page for this long.
const PAGE_WAIT: f64 = 600.0;
/// How often a process looks at what another of this dispatcher was told: an operator's call holds after 1 s.
const FOLLOW: Duration = Duration::from_millis(250);

/// After the goodbye requests that crossed it still come.
const LAST: Duration = Duration::from_millis(300);
/// The same where clients have another process to go to, and nothing presses.
const LINGER: Duration = Duration::from_millis(1000);

type Error = Box<dyn std::error::Error>;

fn main() {
    let run = || -> Result<(), Error> {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let given = descriptors::inherited();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let local = LocalSet::new();
        match &args[..] {
            [] => local.block_on(&runtime, platform(given)),
            [flag, file] if flag == "--mysql" => local.block_on(&runtime, serve_mysql(file, given)),
            _ => Err("usage: hitchwinch [--mysql FILE]".into()),
        }
    };
    if let Err(e) = run() {
        eprintln!("hitchwinch: {e}");
        std::process::exit(1);
    }
}

/// Serves the platform until SIGTERM and the last answer.
async fn platform(given: usize) -> Result<(), Error> {
    let (mut term, hup) = (Signals::new(SIGTERM)?, Signals::new(SIGHUP)?);
    let read = || PlatformConfig::from_env(|v| std::env::var(v).ok());
    let mut config = read()?;
    // What the machine lets the process hold may be less than the settings say.
    config.limits.max_sockets = descriptors::effective_limit(config.limits.max_sockets, given);
    let pool = BufferPool::default();
    let bounds = CoreLimits {
        max_open_requests: config.sockets.max_open_requests,
        answer_margin: MARGIN,
        page_timeout: PAGE_WAIT,
    };
    let core = Core::new(config.settings.clone(), config.seed, bounds)?;
    let upstream = RespUpstream::new(
        config.sockets.clone(),
        config.names.report_fields.clone(),
        pool.clone(),
    );
    upstream.within(config.limits.max_sockets);
    let router = RequestRouter::new(core, config.names.clone(), upstream);
    let (at, address) = watch::channel(config.journal_address);
    let journal = Journal::new(address, config.recorded_events.take(), config.seed)
        .map_err(|e| format!("known: {e}"))?;
    let listener = listener::listen(config.listen, config.inherited_descriptor).await?;
    let listen = listener.local_addr()?;
    let frontend = Frontend::new(router.clone(), pool.clone(), &config.limits);
    let sharing = frontend.clone();
    let shared = share(&router, config.state_directory.as_deref(), move |living| {
        sharing.share(living)
    })?;
    let callers = DescriptorBudget::per_process(config.limits.max_sockets, 1).operators;
    operators(
        &router,
        &pool,
        &shared,
        config.admin_address,
        Watched::default(),
        callers,
    )
    .await?;

    let sink = router.clone();
    if let Some(tier) = config.gossip.clone() {
        spawn_local(gossip_driver::attend(Rc::downgrade(&router), tier));
    }
    spawn_local(journal.run(Box::new(move |change| sink.update_endpoints(&change))));
    spawn_local(router.clone().run_clock());
    spawn_local(process_metrics::tell());
    let accepting = spawn_local(frontend.clone().accept(listener));
    log_line!("{} listens on {listen}", config.name);
    let (longest, handed_over) = (
        config.sockets.longest_deadline,
        config.inherited_descriptor.is_some(),
    );
    let (reconfigured, relimited) = (frontend.clone(), router.clone());
    spawn_local(reload(hup, read, move |mut new: PlatformConfig| {
        new.limits.max_sockets = descriptors::effective_limit(new.limits.max_sockets, given);
        let kept = config.needs_restart(&new);
        at.send_if_modified(|at| std::mem::replace(at, new.journal_address) != new.journal_address);
        reconfigured.limit(&new.limits);
        relimited.upstream().within(new.limits.max_sockets);
        Ok(kept)
    }));

    let tell = |end: Near| match end {
        Near::Goodbye => frontend.goodbye(handed_over),
        Near::Last => frontend.end(),
    };
    wind_down(&mut term, &router, longest, handed_over, tell, || {
        frontend.connections()
    })
    .await;
    drop(accepting);
    Ok(())
}

/// Serves MySQL clients until SIGTERM and the last answer.
async fn serve_mysql(file: &str, given: usize) -> Result<(), Error> {
    let (mut term, hup) = (Signals::new(SIGTERM)?, Signals::new(SIGHUP)?);
    let mut config = MysqlConfig::read(file)?;
    let pool = BufferPool::default();
    let bounds = CoreLimits {
        max_open_requests: config.sockets.max_open_requests,
        answer_margin: MARGIN,
        page_timeout: PAGE_WAIT,
    };
    let core = Core::new(config.settings.clone(), unix_time_millis() as u64, bounds)?;
    let names = config.names.clone();
    let (spools, done) = Spools::open(&config.spool, names.classes, names.tenants)
        .map_err(|e| format!("spool.dir ({:?}): {e}", config.spool.directory))?;
    spawn_local(spools.clone().run(done));
    let access = config.engine_credentials.clone();
    let upstream = MysqlUpstream::new(access, config.sockets.clone(), pool.clone(), spools.clone());
    let router = RequestRouter::new(core, config.names.clone(), upstream);
    let listener = listener::listen(config.listen, config.inherited_descriptor).await?;
    let listen = listener.local_addr()?;
    let frontend = mysql::Frontend::new(
        router.clone(),
        pool.clone(),
        config.frontend.clone(),
        spools.clone(),
    );
    let machine = descriptors::effective_limit(usize::MAX, given);
    frontend.within(machine);
    let keys = config
        .tls
        .as_ref()
        .map(TlsKeys::load)
        .transpose()
        .map_err(|e| format!("tls: {e}"))?;
    if let Some(keys) = &keys {
        frontend.secure(keys.clone());
        spawn_local(TlsKeys::watch_files(Rc::downgrade(keys)));
    }
    let (sharing, spooling) = (frontend.clone(), spools.clone());
    let shared = share(&router, config.state_directory.as_deref(), move |living| {
        sharing.share(living);
        spooling.set_process_count(living);
    })?;
    let members = Rc::new(RefCell::new(None));
    let watched = Watched {
        members: members.clone(),
        spools: Some(spools.clone()),
    };
    operators(
        &router,
        &pool,
        &shared,
        config.admin_address,
        watched,
        DescriptorBudget::per_process(machine, 1).operators,
    )
    .await?;
    let stand = standing(&router, &shared);
    // The folder of this dispatcher's own, which `share` has made.
    let state = config
        .state_directory
        .as_ref()
        .map(|s| s.join("hitchwinch"));
    let following = Following {
        router: router.clone(),
        state,
        members,
        registry: None,
    };
    let following = Rc::new(RefCell::new(following));
    following.borrow_mut().follow(&config.source, &stand);
    spawn_local(router.clone().run_clock());
    spawn_local(process_metrics::tell());
    let accepting = spawn_local(frontend.clone().accept(listener));
    log_line!("the MySQL front listens on {listen}");
    let (longest, handed_over) = (
        config.sockets.longest_deadline,
        config.inherited_descriptor.is_some(),
    );
    let (path, changed, reconfigured) = (file.to_string(), following.clone(), frontend.clone());
    spawn_local(reload(
        hup,
        move || MysqlConfig::read(&path),
        move |new: MysqlConfig| {
            if let Some(key) = config.needs_restart(&new) {
                return Err(format!("{key}: a change of it needs a restart").into());
            }
            if let (Some(keys), Some(source)) = (&keys, &new.tls) {
                keys.replace(source).map_err(|e| format!("tls: {e}"))?;
            }
            reconfigured.configure(new.frontend.clone());
            spools.configure(&new.spool);
            if new.source != config.source {
                changed.borrow_mut().follow(&new.source, &stand);
            }
            config = new;
            Ok(None)
        },
    ));
    let tell = |end: Near| {
        if end == Near::Goodbye {
            frontend.stop(handed_over);
        }
    };
    wind_down(&mut term, &router, longest, handed_over, tell, || {
        frontend.busy()
    })
    .await;
    drop(accepting);
    let lease = following
        .borrow()
        .registry
        .as_ref()
        .and_then(|r| r.lease.clone());
    cancel(lease.as_deref()).await;
    Ok(())
}

/// Listens where operators call, if that is said.
async fn operators<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    pool: &BufferPool,
    shared: &Rc<InstanceRegistry>,
    at: Option<SocketAddr>,
    watched: Watched,
    callers: usize,
) -> Result<(), Error> {
    let Some(at) = at else { return Ok(()) };
    let listener = TcpListener::bind(at)
        .await
        .map_err(|e| format!("admin_addr {at}: {e}"))?;
    log_line!("operators call at {}", listener.local_addr()?);
    spawn_local(
        Admin::new(
            router.clone(),
            pool.clone(),
            shared.clone(),
            watched,
            callers,
        )
        .accept(listener),
    );
    Ok(())
}

/// How this dispatcher stands, for those who look for it at a registry.
fn standing<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    shared: &Rc<InstanceRegistry>,
) -> Rc<dyn Fn() -> Standing> {
    let (router, shared) = (router.clone(), shared.clone());
    Rc::new(move || match () {
        () if router.is_shutting_down() => match shared.processes() {
            Ok(2..) => Standing::HandedOver,
            _ => Standing::Ending,
        },
        () if router.is_ready() => Standing::Ready,
        () => Standing::Starting,
    })
}

/// What this dispatcher's processes have been told by hand is in force before the first engine is known.
fn share<U: Upstream>(
    router: &Rc<RequestRouter<U>>,
    folder: Option<&Path>,
    frontend: impl Fn(u32) + 'static,
) -> Result<Rc<InstanceRegistry>, Error> {
    let named = |e: std::io::Error| format!("the folder for state ({folder:?}): {e}");
    let shared = Rc::new(InstanceRegistry::open(folder).map_err(named)?);
    router
        .apply_administrative_drains(&shared.drained_engines().map_err(named)?.unwrap_or_default());
    let (router, following) = (router.clone(), shared.clone());
    let divide = move |router: &RequestRouter<U>, living| {
        router.set_process_count(living);
        frontend(living);
    };
    let mut before = shared.processes().map_err(named)?;
    divide(&router, before);
    spawn_local(async move {
        loop {
            tokio::time::sleep(FOLLOW).await;
            match following.processes() {
                Ok(living) if living != before => {
                    log_line!("{living} processes of this dispatcher share its limits");
                    divide(&router, living);
                    before = living;
                }
                Ok(_) => {}
                Err(e) => log_line!("the folder for state: {e}"),
            }
            match following.drained_engines() {
                Ok(out) => out
                    .iter()
                    .for_each(|out| router.apply_administrative_drains(out)),
                // What cannot be read changes nothing.
                Err(e) => log_line!("the folder for state: {e}"),
            }
        }
    });
    Ok(shared)
}

/// Where the engines of the MySQL front come from now.
struct Following {
    router: Rc<RequestRouter<MysqlUpstream>>,
    state: Option<PathBuf>,
    /// What is believed of engines that a registry lists; operators look at it.
    members: Rc<RefCell<Option<Rc<MembershipDriver>>>>,
    registry: Option<Registry>,
}

/// The tasks that follow a registry.
struct Registry {
    source: watch::Sender<Rc<EurekaSettings>>,
    tasks: Vec<AbortHandle>,
    lease: Option<Rc<Lease>>,
    keeping: Option<AbortHandle>,
}

impl Following {
    /// Takes the engines from where the configuration says. A registry that takes another's place finds what was
    /// believed.
    fn follow(&mut self, source: &EndpointSource, stand: &Rc<dyn Fn() -> Standing>) {
        match source {
            EndpointSource::Static(engines) => {
                if let Some(registry) = self.registry.take() {
                    registry
                        .tasks
                        .iter()
                        .chain(&registry.keeping)
                        .for_each(AbortHandle::abort);
                    spawn_local(async move { cancel(registry.lease.as_deref()).await });
                }
                *self.members.borrow_mut() = None;
                self.router.upstream().watch(None);
                self.router.update_endpoints(&fixed(engines));
            }
            EndpointSource::Eureka(source) => {
                let source = Rc::new((**source).clone());
                let members = self.members.borrow().clone();
                match (&mut self.registry, members) {
                    (Some(registry), Some(members)) => {
                        members.configure(&source);
                        let same = registry.source.borrow().registration == source.registration
                            && registry.source.borrow().servers == source.servers;
                        registry.source.send_replace(source.clone());
                        if !same {
                            registry.keeping.take().iter().for_each(AbortHandle::abort);
                            let old = registry.lease.take();
                            if source.registration.is_none() {
                                spawn_local(async move { cancel(old.as_deref()).await });
                            }
                            (registry.lease, registry.keeping) =
                                keep_lease(&source, &members, stand);
                        }
                    }
                    _ => {
                        let (sink, router) = (self.router.clone(), self.router.clone());
                        let members = MembershipDriver::new(
                            &source,
                            self.state.as_deref(),
                            Box::new(move |change| sink.update_endpoints(&change)),
                            Box::new(move || router.drained_engines()),
                        );
                        self.router.upstream().watch(Some(members.clone()));
                        let (tell, told) = watch::channel(source.clone());
                        let tasks = vec![
                            spawn_local(eureka::follow(told, members.clone())).abort_handle(),
                            spawn_local(members.clone().clock()).abort_handle(),
                            spawn_local(members.clone().keep()).abort_handle(),
                        ];
                        let (lease, keeping) = keep_lease(&source, &members, stand);
                        self.registry = Some(Registry {
                            source: tell,
                            tasks,
                            lease,
                            keeping,
                        });
                        *self.members.borrow_mut() = Some(members);
                    }
                }
            }
        }
    }
}

/// Registers this dispatcher, if the configuration says so.
fn keep_lease(
    source: &Rc<EurekaSettings>,
    members: &Rc<MembershipDriver>,
    stand: &Rc<dyn Fn() -> Standing>,
) -> (Option<Rc<Lease>>, Option<AbortHandle>) {
    let lease = Lease::new(source.clone());
    let shown = lease.clone();
    members.lease(Rc::new(move || shown.as_ref().and_then(|l| l.differs())));
    let stand = stand.clone();
    let keeping = lease
        .clone()
        .map(|lease| spawn_local(lease.keep(move || stand())).abort_handle());
    (lease, keeping)
}

async fn cancel(lease: Option<&Lease>) {
    if let Some(lease) = lease {
        lease.cancel().await;
    }
}

/// On every SIGHUP reads the configuration again. One that is not whole and valid changes nothing; of a valid
/// one `take` swaps in what it changes, or tells the key that a running program cannot take.
async fn reload<C>(
    mut hup: Signals,
    read: impl Fn() -> Result<C, ConfigError>,
    mut take: impl FnMut(C) -> Result<Option<&'static str>, Error>,
) {
    while hup.recv().await.is_some() {
        match read().map_err(Error::from).and_then(&mut take) {
            Ok(None) => log_line!("SIGHUP: the configuration is in force"),
            Ok(Some(key)) => {
                log_line!("SIGHUP: the configuration is in force, but {key} needs a restart")
            }
            Err(e) => log_line!("SIGHUP: {e}; the configuration before stays in force"),
        }
    }
}

/// Waits for SIGTERM. Clients go on coming for a while: they are served, told that this dispatcher is not
/// ready, and then asked to go elsewhere. With a listening socket that others hold as well (`handed_over`) no
/// more are accepted, for they would find an end here that another process could give them a whole life: only
/// those that were accepted are read and answered on. The last answers are given before the kill can come.
async fn wind_down<U: Upstream>(
    term: &mut Signals,
    router: &Rc<RequestRouter<U>>,
    longest: f64,
    handed_over: bool,
    tell: impl Fn(Near),
    busy: impl Fn() -> usize,
) {
    term.recv().await;
    let began = tokio::time::Instant::now();
    let span = frames::stop_span(longest, handed_over);
    router.begin_shutdown(unix_time_millis() + span.as_secs_f64() * 1000.0);
    if handed_over {
        tell(Near::Goodbye);
    }
    log_line!(
        "SIGTERM: {} requests are open",
        router.unanswered_requests()
    );
    if !handed_over {
        tokio::time::sleep(frames::ACCEPT_FOR).await;
        tell(Near::Goodbye);
    }
    tokio::time::sleep(if handed_over { LINGER } else { LAST }).await;
    tell(Near::Last);
    // Every answer is given by then; what clients have not taken whole a while later is cut off by the kill in any case.
    while (router.unanswered_requests() > 0 || busy() > 0)
        && began.elapsed() < span + frames::WRITE_ON
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    log_line!("stopped after {} ms", began.elapsed().as_millis());
}

/// How near the end is, as fronts are told.
#[derive(Clone, Copy, PartialEq)]
enum Near {
    /// No new request is wanted.
    Goodbye,
    /// Nothing more is waited for: what is owed is answered, and each connection ends.
    Last,
}
