//! Asynchronous delivery of SIGTERM and SIGHUP, each through a separate pipe.
//!
//! Tokio's own signal driver uses a pair of Unix sockets for its wake-ups, and the system-call filter of the
//! fleet bench denies Unix sockets to every process (`docs/FILTER.md`). Here the handler, installed by
//! `signal-hook`, writes one byte to a pipe, and the runtime polls the read end on its single thread.
//! Deliveries are coalesced: a wait returns once for any number of signals since the previous wait.
//!
//! Errors: [`Signals::new`] returns the system's error if the pipe cannot be created or the handler cannot be
//! installed. Only signals that can be caught are valid: `signal-hook` panics on SIGKILL, SIGSTOP, SIGILL,
//! SIGFPE and SIGSEGV, which are a programming error of the caller.

use std::io;
use std::os::fd::OwnedFd;
use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe::Receiver;

/// Maximum number of bytes per read. Further bytes stay in the pipe for the next wait, so no delivery is
/// lost.
const READ_BYTES: usize = 64;

/// Receiver of the deliveries of one signal.
#[derive(Debug)]
pub struct Signals {
    pipe: Receiver,
}

impl Signals {
    /// Starts to catch signal `number` (such as [`SIGTERM`]), which replaces its default action.
    ///
    /// # Errors
    /// The pipe cannot be created, or the handler cannot be installed.
    pub fn new(number: i32) -> io::Result<Self> {
        let (reader, writer) = io::pipe()?;
        let writer = OwnedFd::from(writer);
        // A write to a full pipe must not block the handler: it drops the byte, and the bytes in the pipe
        // suffice to wake the receiver.
        rustix::io::ioctl_fionbio(&writer, true)?;
        signal_hook::low_level::pipe::register(number, writer)?;
        let pipe = Receiver::from_owned_fd(OwnedFd::from(reader))?;
        Ok(Self { pipe })
    }

    /// Waits for the next delivery; returns `None` if the pipe is broken and no further delivery is possible.
    pub async fn recv(&mut self) -> Option<()> {
        let mut bytes = [0u8; READ_BYTES];
        match self.pipe.read(&mut bytes).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(()),
        }
    }
}

/// Termination signal, 15 on Linux.
pub const SIGTERM: i32 = signal_hook::consts::SIGTERM;
/// Hang-up signal, 1 on Linux, which requests a reload of the configuration.
pub const SIGHUP: i32 = signal_hook::consts::SIGHUP;

#[cfg(test)]
mod tests;
