//! The clients' listening socket: bound here, or inherited from a platform that holds it for all processes of
//! this dispatcher, so that no connection is refused while one takes over from the other.

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{OwnedFd, RawFd};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the machine accepts before the program does: as many as the platform's descriptors.
const QUEUE: u32 = 1024;

/// Why the clients' listening socket cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address cannot be bound.
    #[error("listen {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// The inherited descriptor cannot be duplicated.
    #[error("descriptor {0} cannot be taken: {1}")]
    Descriptor(RawFd, io::Error),
    /// The inherited descriptor is something else.
    #[error("descriptor {0} is no listening socket")]
    NoListener(RawFd),
    /// The inherited socket listens on another address than configured.
    #[error("descriptor {0} listens on {1}, not on {2}")]
    Address(RawFd, SocketAddr, SocketAddr),
    /// Duplicating descriptors is refused, and the address cannot be bound either.
    #[error("descriptor {0} cannot be taken ({1}), and listen {2} cannot be bound instead: {3}")]
    Fallback(RawFd, io::Error, SocketAddr, io::Error),
}

/// A safe duplicate of this process's own descriptor `number`.
fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    let own = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(own, number, PidfdGetfdFlags::empty())?)
}

/// Whether the system call was refused as such rather than failing on this descriptor: not there (ENOSYS, as a
/// filter answers), or not permitted (EPERM, as a stricter filter or a security module answers).
fn refused(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let code = e.raw_os_error();
    code == Some(Errno::NOSYS.raw_os_error()) || code == Some(Errno::PERM.raw_os_error())
}

/// Listens at this address with a queue for a whole crowd: a client that finds it full is only taken by the machine at
/// its next try, a second later.
fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(QUEUE)
}

/// Listens at this address, on the inherited descriptor if there is one. That one is never shut down: it is the
/// other process's and the platform's as well.
///
/// # Errors
/// The address cannot be bound, or the descriptor is not a listening socket on it.
pub async fn listen(at: SocketAddr, inherited: Option<RawFd>) -> Result<TcpListener, ListenError> {
    listen_taking(at, inherited, duplicate).await
}

/// [`listen`], with the way a descriptor is taken passed in.
async fn listen_taking(
    at: SocketAddr,
    inherited: Option<RawFd>,
    take: impl Fn(RawFd) -> io::Result<OwnedFd>,
) -> Result<TcpListener, ListenError> {
    let Some(number) = inherited else {
        return bind(at).map_err(|e| ListenError::Bind(at, e));
    };
    let failed = |e: io::Error| ListenError::Descriptor(number, e);
    // By its number alone it could only be owned unsafely; asked for from ourselves it is a safe duplicate.
    let socket = match take(number) {
        Ok(socket) => socket,
        Err(e) if refused(&e) => {
            // A system-call filter (such as the fleet bench's) or a kernel before 5.6: the address is bound
            // here instead, which works wherever the holder lets others bind it too.
            crate::log_line!(
                "descriptor {number}: pidfd_getfd is refused ({e}); listening on {at} without it"
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

/// Accepts in a row that may fail before the rest of the queue is left: a failure passes, or takes one connection with it.
const MAX_FAILED_ACCEPTS: usize = 16;

/// Whether an accept failed for that one connection or call alone, so that the next may succeed at once.
pub fn is_momentary(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}

/// Whether an accept failed since this process holds as many descriptors as it may.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    error.raw_os_error() == Some(rustix::io::Errno::MFILE.raw_os_error())
}

/// Closes the listening socket and gives what the machine has accepted on it by now, `most` at most: a client counts
/// those as accepted, and asks on them. The socket itself is asked, for the runtime may not have heard of the last yet.
pub fn accepted(listener: TcpListener, most: usize) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return vec![];
    };
    let mut all = vec![];
    let mut failures = 0;
    while all.len() < most && failures < MAX_FAILED_ACCEPTS {
        match listener.accept() {
            Ok((tcp, _)) => {
                failures = 0;
                all.extend(
                    tcp.set_nonblocking(true)
                        .and_then(|()| TcpStream::from_std(tcp)),
                );
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            // One that has gone again meanwhile costs those behind it nothing, nor does a shortage that passes.
            Err(_) => failures += 1,
        }
    }
    all
}

#[cfg(test)]
mod tests;
