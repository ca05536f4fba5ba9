//! Signals as the program waits for them: SIGTERM and SIGHUP, each delivered through a pipe of its own.
//!
//! Tokio's own signal driver makes a socket pair for its wake-ups, and that is a Unix socket, which the fleet
//! bench's system-call filter lets no process have (`docs/FILTER.md`). Here the handler, installed by
//! `signal-hook`, writes one byte into the write end of a plain pipe; the read end is polled by the runtime on
//! the one thread. Signals that come while one is being handled are folded into one: every wait returns once
//! for any number of deliveries since the last.
//!
//! Errors: [`Signals::new`] fails with the system's error if the pipe cannot be made or the handler cannot be
//! installed. Only signals that can be caught may be asked for: SIGKILL, SIGSTOP, SIGILL, SIGFPE and SIGSEGV
//! are refused by `signal-hook` with a panic, for they are a fault of the caller.

use std::io;
use std::os::fd::OwnedFd;
use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe::Receiver;

/// Bytes read at once: what is waiting beyond them is read on the next wait, so no delivery is lost.
const READ_BYTES: usize = 64;

/// One signal's deliveries, waited for on the runtime's thread.
#[derive(Debug)]
pub struct Signals {
    inbox: Receiver,
}

impl Signals {
    /// Catches `number` (a signal number such as [`SIGTERM`]) from now on: its default action is no longer taken.
    ///
    /// # Errors
    /// The pipe cannot be made, or the handler cannot be installed.
    pub fn new(number: i32) -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let writer = OwnedFd::from(writer);
        // A full pipe must not stop the handler: the byte is dropped then, and one waiting is enough.
        rustix::io::ioctl_fionbio(&writer, true)?;
        signal_hook::low_level::pipe::register(number, writer)?;
        let inbox = Receiver::from_owned_fd(OwnedFd::from(reader))?;
        Ok(Self { inbox })
    }

    /// Waits for the next delivery; `None` if the pipe has broken, after which none will come.
    pub async fn recv(&mut self) -> Option<()> {
        let mut bytes = [0u8; READ_BYTES];
        match self.inbox.read(&mut bytes).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(()),
        }
    }
}

/// The termination signal, 15 on Linux.
pub const SIGTERM: i32 = signal_hook::consts::SIGTERM;
/// The hang-up signal, 1 on Linux: read the configuration again.
pub const SIGHUP: i32 = signal_hook::consts::SIGHUP;

#[cfg(test)]
mod tests;
