//! Command bytes (`COM_*`): the first byte of a client's packet.

/// The client closes the connection.
pub const COM_QUIT: u8 = 0x01;
/// Change the default schema.
pub const COM_INIT_DB: u8 = 0x02;
/// Execute a statement of the text protocol.
pub const COM_QUERY: u8 = 0x03;
/// Request a line of text about the server.
pub const COM_STATISTICS: u8 = 0x09;
/// Check that the server is alive.
pub const COM_PING: u8 = 0x0e;
/// Authenticate as another user.
pub const COM_CHANGE_USER: u8 = 0x11;
/// Prepare a statement.
pub const COM_STMT_PREPARE: u8 = 0x16;
/// Execute a prepared statement.
pub const COM_STMT_EXECUTE: u8 = 0x17;
/// Append data to a parameter; this command has no response.
pub const COM_STMT_SEND_LONG_DATA: u8 = 0x18;
/// Close a prepared statement; this command has no response.
pub const COM_STMT_CLOSE: u8 = 0x19;
/// Reset a prepared statement's long data and cursor.
pub const COM_STMT_RESET: u8 = 0x1a;
/// Enable or disable multiple statements in one command.
pub const COM_SET_OPTION: u8 = 0x1b;
/// Fetch rows of a cursor.
pub const COM_STMT_FETCH: u8 = 0x1c;
/// Reset the session's state.
pub const COM_RESET_CONNECTION: u8 = 0x1f;
