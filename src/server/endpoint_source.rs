//! Source of the endpoint list of a MySQL process: a fixed list or a Eureka registry, which a reload can
//! replace.

use crate::config::{self, EurekaSettings};
use crate::discovery::eureka::lease::{DispatcherState, Lease};
use crate::discovery::eureka::{self};
use crate::discovery::membership_driver::MembershipDriver;
use crate::discovery::static_snapshot;
use crate::dispatch::RequestRouter;
use crate::upstream::mysql::MysqlUpstream;
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

/// Returns the status that this dispatcher's registration should report.
pub(super) type RegistrationStatusProbe = Rc<dyn Fn() -> DispatcherState>;
/// Membership of the engines in the registry that is followed, if there is one; operators can read it.
pub(super) type SharedMembership = Rc<RefCell<Option<Rc<MembershipDriver>>>>;

/// Endpoint source that is currently in use.
pub(super) struct EndpointSource {
    router: Rc<RequestRouter<MysqlUpstream>>,
    /// Directory of the membership snapshot.
    state_directory: Option<PathBuf>,
    membership: SharedMembership,
    registration_status: RegistrationStatusProbe,
    registry: Option<RegistrySource>,
}

/// Registry that is followed, and this dispatcher's own lease there.
struct RegistrySource {
    configuration: watch::Sender<Rc<EurekaSettings>>,
    tasks: Vec<AbortHandle>,
    registration: Registration,
}

/// This dispatcher's lease at a registry, if the configuration requests one, and the task that renews it.
struct Registration {
    lease: Option<Rc<Lease>>,
    renewal: Option<AbortHandle>,
}

impl EndpointSource {
    pub(super) fn new(
        router: Rc<RequestRouter<MysqlUpstream>>,
        state_directory: Option<PathBuf>,
        membership: SharedMembership,
        registration_status: RegistrationStatusProbe,
    ) -> Self {
        EndpointSource {
            router,
            state_directory,
            membership,
            registration_status,
            registry: None,
        }
    }

    /// Switches to `source` for the endpoint list. A registry that replaces another one keeps the membership.
    pub(super) fn follow(&mut self, source: &config::EndpointSource) {
        match source {
            config::EndpointSource::Static(engines) => {
                self.stop_registry();
                self.router.update_endpoints(&static_snapshot(engines));
            }
            config::EndpointSource::Eureka(source) => {
                let source = Rc::new((**source).clone());
                let membership = self.membership.borrow().clone();
                match (&mut self.registry, membership) {
                    (Some(registry), Some(membership)) => {
                        registry.reconfigure(&source, &membership, &self.registration_status);
                    }
                    _ => self.start_registry(&source),
                }
            }
        }
    }

    /// Returns this dispatcher's lease, if it holds one.
    pub(super) fn lease(&self) -> Option<Rc<Lease>> {
        self.registry.as_ref()?.registration.lease.clone()
    }

    fn stop_registry(&mut self) {
        if let Some(registry) = self.registry.take() {
            registry.tasks.iter().for_each(AbortHandle::abort);
            registry.registration.stop_renewal();
            spawn_local(cancel(registry.registration.lease));
        }
        *self.membership.borrow_mut() = None;
        self.router.upstream().set_connection_observer(None);
    }

    fn start_registry(&mut self, source: &Rc<EurekaSettings>) {
        let change_target = self.router.clone();
        let drain_source = self.router.clone();
        let membership = MembershipDriver::new(
            source,
            self.state_directory.as_deref(),
            Box::new(move |change| change_target.update_endpoints(&change)),
            Box::new(move || drain_source.drained_engines()),
        );
        self.router
            .upstream()
            .set_connection_observer(Some(membership.clone()));
        let (configuration, configured) = watch::channel(source.clone());
        let tasks = vec![
            spawn_local(eureka::follow(configured, membership.clone())).abort_handle(),
            spawn_local(membership.clone().run_timers()).abort_handle(),
            spawn_local(membership.clone().save_snapshots()).abort_handle(),
        ];
        self.registry = Some(RegistrySource {
            configuration,
            tasks,
            registration: Registration::start(source, &membership, &self.registration_status),
        });
        *self.membership.borrow_mut() = Some(membership);
    }
}

impl RegistrySource {
    fn reconfigure(
        &mut self,
        source: &Rc<EurekaSettings>,
        membership: &Rc<MembershipDriver>,
        registration_status: &RegistrationStatusProbe,
    ) {
        membership.configure(source);
        let before = self.configuration.send_replace(source.clone());
        if before.registration == source.registration && before.servers == source.servers {
            return;
        }
        self.registration.stop_renewal();
        let replacement = Registration::start(source, membership, registration_status);
        let previous = std::mem::replace(&mut self.registration, replacement);
        if source.registration.is_none() {
            spawn_local(cancel(previous.lease));
        }
    }
}

impl Registration {
    /// Registers this dispatcher and starts to renew its lease, if the configuration requests a registration.
    fn start(
        source: &Rc<EurekaSettings>,
        membership: &Rc<MembershipDriver>,
        registration_status: &RegistrationStatusProbe,
    ) -> Self {
        let lease = Lease::new(source.clone());
        let observed_lease = lease.clone();
        membership.set_registration_mismatch(Rc::new(move || {
            observed_lease
                .as_ref()
                .and_then(|lease| lease.status_mismatch())
        }));
        let renewal = lease.clone().map(|lease| {
            let registration_status = registration_status.clone();
            spawn_local(lease.run(move || registration_status())).abort_handle()
        });
        Registration { lease, renewal }
    }

    fn stop_renewal(&self) {
        self.renewal.iter().for_each(AbortHandle::abort);
    }
}

/// Cancels the lease, if there is one, so that proxies stop connecting to this dispatcher.
pub(super) async fn cancel(lease: Option<Rc<Lease>>) {
    if let Some(lease) = lease {
        lease.cancel().await;
    }
}
