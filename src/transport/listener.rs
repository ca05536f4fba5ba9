//! The listening socket for clients: bound by this process, or inherited from a platform that holds
//! it for all processes of this dispatcher, so that no connection is refused while one
//! process replaces another.

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{OwnedFd, RawFd};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Length of the listen queue: as many connections as the platform has descriptors.
const LISTEN_BACKLOG: u32 = 1024;

/// Why the listening socket for clients could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address cannot be bound.
    #[error("listen {0}: the address cannot be bound: {1}")]
    Bind(SocketAddr, io::Error),
    /// The inherited descriptor cannot be duplicated.
    #[error("inherited descriptor {0} cannot be duplicated: {1}")]
    Descriptor(RawFd, io::Error),
    /// The inherited descriptor is not a listening socket.
    #[error("inherited descriptor {0} is not a listening socket")]
    NoListener(RawFd),
    /// The inherited socket listens on another address than configured.
    #[error("inherited descriptor {0} listens on {1}, but {2} is configured")]
    Address(RawFd, SocketAddr, SocketAddr),
    /// The system call that duplicates descriptors is rejected, and the address cannot be bound either.
    #[error(
        "inherited descriptor {0} cannot be duplicated ({1}), and listen {2} cannot be bound instead: {3}"
    )]
    Fallback(RawFd, io::Error, SocketAddr, io::Error),
}

/// Duplicates this process's descriptor `number` without unsafe code.
fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(own, number, PidfdGetfdFlags::empty())?)
}

/// Returns whether the system call itself was rejected, rather than failing for this descriptor: it
/// is unavailable (ENOSYS, as a system-call filter returns) or not permitted (EPERM, as a stricter
/// filter or a security module returns).
fn is_call_rejected(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let code = e.raw_os_error();
    code == Some(Errno::NOSYS.raw_os_error()) || code == Some(Errno::PERM.raw_os_error())
}

/// Listens on this address with a queue for a burst of clients: the operating system accepts a
/// client that finds the queue full only at its next attempt, a second later.
fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Listens on this address, on the inherited descriptor if there is one. An inherited socket is
/// never shut down, because it is shared with the other process and the platform.
///
/// # Errors
/// The address cannot be bound, or the descriptor is not a listening socket on it.
pub async fn listen(at: SocketAddr, inherited: Option<RawFd>) -> Result<TcpListener, ListenError> {
    listen_with(at, inherited, duplicate).await
}

/// Implements [`listen`] with a replaceable function that duplicates a descriptor.
async fn listen_with(
    at: SocketAddr,
    inherited: Option<RawFd>,
    duplicate: impl Fn(RawFd) -> io::Result<OwnedFd>,
) -> Result<TcpListener, ListenError> {
    let Some(number) = inherited else {
        return bind(at).map_err(|e| ListenError::Bind(at, e));
    };
    let failed = |e: io::Error| ListenError::Descriptor(number, e);
    // Taking ownership of a descriptor by its number is unsafe; `pidfd_getfd` on this process
    // returns a duplicate safely.
    let socket = match duplicate(number) {
        Ok(socket) => socket,
        Err(e) if is_call_rejected(&e) => {
            // A system-call filter (such as the fleet bench's) rejects the call, or the kernel is
            // older than 5.6. The address is bound instead, which works if the owner of the socket
            // lets others bind it too.
            crate::log_line!(
                "descriptor {number}: pidfd_getfd is rejected ({e}); binding {at} instead"
            );
            return bind(at).map_err(|b| ListenError::Fallback(number, e, at, b));
        }
        Err(e) => return Err(failed(e)),
    };
    if !socket_acceptconn(&socket).unwrap_or(false) {
        return Err(ListenError::NoListener(number));
    }
    let listener = std::net::TcpListener::from(socket);
    let bound = listener.local_addr().map_err(failed)?;
    if bound.ip() != at.ip() || at.port() != 0 && bound.port() != at.port() {
        return Err(ListenError::Address(number, bound, at));
    }
    listener.set_nonblocking(true).map_err(failed)?;
    TcpListener::from_std(listener).map_err(failed)
}

/// Maximum number of consecutive failures before the rest of the queue is abandoned: a failure is
/// transient or affects a single connection.
const MAX_CONSECUTIVE_FAILURES: usize = 16;

/// Returns whether the error affects only one connection or call, so that the next accept may
/// succeed at once.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}

/// Returns whether an accept failed because the process has reached its limit of descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(rustix::io::Errno::MFILE.raw_os_error())
}

/// Closes the listening socket and returns the connections that the operating system has accepted
/// on it, `limit` at most: for their clients they are established, and may carry requests already.
/// The socket itself is polled, because the runtime may not have been notified of the latest
/// connections.
pub fn drain_accept_queue(listener: TcpListener, limit: usize) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return vec![];
    };
    let mut all = vec![];
    let mut failures = 0;
    while all.len() < limit && failures < MAX_CONSECUTIVE_FAILURES {
        match listener.accept() {
            Ok((tcp, _)) => {
                failures = 0;
                all.extend(
                    tcp.set_nonblocking(true)
                        .and_then(|()| TcpStream::from_std(tcp)),
                );
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            // An aborted connection or a transient shortage of resources must not lose the
            // connections queued behind.
            Err(_) => failures += 1,
        }
    }
    all
}

#[cfg(test)]
mod tests;
