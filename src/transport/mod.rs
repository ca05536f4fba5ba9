//! Sockets below any protocol: listener, connection limits, framed connections, TLS, descriptors.

pub mod client_socket;
pub mod connection_limiter;
pub mod descriptors;
pub mod framed;
pub mod listener;
pub mod stream;
pub mod tls;
