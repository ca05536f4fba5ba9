//! The engine's end of a pin: one attempt that holds a connection and carries out what its session sends, until
//! nothing holds it there, a bound ends it, or the connection breaks. When it ends is [`crate::sticky_sessions`]'s to say.

use crate::clock::duration_from_millis;
use crate::clock::unix_time_millis;
use crate::core::AttemptId;
use crate::decision::model::{Millis, ProgressNote};
use crate::dispatch::request_router::{RequestRouter, Upstream};
use crate::protocol::mysql::error::{SqlError, code};
use crate::protocol::mysql::packet::*;
use crate::protocol::mysql::session::SessionContext;
use crate::sticky_sessions::{
    ConnectionDisposition, EngineResponse, Expired, StatementEffect, StickySession,
    StickySessionLimits, TransactionOutcome,
};
use crate::upstream::mysql::downstream::Downstream;
use crate::upstream::mysql::work::{Output, Packets, Work};
use crate::upstream::mysql::{Connection, Shared, command, next};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// How often a pin looks whether its engine drains, and asks an idle connection whether it is alive.
const LOOK: Duration = Duration::from_millis(250);
const ASK: Millis = 1000.0;

/// One statement of a pinned session.
pub struct Order {
    pub work: Work,
    pub step: StatementEffect,
    pub reply: oneshot::Sender<Carried>,
}

/// What it came to.
pub struct Carried {
    pub output: Output,
    pub next: ConnectionDisposition,
    /// The transaction is open, as the engine tells.
    pub open: bool,
}

/// What a session and its pin share.
pub struct Pinned {
    /// Taken by the attempt that holds the connection: there is never a second.
    orders: RefCell<Option<mpsc::Receiver<Order>>>,
    /// Why it was ended from here.
    over: Cell<Option<Expired>>,
    pub terms: StickySessionLimits,
    /// Sent on the connection before the first statement.
    pub first: Option<String>,
}

impl std::fmt::Debug for Pinned {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pinned")
            .field("over", &self.over)
            .finish_non_exhaustive()
    }
}

impl Pinned {
    pub fn new(
        terms: StickySessionLimits,
        first: Option<String>,
    ) -> (Rc<Self>, mpsc::Sender<Order>) {
        let (tx, rx) = mpsc::channel(1);
        (
            Rc::new(Pinned {
                orders: RefCell::new(Some(rx)),
                over: Cell::new(None),
                terms,
                first,
            }),
            tx,
        )
    }

    /// An attempt has begun to carry out what is sent: from then on it may have run.
    pub fn begun(&self) -> bool {
        self.orders.borrow().is_none()
    }

    pub fn over(&self) -> Option<Expired> {
        self.over.get()
    }
}

/// What the pin's attempt tells its hub.
pub trait Told {
    fn in_service(&self) -> bool;
    fn sent(&self);
    /// From now on the module leaves it alone.
    fn holds(&self);
    /// The engine has answered on it, and nothing is asked of it.
    fn idle(&self);
    /// Something is asked of it.
    fn works(&self);
}

/// An attempt's hub, as long as it lives.
pub struct Telling<U: Upstream> {
    pub router: Weak<RequestRouter<U>>,
    pub attempt: AttemptId,
    pub engine: String,
}

impl<U: Upstream> Told for Telling<U> {
    fn in_service(&self) -> bool {
        self.router
            .upgrade()
            .is_some_and(|router| router.is_in_service(&self.engine))
    }
    fn sent(&self) {
        self.router
            .upgrade()
            .into_iter()
            .for_each(|router| router.record_dispatches(1));
    }
    fn holds(&self) {
        self.router
            .upgrade()
            .into_iter()
            .for_each(|router| router.page_received(self.attempt));
    }
    fn idle(&self) {
        self.router
            .upgrade()
            .into_iter()
            .for_each(|router| router.progress(self.attempt, ProgressNote::Idle));
    }
    fn works(&self) {
        self.router
            .upgrade()
            .into_iter()
            .for_each(|router| router.progress(self.attempt, ProgressNote::Active));
    }
}

/// How a pin ended, its connection being sound.
pub enum Ended {
    /// Nothing holds it any more: the last answer, to be handed over once the connection is back.
    Free(oneshot::Sender<Carried>, Carried),
    /// The connection is to be closed, by which the engine rolls back what is open.
    Closed,
}

impl Shared {
    /// Carries out what the session sends. An error is that of the connection, which is lost; whoever waits for an
    /// answer learns it from the reply's end.
    pub(super) async fn hold(
        &self,
        c: &mut Connection,
        pinned: &Pinned,
        downstream: &Downstream,
        written: &Cell<Option<(SocketAddr, u32)>>,
        told: &dyn Told,
        until: Millis,
    ) -> Result<Ended, PacketError> {
        if pinned.first.is_some() {
            downstream.heed(until).await?;
        }
        let Some(mut orders) = pinned.orders.borrow_mut().take() else {
            return Err(PacketError::Protocol(
                "what was open on another engine is not opened again",
            ));
        };
        told.holds();
        let mut pin = StickySession::new(pinned.terms.clone(), unix_time_millis());
        let mut asked = unix_time_millis();
        if let Some(first) = &pinned.first {
            self.settle(c, COM_QUERY, first).await?;
        }
        loop {
            let order = tokio::select! {
                biased;
                order = orders.recv() => match order {
                    Some(order) => order,
                    None => return Ok(Ended::Closed),
                },
                // Nothing is owed: whatever comes is the end of it.
                said = next(&mut c.wire) => return Err(said.err().unwrap_or(PacketError::OutOfOrder)),
                () = tokio::time::sleep(LOOK) => {
                    let now = unix_time_millis();
                    if !told.in_service() {
                        pin.on_engine_draining(now);
                    }
                    if let Some(over) = pin.expired(now) {
                        pinned.over.set(Some(over));
                        return Ok(Ended::Closed);
                    }
                    if now >= asked + ASK {
                        asked = now;
                        self.settle(c, COM_PING, "").await?;
                        told.idle();
                    }
                    continue;
                }
            };
            let Order { work, step, reply } = order;
            pin.on_statement_sent(unix_time_millis(), step);
            told.works();
            written.set(None);
            let (always, sent) = (|| true, || told.sent());
            let result = {
                let run = self.run(c, &work, written, &always, &sent, until);
                tokio::pin!(run);
                loop {
                    tokio::select! {
                        result = &mut run => break Some(result),
                        () = tokio::time::sleep(LOOK) => {
                            let now = unix_time_millis();
                            if !told.in_service() {
                                pin.on_engine_draining(now);
                            }
                            pinned.over.set(pin.expired(now));
                            if pinned.over().is_some() {
                                break None;
                            }
                        }
                    }
                }
            };
            // What runs is killed, or the engine would go on with it.
            let Some(result) = result else {
                self.put_down(c);
                return Err(PacketError::ConnectionAbandoned);
            };
            asked = unix_time_millis();
            let output = match result {
                Ok(output) => output,
                // The schema, a setting or the statement is wrong, and nothing ran: that is the answer.
                Err(PacketError::Server(e)) => Output::Short(Packets::one(&err_packet(&e))),
                // Its session hears of the same and ends the pin, and says why.
                Err(PacketError::ClientDisconnected) => std::future::pending().await,
                Err(e) => return Err(e),
            };
            told.idle();
            let after = match error_code(&output) {
                Some(code) => EngineResponse::Error(code),
                None => EngineResponse::Status {
                    in_transaction: c.status & SERVER_STATUS_IN_TRANS != 0,
                },
            };
            let next = pin.on_response(asked, after);
            let open = pin.is_bound_by(crate::sticky_sessions::StickyReason::Transaction);
            let carried = Carried { output, next, open };
            if next == ConnectionDisposition::Release {
                written.set(None);
                return Ok(Ended::Free(reply, carried));
            }
            // A client that has gone ends the pin with its next look at the orders.
            let _ = reply.send(carried);
        }
    }

    /// A command whose answer is a plain OK.
    pub(super) async fn settle(
        &self,
        c: &mut Connection,
        kind: u8,
        text: &str,
    ) -> Result<(), PacketError> {
        let answered = async {
            c.under_way = true;
            command(&mut c.wire, kind, &[text.as_bytes()]).await?;
            let p = next(&mut c.wire).await?;
            c.under_way = false;
            Ok::<_, PacketError>(p)
        };
        let limit = duration_from_millis(4.0 * self.sockets.connect_timeout);
        let p = tokio::time::timeout(limit, answered)
            .await
            .map_err(std::io::Error::from)??;
        match p.first() {
            Some(0) => {
                c.status = parse_ok_status(&p)?.flags;
                Ok(())
            }
            Some(0xff) => Err(PacketError::Server(parse_err_packet(&p))),
            _ => Err(PacketError::Protocol("it answers rows to a setting")),
        }
    }

    /// Takes the connection to where the session stands, step by step, so that what fails leaves the truth behind.
    pub(super) async fn enter(
        &self,
        c: &mut Connection,
        work: &Work,
        until: Millis,
    ) -> Result<(), PacketError> {
        let (context, downstream): (&SessionContext, _) = (&work.context, &work.downstream);
        if let Some(schema) = context
            .schema
            .clone()
            .filter(|_| c.context.schema != context.schema)
        {
            downstream.heed(until).await?;
            self.settle(c, COM_INIT_DB, &schema).await?;
            c.context.schema = Some(schema);
        }
        if let Some(names) = context
            .names
            .clone()
            .filter(|_| c.context.names != context.names)
        {
            downstream.heed(until).await?;
            self.settle(c, COM_QUERY, &format!("SET NAMES {names}"))
                .await?;
            c.context.names = Some(names);
        }
        if let Some(set) =
            crate::protocol::mysql::session::set_statement(&c.context.variables, &context.variables)
        {
            downstream.heed(until).await?;
            self.settle(c, COM_QUERY, &set).await?;
            c.context.variables = context.variables.clone();
        }
        Ok(())
    }
}

/// The code of an answer that is an error.
fn error_code(output: &Output) -> Option<u16> {
    let Output::Short(packets) = output else {
        return None;
    };
    let p = packets.iter().next().filter(|p| p.first() == Some(&0xff))?;
    Some(parse_err_packet(&Bytes::copy_from_slice(p)).code)
}

/// Why a pin was lost, in words.
pub fn reason(over: Option<Expired>) -> String {
    over.map_or("its engine connection was lost".to_string(), |o| {
        o.to_string()
    })
}

/// What a client is told whose pin was lost: whether anything may hold is said plainly.
pub fn lost(reason: &str, fate: TransactionOutcome) -> SqlError {
    match fate {
        TransactionOutcome::RolledBack => {
            let text =
                format!("the transaction is rolled back, {reason}; begin it again from its start");
            SqlError::new(code::ER_LOCK_DEADLOCK, text)
        }
        TransactionOutcome::Unknown => {
            let text = format!(
                "the commit was sent and not answered, {reason}: it is not known whether it holds"
            );
            SqlError::new(
                code::ER_QUERY_INTERRUPTED,
                format!("{text}; look before you send it again"),
            )
        }
    }
}
