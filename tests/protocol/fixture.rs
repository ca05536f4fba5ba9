//! A dispatcher on loopback with one engine that the test implements.

use super::{expect_soon, wait_until};
use crate::scenario::endpoint_list_snapshot;
use query_dispatcher::config::{MachineLimits, NameTable, SocketSettings};
use query_dispatcher::core::Core;
use query_dispatcher::dispatch::RequestRouter;
use query_dispatcher::frontend::frames::Frontend;
use query_dispatcher::transport::buffer_pool::BufferPool;
use query_dispatcher::upstream::resp::RespUpstream;
use socket2::SockRef;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The parts from which the fixture starts a dispatcher.
pub(crate) struct Parts {
    pub(crate) core: Core,
    pub(crate) names: NameTable,
    pub(crate) sockets: SocketSettings,
    /// The listener of the only engine.
    pub(crate) engine: TcpListener,
    /// The send buffer of client connections, in bytes.
    pub(crate) client_send_buffer: usize,
}

/// A running dispatcher with a frontend for the frame protocol and one engine.
pub(crate) struct DispatcherFixture {
    pub(crate) router: Rc<RequestRouter<RespUpstream>>,
    pub(crate) frontend: Rc<Frontend<RespUpstream>>,
    /// The address to which clients connect.
    pub(crate) address: SocketAddr,
    pub(crate) engine: TcpListener,
    /// The addresses in the endpoint list.
    pub(crate) engines: Vec<SocketAddr>,
}

impl DispatcherFixture {
    /// Starts a dispatcher from `parts` on the current thread.
    pub(crate) async fn start(parts: Parts) -> Self {
        let pool = BufferPool::default();
        let upstream = RespUpstream::new(parts.sockets, vec![], pool.clone());
        let router = RequestRouter::new(parts.core, parts.names, upstream);
        let engines = vec![parts.engine.local_addr().unwrap()];
        router.update_endpoints(&endpoint_list_snapshot(&engines, None));
        spawn_local(router.clone().run_clock());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        SockRef::from(&listener)
            .set_send_buffer_size(parts.client_send_buffer)
            .unwrap();
        let address = listener.local_addr().unwrap();
        let machine = MachineLimits {
            memory_mb: 64,
            max_sockets: 64,
        };
        let frontend = Frontend::new(router.clone(), pool, &machine);
        spawn_local(frontend.clone().accept(listener));
        DispatcherFixture {
            router,
            frontend,
            address,
            engine: parts.engine,
            engines,
        }
    }

    /// Waits until exactly `count` requests are unanswered.
    pub(crate) async fn wait_for_open(&self, count: usize) {
        wait_until("open requests", || {
            self.router.unanswered_requests() == count
        })
        .await;
    }

    /// Accepts the next connection to the engine.
    pub(crate) async fn accept_upstream(&self) -> TcpStream {
        expect_soon("a connection", self.engine.accept())
            .await
            .unwrap()
            .0
    }
}
