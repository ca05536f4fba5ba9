//! Signals as the program waits for them: SIGTERM and SIGHUP, each told through a pipe of its own.
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
const FOLD: usize = 64;

/// One signal's deliveries, waited for on the runtime's thread.
#[derive(Debug)]
pub struct Signals {
    inbox: Receiver,
}

impl Signals {
    /// Catches `number` (a signal number such as [`SIGTERM`]) from now on: its default action is no longer taken.
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
        let mut bytes = [0u8; FOLD];
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
mod tests {
    use super::*;
    use std::time::Duration;

    fn runtime() -> tokio::runtime::Runtime {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap()
    }

    #[test]
    fn deliveries_are_waited_for_and_folded() {
        runtime().block_on(async {
            // SIGUSR2 is no signal that the program or the test harness uses otherwise.
            let number = signal_hook::consts::SIGUSR2;
            let mut signals = Signals::new(number).unwrap();
            let nothing = tokio::time::timeout(Duration::from_millis(50), signals.recv()).await;
            assert!(nothing.is_err(), "no delivery, no wake-up");
            for _ in 0..3 {
                signal_hook::low_level::raise(number).unwrap();
            }
            let first = tokio::time::timeout(Duration::from_secs(2), signals.recv()).await;
            assert_eq!(first.unwrap(), Some(()));
            let folded = tokio::time::timeout(Duration::from_millis(50), signals.recv()).await;
            assert!(folded.is_err(), "three deliveries before the wait are one");
            signal_hook::low_level::raise(number).unwrap();
            let again = tokio::time::timeout(Duration::from_secs(2), signals.recv()).await;
            assert_eq!(again.unwrap(), Some(()), "a later delivery is told again");
        });
    }
}
