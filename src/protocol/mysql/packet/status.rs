//! Status flags (`SERVER_*`) in OK and EOF packets.

/// A transaction is open.
pub const SERVER_STATUS_IN_TRANS: u16 = 1;
/// Each statement is committed automatically.
pub const SERVER_STATUS_AUTOCOMMIT: u16 = 2;
/// Another result follows.
pub const SERVER_MORE_RESULTS_EXISTS: u16 = 8;
/// The rows of this result are fetched through a cursor.
pub const SERVER_STATUS_CURSOR_EXISTS: u16 = 0x40;
/// The last row of a cursor has been sent.
pub const SERVER_STATUS_LAST_ROW_SENT: u16 = 0x80;
/// A backslash in a string stands for itself, by the session's `sql_mode`.
pub const SERVER_STATUS_NO_BACKSLASH_ESCAPES: u16 = 0x200;
/// The OK packet reports changes of the session's state.
pub const SERVER_SESSION_STATE_CHANGED: u16 = 0x4000;
