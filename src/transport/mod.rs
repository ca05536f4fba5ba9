//! Sockets without protocol: listener, connection limits, framed connections, TLS and file descriptors.

pub mod buffer_pool;
pub mod client_socket;
pub mod connection_limiter;
pub mod descriptors;
pub mod framed_connection;
pub mod incoming_message;
pub mod listener;
pub mod memory_budget;
pub mod pending_input;
pub mod plain_socket;
pub mod stream;
pub mod tls;
