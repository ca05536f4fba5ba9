//! Errors for MySQL clients, and the error codes that the frontend sends.

/// An error number with its SQLSTATE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorCode {
    /// MySQL's error number.
    pub number: u16,
    /// SQLSTATE, five characters.
    pub sql_state: &'static str,
}

impl ErrorCode {
    /// Creates a code from a number and its SQLSTATE.
    pub const fn new(number: u16, sql_state: &'static str) -> Self {
        ErrorCode { number, sql_state }
    }
}

/// The content of an ERR packet.
#[derive(Clone, Debug, PartialEq)]
pub struct SqlError {
    /// MySQL's error number.
    pub code: u16,
    /// SQLSTATE, five characters.
    pub state: &'static str,
    /// The message for the user.
    pub message: String,
}

impl SqlError {
    /// Creates an error with this code and message.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        SqlError {
            code: code.number,
            state: code.sql_state,
            message: message.into(),
        }
    }
}

/// The codes that the frontend sends, under MySQL's own names.
pub mod code {
    use super::ErrorCode;

    /// Too little memory is left.
    pub const ER_OUT_OF_RESOURCES: ErrorCode = ErrorCode::new(1041, "HY000");
    /// The request was rejected: nothing ran, or the request is safe to retry. The message contains the
    /// retry delay.
    pub const ER_SERVER_ISNT_AVAILABLE: ErrorCode = ErrorCode::new(3168, "HY000");
    /// The request's deadline has passed.
    pub const ER_QUERY_TIMEOUT: ErrorCode = ErrorCode::new(3024, "HY000");
    /// The request failed and may have run.
    pub const ER_QUERY_INTERRUPTED: ErrorCode = ErrorCode::new(1317, "70100");
    /// Wrong user or password.
    pub const ER_ACCESS_DENIED: ErrorCode = ErrorCode::new(1045, "28000");
    /// Too many clients.
    pub const ER_CON_COUNT: ErrorCode = ErrorCode::new(1040, "08004");
    /// The dispatcher is shutting down.
    pub const ER_SERVER_SHUTDOWN: ErrorCode = ErrorCode::new(1053, "08S01");
    /// A feature that is not supported; the message names it.
    pub const ER_NOT_SUPPORTED_YET: ErrorCode = ErrorCode::new(1235, "42000");
    /// A transaction, or other state of a sticky session, was rolled back and can be begun again.
    pub const ER_LOCK_DEADLOCK: ErrorCode = ErrorCode::new(1213, "40001");
    /// Only clients with TLS are served.
    pub const ER_SECURE_TRANSPORT_REQUIRED: ErrorCode = ErrorCode::new(3159, "HY000");
    /// Too many sessions hold an engine connection.
    pub const ER_TOO_MANY_USER_CONNECTIONS: ErrorCode = ErrorCode::new(1203, "42000");
    /// No such prepared statement.
    pub const ER_UNKNOWN_STMT_HANDLER: ErrorCode = ErrorCode::new(1243, "HY000");
    /// Parameters that cannot be parsed.
    pub const ER_WRONG_ARGUMENTS: ErrorCode = ErrorCode::new(1210, "HY000");
    /// Too many prepared statements in the session.
    pub const ER_MAX_PREPARED_STMT_COUNT_REACHED: ErrorCode = ErrorCode::new(1461, "42000");
    /// A packet above the limit.
    pub const ER_NET_PACKET_TOO_LARGE: ErrorCode = ErrorCode::new(1153, "08S01");
    /// An unknown command.
    pub const ER_UNKNOWN_COM: ErrorCode = ErrorCode::new(1047, "08S01");
    /// A malformed packet.
    pub const ER_MALFORMED_PACKET: ErrorCode = ErrorCode::new(1835, "HY000");
    /// A result above a limit, or one that was interrupted.
    pub const ER_TOO_BIG_SELECT: ErrorCode = ErrorCode::new(1104, "42000");
    /// An administrative statement or a SET that cannot be parsed.
    pub const ER_PARSE: ErrorCode = ErrorCode::new(1064, "42000");
    /// A SET of a variable that no server has.
    pub const ER_UNKNOWN_SYSTEM_VARIABLE: ErrorCode = ErrorCode::new(1193, "HY000");
    /// No result of this user has this handle, or it has expired.
    pub const ER_NONEXISTING_GRANT: ErrorCode = ErrorCode::new(1141, "42000");
    /// KILL QUERY of a session that does not exist here.
    pub const ER_NO_SUCH_THREAD: ErrorCode = ErrorCode::new(1094, "HY000");
    /// KILL QUERY of another user's session.
    pub const ER_KILL_DENIED: ErrorCode = ErrorCode::new(1095, "HY000");
    /// No cursor is open on this statement.
    pub const ER_STMT_HAS_NO_OPEN_CURSOR: ErrorCode = ErrorCode::new(1421, "HY000");
}
