//! Capability flags (`CLIENT_*`), negotiated in the handshake.

/// Use the improved version of the old password authentication.
pub const CLIENT_LONG_PASSWORD: u32 = 1;
/// Report found rows instead of affected rows.
pub const CLIENT_FOUND_ROWS: u32 = 1 << 1;
/// Longer flags in column definitions.
pub const CLIENT_LONG_FLAG: u32 = 1 << 2;
/// The login names a schema.
pub const CLIENT_CONNECT_WITH_DB: u32 = 1 << 3;
/// The client uses the protocol of version 4.1.
pub const CLIENT_PROTOCOL_41: u32 = 1 << 9;
/// The connection can switch to TLS.
pub const CLIENT_SSL: u32 = 1 << 11;
/// Status flags report the state of transactions.
pub const CLIENT_TRANSACTIONS: u32 = 1 << 13;
/// The client uses the authentication of version 4.1.
pub const CLIENT_SECURE_CONNECTION: u32 = 1 << 15;
/// The login names an authentication plugin.
pub const CLIENT_PLUGIN_AUTH: u32 = 1 << 19;
/// The login carries connection attributes.
pub const CLIENT_CONNECT_ATTRS: u32 = 1 << 20;
/// The authentication response is length-encoded.
pub const CLIENT_PLUGIN_AUTH_LENENC: u32 = 1 << 21;
/// OK packets report changes of the session's state.
pub const CLIENT_SESSION_TRACK: u32 = 1 << 23;
/// Results end with an OK packet instead of EOF packets.
pub const CLIENT_DEPRECATE_EOF: u32 = 1 << 24;

/// Capabilities that the dispatcher supports both as a server and as a client.
pub const BASE_CAPABILITIES: u32 = CLIENT_LONG_PASSWORD
    | CLIENT_FOUND_ROWS
    | CLIENT_LONG_FLAG
    | CLIENT_CONNECT_WITH_DB
    | CLIENT_PROTOCOL_41
    | CLIENT_TRANSACTIONS
    | CLIENT_SECURE_CONNECTION
    | CLIENT_PLUGIN_AUTH
    | CLIENT_PLUGIN_AUTH_LENENC
    | CLIENT_CONNECT_ATTRS;

/// Capabilities that the frontend offers. Those beyond [`BASE_CAPABILITIES`] are never requested
/// from an engine.
pub const FRONTEND_CAPABILITIES: u32 =
    BASE_CAPABILITIES | CLIENT_SESSION_TRACK | CLIENT_DEPRECATE_EOF;
