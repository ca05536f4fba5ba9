//! Errors as a MySQL client gets them, and the codes that the frontend uses.

/// An error as a client gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct SqlError {
    pub code: u16,
    pub state: &'static str,
    pub message: String,
}

impl SqlError {
    pub fn new((code, state): (u16, &'static str), message: impl Into<String>) -> Self {
        SqlError {
            code,
            state,
            message: message.into(),
        }
    }
}

/// The codes of this front, all standard ones.
///
/// | code | SQLSTATE | when |
/// | --- | --- | --- |
/// | 3168 | HY000 | refused: nothing ran, or running it again does no harm; the message says when to come back |
/// | 3024 | HY000 | the time is over |
/// | 1317 | 70100 | failed: it may have run |
/// | 1045 | 28000 | wrong user or password |
/// | 1040 | 08004 | too many clients |
/// | 1053 | 08S01 | the dispatcher shuts down |
/// | 1235 | 42000 | a feature that is not carried: the message names it |
/// | 1213 | 40001 | a transaction, or what else a pin held, is rolled back: begin it again |
/// | 1203 | 42000 | too many sessions hold an engine connection |
/// | 1243 | HY000 | no such prepared statement |
/// | 1210 | HY000 | parameters that cannot be read |
/// | 1461 | 42000 | too many prepared statements in the session |
/// | 1153 | 08S01 | a packet above the bound |
/// | 1047 | 08S01 | an unknown command |
/// | 1835 | HY000 | a malformed packet |
/// | 1104 | 42000 | a result above a bound, or that breaks off |
/// | 1064 | 42000 | a statement of ours that cannot be read |
/// | 1141 | 42000 | no result of this user has this handle, or it has expired |
/// | 3159 | HY000 | only clients in TLS are served |
/// | 1094 | HY000 | KILL QUERY of a session that is not here |
/// | 1095 | HY000 | KILL QUERY of another user's session |
/// | 1421 | HY000 | no cursor is open on this statement |
pub mod code {
    pub type Code = (u16, &'static str);
    pub const ER_SERVER_ISNT_AVAILABLE: Code = (3168, "HY000");
    pub const ER_QUERY_TIMEOUT: Code = (3024, "HY000");
    pub const ER_QUERY_INTERRUPTED: Code = (1317, "70100");
    pub const ER_ACCESS_DENIED: Code = (1045, "28000");
    pub const ER_CON_COUNT: Code = (1040, "08004");
    pub const ER_SERVER_SHUTDOWN: Code = (1053, "08S01");
    pub const ER_NOT_SUPPORTED_YET: Code = (1235, "42000");
    pub const ER_LOCK_DEADLOCK: Code = (1213, "40001");
    pub const ER_SECURE_TRANSPORT_REQUIRED: Code = (3159, "HY000");
    pub const ER_TOO_MANY_USER_CONNECTIONS: Code = (1203, "42000");
    pub const ER_UNKNOWN_STMT_HANDLER: Code = (1243, "HY000");
    pub const ER_WRONG_ARGUMENTS: Code = (1210, "HY000");
    pub const ER_MAX_PREPARED_STMT_COUNT_REACHED: Code = (1461, "42000");
    pub const ER_NET_PACKET_TOO_LARGE: Code = (1153, "08S01");
    pub const ER_UNKNOWN_COM: Code = (1047, "08S01");
    pub const ER_MALFORMED_PACKET: Code = (1835, "HY000");
    pub const ER_TOO_BIG_SELECT: Code = (1104, "42000");
    pub const ER_PARSE: Code = (1064, "42000");
    pub const ER_NONEXISTING_GRANT: Code = (1141, "42000");
    pub const ER_NO_SUCH_THREAD: Code = (1094, "HY000");
    pub const ER_KILL_DENIED: Code = (1095, "HY000");
    pub const ER_STMT_HAS_NO_OPEN_CURSOR: Code = (1421, "HY000");
}
