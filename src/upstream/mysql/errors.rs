//! Classification of MySQL error numbers that engines return.

use super::work::Output;
use crate::decision::model::Outcome;

/// Returns whether the error reports that the engine has no free capacity, so that nothing ran.
pub(super) fn is_engine_full(code: u16) -> bool {
    const ER_CON_COUNT_ERROR: u16 = 1040;
    const ER_TOO_MANY_USER_CONNECTIONS: u16 = 1203;
    const ER_USER_LIMIT_REACHED: u16 = 1226;
    matches!(
        code,
        ER_CON_COUNT_ERROR | ER_TOO_MANY_USER_CONNECTIONS | ER_USER_LIMIT_REACHED
    )
}

/// Returns whether the error reports that the engine, or this connection to it, ends: what was open there is rolled back.
pub(super) fn ends_connection(code: u16) -> bool {
    const ER_SERVER_SHUTDOWN: u16 = 1053;
    /// MariaDB's number for [`ER_SESSION_WAS_KILLED`].
    const ER_CONNECTION_KILLED: u16 = 1927;
    const ER_SERVER_ISNT_AVAILABLE: u16 = 3168;
    const ER_SESSION_WAS_KILLED: u16 = 3169;
    const ER_CLIENT_INTERACTION_TIMEOUT: u16 = 4031;
    matches!(
        code,
        ER_SERVER_SHUTDOWN
            | ER_CONNECTION_KILLED
            | ER_SERVER_ISNT_AVAILABLE
            | ER_SESSION_WAS_KILLED
            | ER_CLIENT_INTERACTION_TIMEOUT
    )
}

/// Returns whether the error reports a fault of the engine, which may have occurred while the statement
/// ran: a shutdown, a kill, an exceeded time limit or a deadlock.
pub(super) fn is_engine_fault(code: u16) -> bool {
    const ER_LOCK_WAIT_TIMEOUT: u16 = 1205;
    const ER_LOCK_DEADLOCK: u16 = 1213;
    const ER_QUERY_INTERRUPTED: u16 = 1317;
    const ER_QUERY_TIMEOUT: u16 = 3024;
    let interrupts_statement = matches!(
        code,
        ER_LOCK_WAIT_TIMEOUT | ER_LOCK_DEADLOCK | ER_QUERY_INTERRUPTED | ER_QUERY_TIMEOUT
    );
    interrupts_statement || ends_connection(code)
}

/// Returns the outcome of an attempt whose answer reports a failure of the engine; `None` if the answer
/// is the result or the error of the statement itself.
pub(super) fn outcome_of(output: &Output) -> Option<Outcome> {
    let code = output.sql_error()?.code;
    if is_engine_full(code) {
        Some(Outcome::Rejected)
    } else if is_engine_fault(code) {
        Some(Outcome::Error)
    } else {
        None
    }
}
