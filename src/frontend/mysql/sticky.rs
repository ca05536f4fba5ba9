//! The client's end of a pin: statements of a session that keeps to one engine connection for a while.

use crate::frontend::mysql::*;
use crate::sticky_sessions::{ConnectionDisposition, StatementEffect, TransactionOutcome};
use crate::upstream::mysql::sticky::{Carried, Order, Pinned, lost, reason};
use tokio::sync::mpsc;

/// A place among the pins, given back when it is dropped.
struct Booked<'a, U: Upstream<Work = Work, Output = Output>>(&'a Frontend<U>, Option<usize>);

impl<U: Upstream<Work = Work, Output = Output>> Drop for Booked<'_, U> {
    fn drop(&mut self) {
        self.0.book.borrow_mut().release(self.1);
    }
}

/// A pin of this session.
pub(super) struct Hold<'a, U: Upstream<Work = Work, Output = Output>> {
    orders: mpsc::Sender<Order>,
    pinned: Rc<Pinned>,
    answer: oneshot::Receiver<Reply<Output>>,
    /// When its first statement has to have reached an engine.
    until: tokio::time::Instant,
    pub open: bool,
    /// Ends the attempt, and with it what is open, before the place is given back.
    _asked: Asked<'a, U>,
    _booked: Booked<'a, U>,
}

/// What a statement came to: an answer to pass on, or an error of the front's own.
pub(super) type Came = Result<Reply<Output>, SqlError>;

impl<'a, U: Upstream<Work = Work, Output = Output>> Session<'a, U> {
    /// An OK of the front's own, with the session's status.
    pub(super) fn ok(&self) -> Vec<u8> {
        let open = self.hold.as_ref().is_some_and(|h| h.open);
        let flags = [
            (SERVER_STATUS_AUTOCOMMIT, self.state.autocommit()),
            (SERVER_STATUS_IN_TRANS, open),
        ]
        .into_iter()
        .filter(|f| f.1);
        let [low, high] = flags.fold(0, |all, f| all | f.0).to_le_bytes();
        vec![0, 0, 0, low, high, 0, 0]
    }

    /// Carries a statement out where the session stands: on its pin, on a new one if it needs that, else anywhere.
    pub(super) async fn carry(
        &mut self,
        kind: &StatementKind,
        context: SessionContext,
        sql: Bytes,
        job: Job,
    ) -> Result<Came, End> {
        let idle = matches!(
            kind,
            StatementKind::EndsTransaction
                | StatementKind::WithinTransaction
                | StatementKind::UnlockTables
        );
        if self.hold.is_none() && idle && !matches!(job, Job::Prepare) {
            return Ok(Ok(Reply::Served(Output::Short(Packets::one(&self.ok())))));
        }
        let runs = !matches!(job, Job::Prepare | Job::Enter);
        *self.left.borrow_mut() = None;
        let needs = matches!(kind, StatementKind::MakesSticky(_)) || !self.state.autocommit();
        let came = match self.hold.is_some() || runs && needs {
            true => self.order(kind, context, sql, job).await?,
            false => Ok(self.ask(kind, context, sql, job).await?),
        };
        self.failed = match &came {
            Ok(reply) => error_of(reply),
            Err(e) => Some(e.clone()),
        };
        if let Ok(Reply::Served(Output::Short(packets))) = &came
            && let Some(p) = packets.iter().next()
        {
            match p.first() {
                Some(0) if runs => self.state.record_insert_id(insert_id(p).unwrap_or(0)),
                Some(0xff) => self.failed = Some(parse_err_packet(&Bytes::copy_from_slice(p))),
                _ => {}
            }
        }
        Ok(came)
    }

    fn step(&self, kind: &StatementKind, sql: &[u8], job: &Job) -> StatementEffect {
        let held = self.hold.is_some();
        let commits = match (job, kind) {
            // A setting may be autocommit, which commits.
            (Job::Enter, _) => true,
            (Job::Prepare, _) | (_, StatementKind::WithinTransaction) => false,
            (_, StatementKind::EndsTransaction) => !statement::is_rollback(sql),
            _ => held && statement::commits_implicitly(sql),
        };
        let acquires = match kind {
            StatementKind::MakesSticky(reason) if !matches!(job, Job::Prepare) => Some(*reason),
            _ => None,
        };
        StatementEffect {
            acquires,
            unlocks_tables: *kind == StatementKind::UnlockTables,
            commits,
        }
    }

    /// Opens the pin's request: one attempt, at an engine that the module chooses.
    fn begin(&mut self) -> Result<(), SqlError> {
        let (config, frontend) = (self.frontend.config(), self.frontend);
        let terms = config.sticky_sessions.clone();
        let booked = frontend.book.borrow_mut().acquire(&terms, self.tenant);
        booked.map_err(|e| {
            SqlError::new(
                code::ER_TOO_MANY_USER_CONNECTIONS,
                format!("{e}; nothing ran, try again later"),
            )
        })?;
        let booked = Booked(frontend, self.tenant);
        let class = config.transaction_class;
        let limit = config.deadlines.get(class).copied().unwrap_or(10_000.0);
        let longest = terms.max_lifetime;
        let (pinned, orders) = Pinned::new(terms, self.state.next_transaction_statement());
        let ask = AdmissionRequest {
            tenant: self.tenant,
            class,
            protected: true,
        };
        let who = ResultOwner {
            user: self.user.clone(),
            statement: "a transaction".into(),
            binary: false,
        };
        let context = self.state.context().clone();
        let work = Work {
            context,
            sql: Bytes::new(),
            job: Job::Pin(pinned.clone()),
            ask,
            who,
            left: Left::default(),
            downstream: self.downstream.clone(),
        };
        let new = NewRequest {
            class,
            tenant: self.tenant,
            group: None,
            deadline: unix_time_millis() + limit + longest,
            work: None,
            memory_mb: None,
        };
        let (tx, answer) = oneshot::channel();
        let id = frontend
            .router
            .open(new, work, Box::new(move |reply| drop(tx.send(reply))));
        let asked = Asked(&frontend.router, id);
        let until = tokio::time::Instant::now() + crate::clock::duration_from_millis(limit);
        self.hold = Some(Hold {
            orders,
            pinned,
            answer,
            until,
            open: false,
            _asked: asked,
            _booked: booked,
        });
        Ok(())
    }

    /// Sends a statement to the session's pin and waits for its answer.
    async fn order(
        &mut self,
        kind: &StatementKind,
        context: SessionContext,
        sql: Bytes,
        job: Job,
    ) -> Result<Came, End> {
        let config = self.frontend.config();
        let class = config
            .class_rules
            .class_of(*kind == StatementKind::Read, None, &sql);
        let ask = AdmissionRequest {
            tenant: self.tenant,
            class,
            protected: *kind != StatementKind::Read,
        };
        if !matches!(job, Job::Prepare | Job::Enter)
            && let Admission::Rejected {
                reason,
                retry_after,
            } = self.frontend.spools.admit(ask)
        {
            return Ok(Ok(Reply::Rejected {
                retry_after,
                reason,
            }));
        }
        let step = self.step(kind, &sql, &job);
        let rolls_back = *kind == StatementKind::EndsTransaction && !step.commits;
        if self.hold.is_none()
            && let Err(e) = self.begin()
        {
            return Ok(Err(e));
        }
        let statement = String::from_utf8_lossy(&sql)
            .chars()
            .take(MAX_STATEMENT_CHARS)
            .collect();
        let who = ResultOwner {
            user: self.user.clone(),
            statement,
            binary: matches!(job, Job::Execute(_)),
        };
        let downstream = self.downstream.clone();
        let work = Work {
            context,
            sql,
            job,
            ask,
            who,
            left: self.left.clone(),
            downstream,
        };
        let Some(hold) = self.hold.as_mut() else {
            return Ok(Err(lost(
                &reason(None),
                TransactionOutcome::of_lost_connection(None),
            )));
        };
        let (reply, mut carried) = oneshot::channel();
        if hold.orders.send(Order { work, step, reply }).await.is_err() {
            // It ended while nothing was asked of it.
            let over = hold.pinned.over();
            self.hold = None;
            let done = Reply::Served(Output::Short(Packets::one(&self.ok())));
            return Ok(if rolls_back {
                Ok(done)
            } else {
                Err(lost(
                    &reason(over),
                    TransactionOutcome::of_lost_connection(None),
                ))
            });
        }
        let came = tokio::select! {
                biased;
                carried = &mut carried => match carried {
                    Ok(Carried { output, next, open }) => {
                        hold.open = open;
                        self.state.transaction_began();
                        if next == ConnectionDisposition::Release {
                            self.hold = None;
                        }
                        return Ok(Ok(Reply::Served(output)));
                    }
                    Err(_) => Err(lost(&reason(hold.pinned.over()), TransactionOutcome::of_lost_connection(Some(step)))),
                },
                reply = &mut hold.answer => match reply {
                    // No engine has begun with it: that is the statement's answer.
                    Ok(reply) if !hold.pinned.begun() => Ok(reply),
                    _ => Err(lost(&reason(hold.pinned.over()), TransactionOutcome::of_lost_connection(Some(step)))),
                },
                // The engine is told by its connection's end: what is open is rolled back.
                () = self.downstream.killed() => Err(lost(KILLED, TransactionOutcome::of_lost_connection(Some(step)))),
                gone = self.wire.read_ahead(AHEAD, quits) => return Err(left(gone)),
                () = tokio::time::sleep_until(hold.until), if !hold.pinned.begun() => {
                    Ok(Reply::TimedOut { retry_safe: true })
                }
        };
        self.hold = None;
        Ok(match came {
            Err(_) if rolls_back => Ok(Reply::Served(Output::Short(Packets::one(&self.ok())))),
            came => came,
        })
    }
}

/// The id of a new row that an OK tells of.
fn insert_id(ok: &[u8]) -> Result<u64, PacketError> {
    let mut r = PayloadReader(Bytes::copy_from_slice(ok).slice(1..));
    r.length_encoded_integer()?;
    r.length_encoded_integer()
}
