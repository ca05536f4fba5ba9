//! Request ids: an id is open at most once, and an id of a class that must not run twice runs at most once.
//!
//! Clients give each request a new id. An id that comes again is a client's error, and it is dangerous after its
//! client has left: the engine may still run the first request, or have run it. Ids whose requests may have run are
//! remembered in a [`ClaimTable`], and all processes of this dispatcher share them through a [`ClaimLog`].

mod claim_log;
mod claim_table;
#[cfg(test)]
mod tests;

use crate::log_line;
use claim_log::ClaimLog;
use claim_table::{ClaimTable, Owner};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// The only owner of claims that no other process shares.
const LOCAL_OWNER: Owner = Owner(0);

/// Why an id cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdConflict {
    /// An open request has this id.
    Open,
    /// A request with this id may have run, or is open at another process of this dispatcher.
    MayHaveRun,
    /// The ids of the other processes are not known, since the shared log cannot be used. The request never ran.
    Unknown,
}

/// The ids of open requests, and of earlier ones that must not run again. Clones share them.
#[derive(Clone, Default)]
pub(super) struct RequestIds(Rc<State>);

#[derive(Default)]
struct State {
    open: RefCell<HashSet<u64>>,
    claims: RefCell<Claims>,
    /// Number of processes of this dispatcher.
    processes: Cell<usize>,
}

/// Where the ids are kept of requests that must not run twice.
enum Claims {
    Local(ClaimTable),
    Shared(ClaimLog),
}

impl Default for Claims {
    fn default() -> Self {
        Claims::Local(ClaimTable::default())
    }
}

/// Number of attempts of one request that may have run.
#[derive(Clone, Debug, Default)]
pub struct Executions(Rc<Cell<u32>>);

impl Executions {
    /// Records that an attempt is about to be written to its engine.
    pub fn record_start(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Records the engine's statement that a written attempt never ran.
    pub fn record_never_ran(&self) {
        self.0.set(self.0.get().saturating_sub(1));
    }

    fn may_have_run(&self) -> bool {
        self.0.get() > 0
    }
}

/// An id that is reserved until this is dropped. If the request may have run, its id stays claimed.
#[derive(Default)]
pub(super) struct ReservedId {
    number: u64,
    executions: Executions,
    is_claimed: bool,
    ids: Option<RequestIds>,
}

impl RequestIds {
    /// Shares the ids with all processes that use a log in this directory.
    ///
    /// # Errors
    /// The log cannot be opened or read.
    pub(super) fn share(&self, directory: &Path) -> io::Result<()> {
        *self.0.claims.borrow_mut() = Claims::Shared(ClaimLog::open(directory)?);
        Ok(())
    }

    /// Sets the number of processes of this dispatcher.
    pub(super) fn set_process_count(&self, processes: usize) {
        self.0.processes.set(processes);
    }

    /// Reserves a request id of 16 hexadecimal digits. `must_not_run_twice` tells whether a second run of this
    /// request would have an effect.
    ///
    /// # Errors
    /// The id is open, may have run, or cannot be checked.
    pub(super) fn reserve(
        &self,
        txn: &str,
        must_not_run_twice: bool,
    ) -> Result<ReservedId, IdConflict> {
        let number = u64::from_str_radix(txn, 16).map_err(|_| IdConflict::Open)?;
        if self.0.open.borrow().contains(&number) {
            return Err(IdConflict::Open);
        }
        if must_not_run_twice {
            self.claim(number)?;
        }
        self.0.open.borrow_mut().insert(number);
        Ok(ReservedId {
            number,
            executions: Executions::default(),
            is_claimed: must_not_run_twice,
            ids: Some(self.clone()),
        })
    }

    fn claim(&self, number: u64) -> Result<(), IdConflict> {
        let is_alone = self.0.processes.get() <= 1;
        let is_granted = match &mut *self.0.claims.borrow_mut() {
            Claims::Local(table) => table.claim(number, LOCAL_OWNER),
            Claims::Shared(log) => match log.claim(number, is_alone) {
                Ok(is_granted) => is_granted,
                Err(error) => {
                    log_line!("the ids of requests cannot be shared: {error}");
                    if !is_alone {
                        return Err(IdConflict::Unknown);
                    }
                    log.claim_unshared(number)
                }
            },
        };
        if is_granted {
            Ok(())
        } else {
            Err(IdConflict::MayHaveRun)
        }
    }

    fn release(&self, number: u64) {
        match &mut *self.0.claims.borrow_mut() {
            Claims::Local(table) => table.release(number, LOCAL_OWNER),
            Claims::Shared(log) => log.release(number),
        }
    }
}

impl ReservedId {
    /// Returns the record of the request's attempts.
    pub(super) fn executions(&self) -> Executions {
        self.executions.clone()
    }
}

impl Drop for ReservedId {
    fn drop(&mut self) {
        let Some(ids) = &self.ids else {
            return;
        };
        ids.0.open.borrow_mut().remove(&self.number);
        if self.is_claimed && !self.executions.may_have_run() {
            ids.release(self.number);
        }
    }
}

impl std::fmt::Debug for ReservedId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:x}", self.number)
    }
}
