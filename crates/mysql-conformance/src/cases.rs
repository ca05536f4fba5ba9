//! Scripts of client commands, in the order of the public protocol description, and the expected answers.

use query_dispatcher::protocol::mysql::packet::*;

/// An action of a client, and the expected answer.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Sends a statement with COM_QUERY.
    Sql(&'static str, Expectation),
    /// Sends a command with this body.
    Command(u8, &'static [u8], Expectation),
    /// Prepares a statement and executes it once per expected answer.
    Prepare(&'static str, &'static [Expectation]),
    /// Executes a statement with a cursor and fetches this many rows.
    Cursor(&'static str, u32, Expectation),
    /// Sends COM_CHANGE_USER with a user and a password.
    ChangeUser(&'static str, &'static str, Expectation),
    /// Sends a slow statement, which another session of this user ends with KILL QUERY.
    KillQuery(&'static str, Expectation),
    /// Sends a statement on another session.
    OtherSession(&'static str, Expectation),
}

/// An expected answer.
#[derive(Clone, Copy, Debug)]
pub enum Expectation {
    /// An OK without columns.
    Ok,
    /// A result with this many rows.
    Rows(usize),
    /// A result whose first row begins with these columns.
    First(&'static [&'static str]),
    /// An error with this code.
    Code(u16),
    /// An OK or a result whose status has all of the first flags and none of the second.
    Status(u16, u16),
    /// Any answer but an error or the end of the connection.
    Any,
}

use Expectation::{Any, Code, First, Ok, Rows, Status};
use Step::{ChangeUser, Command, Cursor, KillQuery, OtherSession, Prepare, Sql};

/// Whether a case is also run against the fake engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRun {
    /// It is, with the same expected answers.
    Same,
    /// It is not: the case concerns the dispatcher alone.
    Skipped,
}

/// A script, with its place in the table.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub area: &'static str,
    pub name: &'static str,
    pub engine: EngineRun,
    pub steps: &'static [Step],
}

const fn case(
    area: &'static str,
    name: &'static str,
    engine: EngineRun,
    steps: &'static [Step],
) -> Case {
    Case {
        area,
        name,
        engine,
        steps,
    }
}

use EngineRun::{Same, Skipped};

const COMMANDS: &str = "Commands";
const PREPARED: &str = "Prepared statements";
const SETTINGS: &str = "Settings of a session";
const TRANSACTIONS: &str = "Transactions and locks";
const OTHER: &str = "Other statements";

pub const CASES: &[Case] = &[
    case(COMMANDS, "COM_PING", Same, &[Command(COM_PING, b"", Ok)]),
    case(
        COMMANDS,
        "COM_QUERY with rows",
        Same,
        &[Sql("select a from t", Rows(1))],
    ),
    case(
        COMMANDS,
        "COM_QUERY without rows",
        Same,
        &[Sql("insert into t values (1)", Ok)],
    ),
    case(
        COMMANDS,
        "COM_INIT_DB",
        Same,
        &[
            Command(COM_INIT_DB, b"sales_17", Ok),
            Sql("select a from t", Rows(1)),
        ],
    ),
    case(
        COMMANDS,
        "COM_STATISTICS",
        Skipped,
        &[Command(COM_STATISTICS, b"", Any)],
    ),
    case(
        COMMANDS,
        "COM_RESET_CONNECTION",
        Skipped,
        &[
            Sql("set time_zone = '+04:00', @x = 1", Ok),
            Command(COM_RESET_CONNECTION, b"", Ok),
            Sql("select @@time_zone, @x", First(&["SYSTEM", "NULL"])),
        ],
    ),
    case(
        COMMANDS,
        "COM_CHANGE_USER",
        Skipped,
        &[
            Sql("set time_zone = '+04:00'", Ok),
            ChangeUser("guest", "guest", Ok),
            Sql("select @@time_zone", First(&["SYSTEM"])),
        ],
    ),
    case(
        COMMANDS,
        "COM_CHANGE_USER with a wrong password",
        Skipped,
        &[ChangeUser("guest", "wrong", Code(1045))],
    ),
    case(
        COMMANDS,
        "COM_SET_OPTION, several statements off",
        Skipped,
        &[Command(COM_SET_OPTION, &[1, 0], Any)],
    ),
    case(
        COMMANDS,
        "COM_SET_OPTION, several statements on",
        Skipped,
        &[Command(COM_SET_OPTION, &[0, 0], Code(1235))],
    ),
    case(
        COMMANDS,
        "COM_FIELD_LIST (deprecated)",
        Skipped,
        &[Command(0x04, b"t\0", Code(1047))],
    ),
    case(
        COMMANDS,
        "COM_PROCESS_KILL (deprecated)",
        Skipped,
        &[Command(0x0c, &[1, 0, 0, 0], Code(1047))],
    ),
    case(
        COMMANDS,
        "a command that is not known",
        Skipped,
        &[
            Command(0x77, b"", Code(1047)),
            Sql("select a from t", Rows(1)),
        ],
    ),
    case(
        PREPARED,
        "prepare and execute, twice",
        Same,
        &[Prepare("select a from t", &[Rows(1), Rows(1)])],
    ),
    case(
        PREPARED,
        "execute without rows",
        Same,
        &[Prepare("insert into t values (1)", &[Ok])],
    ),
    case(
        PREPARED,
        "a read-only cursor, COM_STMT_FETCH",
        Skipped,
        &[Cursor("select a from t /* rows(9, 10) */", 9, Rows(9))],
    ),
    case(
        PREPARED,
        "fetch without a cursor",
        Skipped,
        &[Command(
            COM_STMT_FETCH,
            &[9, 0, 0, 0, 1, 0, 0, 0],
            Code(1243),
        )],
    ),
    case(
        PREPARED,
        "execute of what was never prepared",
        Same,
        &[Command(
            COM_STMT_EXECUTE,
            &[99, 0, 0, 0, 0, 1, 0, 0, 0],
            Code(1243),
        )],
    ),
    case(
        PREPARED,
        "SQL's own PREPARE",
        Skipped,
        &[Sql("prepare p from 'select 1'", Code(1235))],
    ),
    case(
        PREPARED,
        "SET as a prepared statement",
        Skipped,
        &[Prepare("set @x = 1", &[Code(1235)])],
    ),
    case(
        SETTINGS,
        "SET NAMES with a collation",
        Same,
        &[Sql("SET NAMES 'utf8mb4' COLLATE 'utf8mb4_0900_ai_ci'", Ok)],
    ),
    case(
        SETTINGS,
        "SET NAMES beyond Unicode",
        Skipped,
        &[Sql("SET NAMES latin1", Code(1235))],
    ),
    case(
        SETTINGS,
        "SET of session variables, read back",
        Same,
        &[
            Sql("SET SESSION time_zone = '+04:00', sql_mode = 'ANSI'", Ok),
            Sql(
                "select @@session.time_zone, @@sql_mode",
                First(&["+04:00", "ANSI"]),
            ),
        ],
    ),
    case(
        SETTINGS,
        "SET @@session.x, SET @@x, SET LOCAL x",
        Same,
        &[
            Sql("SET @@session.time_zone = '+01:00'", Ok),
            Sql("SET @@time_zone = '+02:00'", Ok),
            Sql("SET LOCAL time_zone = '+03:00'", Ok),
            Sql("select @@time_zone", First(&["+03:00"])),
        ],
    ),
    case(
        SETTINGS,
        "SET x = DEFAULT",
        Same,
        &[
            Sql("SET time_zone = '+04:00'", Ok),
            Sql("SET time_zone = DEFAULT", Ok),
            Sql("select @@time_zone", First(&["SYSTEM"])),
        ],
    ),
    case(
        SETTINGS,
        "SET with a computed value",
        Same,
        &[
            Sql("SET sql_mode = (SELECT CONCAT(@@sql_mode, ',ANSI'))", Ok),
            Sql(
                "select @@sql_mode",
                First(&["ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,ANSI"]),
            ),
        ],
    ),
    case(
        SETTINGS,
        "SET of a variable that is not there",
        Same,
        &[Sql("SET nonsense = 1", Code(1193))],
    ),
    case(
        SETTINGS,
        "SET of a value that cannot be",
        Same,
        &[
            Sql(
                "SET time_zone = '+04:00', sql_mode = 'NONSENSE'",
                Code(1231),
            ),
            Sql("select @@time_zone", First(&["SYSTEM"])),
        ],
    ),
    case(
        SETTINGS,
        "SET that cannot be read",
        Skipped,
        &[Sql("SET time_zone", Code(1064))],
    ),
    case(
        SETTINGS,
        "SET GLOBAL",
        Skipped,
        &[Sql("SET GLOBAL time_zone = 'UTC'", Code(1235))],
    ),
    case(
        SETTINGS,
        "user variables",
        Same,
        &[
            Sql("SET @a = 'it''s', @b := 2", Ok),
            Sql("select @a, @b, @c", First(&["it's", "2", "NULL"])),
        ],
    ),
    case(
        SETTINGS,
        "a user variable assigned in a SELECT",
        Skipped,
        &[Sql("select a into @n from t", Any)],
    ),
    case(
        SETTINGS,
        "SHOW VARIABLES LIKE",
        Same,
        &[
            Sql("SET time_zone = '+04:00'", Ok),
            Sql(
                "SHOW VARIABLES LIKE 'time_zone'",
                First(&["time_zone", "+04:00"]),
            ),
        ],
    ),
    case(
        SETTINGS,
        "SHOW WARNINGS of the statement before",
        Same,
        &[
            Sql("insert into t values ('warns') /* warns */ , ( warns )", Ok),
            Sql(
                "show warnings",
                First(&["Warning", "1265", "Data truncated"]),
            ),
        ],
    ),
    case(
        SETTINGS,
        "SHOW WARNINGS behind an error",
        Skipped,
        &[
            Sql("SET nonsense = 1", Code(1193)),
            Sql("show warnings", First(&["Error", "1193"])),
            Sql("select a from t", Rows(1)),
            Sql("show warnings", Rows(0)),
        ],
    ),
    case(
        TRANSACTIONS,
        "BEGIN, COMMIT",
        Same,
        &[
            Sql(
                "begin",
                Status(SERVER_STATUS_IN_TRANS | SERVER_STATUS_AUTOCOMMIT, 0),
            ),
            Sql(
                "insert into t values (1)",
                Status(SERVER_STATUS_IN_TRANS, 0),
            ),
            Sql(
                "commit",
                Status(SERVER_STATUS_AUTOCOMMIT, SERVER_STATUS_IN_TRANS),
            ),
        ],
    ),
    case(
        TRANSACTIONS,
        "START TRANSACTION, ROLLBACK",
        Same,
        &[
            Sql(
                "start transaction read write",
                Status(SERVER_STATUS_IN_TRANS, 0),
            ),
            Sql("rollback", Status(0, SERVER_STATUS_IN_TRANS)),
        ],
    ),
    case(
        TRANSACTIONS,
        "autocommit = 0",
        Same,
        &[
            Sql("SET autocommit = 0", Status(0, SERVER_STATUS_AUTOCOMMIT)),
            Sql(
                "insert into t values (1)",
                Status(SERVER_STATUS_IN_TRANS, SERVER_STATUS_AUTOCOMMIT),
            ),
            Sql(
                "commit",
                Status(0, SERVER_STATUS_IN_TRANS | SERVER_STATUS_AUTOCOMMIT),
            ),
            Sql("SET autocommit = 1", Status(SERVER_STATUS_AUTOCOMMIT, 0)),
        ],
    ),
    case(
        TRANSACTIONS,
        "SET autocommit = 1 commits",
        Same,
        &[
            Sql("SET autocommit = 0", Any),
            Sql(
                "insert into t values (1)",
                Status(SERVER_STATUS_IN_TRANS, 0),
            ),
            Sql(
                "SET autocommit = 1",
                Status(SERVER_STATUS_AUTOCOMMIT, SERVER_STATUS_IN_TRANS),
            ),
        ],
    ),
    case(
        TRANSACTIONS,
        "savepoints",
        Same,
        &[
            Sql("begin", Any),
            Sql("savepoint a", Any),
            Sql("rollback to savepoint a", Status(SERVER_STATUS_IN_TRANS, 0)),
            Sql("release savepoint a", Any),
            Sql("rollback", Any),
        ],
    ),
    case(
        TRANSACTIONS,
        "SET TRANSACTION for the next one",
        Same,
        &[
            Sql(
                "SET TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY",
                Ok,
            ),
            Sql("begin", Any),
            Sql("commit", Any),
        ],
    ),
    case(
        TRANSACTIONS,
        "SET TRANSACTION on a connection that is held",
        Same,
        &[
            Sql("create temporary table x (a int)", Any),
            Sql("SET TRANSACTION READ ONLY", Ok),
            Sql("begin", Status(SERVER_STATUS_IN_TRANS, 0)),
            Sql("commit", Any),
        ],
    ),
    case(
        TRANSACTIONS,
        "COMMIT AND CHAIN",
        Same,
        &[
            Sql("begin", Any),
            Sql("commit and chain", Status(SERVER_STATUS_IN_TRANS, 0)),
            Sql("rollback", Status(0, SERVER_STATUS_IN_TRANS)),
        ],
    ),
    case(
        TRANSACTIONS,
        "COMMIT RELEASE",
        Skipped,
        &[Sql("commit release", Code(1235))],
    ),
    case(
        TRANSACTIONS,
        "prepared statements in a transaction",
        Same,
        &[
            Sql("begin", Any),
            Prepare(
                "insert into t values (1)",
                &[Status(SERVER_STATUS_IN_TRANS, 0)],
            ),
            Sql("commit", Any),
        ],
    ),
    case(
        TRANSACTIONS,
        "SELECT ... FOR UPDATE",
        Same,
        &[
            Sql("begin", Any),
            Sql("select a from t for update", Rows(1)),
            Sql("commit", Any),
        ],
    ),
    case(
        TRANSACTIONS,
        "LOCK TABLES, UNLOCK TABLES",
        Same,
        &[Sql("lock tables t write", Any), Sql("unlock tables", Any)],
    ),
    case(
        TRANSACTIONS,
        "temporary tables",
        Same,
        &[
            Sql("create temporary table x (a int)", Any),
            Sql("select a from x", Rows(1)),
        ],
    ),
    case(
        TRANSACTIONS,
        "GET_LOCK",
        Same,
        &[Sql("select get_lock('a', 1)", Any)],
    ),
    case(
        TRANSACTIONS,
        "XA",
        Skipped,
        &[Sql("xa start 'x'", Code(1235))],
    ),
    case(
        OTHER,
        "KILL QUERY of an own session",
        Skipped,
        &[KillQuery("select a from t /* slow */", Code(1317))],
    ),
    case(
        OTHER,
        "KILL QUERY of a session that is not there",
        Skipped,
        &[Sql("kill query 999999", Code(1094))],
    ),
    case(
        OTHER,
        "KILL of a connection",
        Skipped,
        &[Sql("kill 1", Code(1235))],
    ),
    case(
        OTHER,
        "another session is untouched",
        Skipped,
        &[
            Sql("SET time_zone = '+04:00', @x = 1", Ok),
            OtherSession("select @@time_zone, @x", First(&["SYSTEM", "NULL"])),
        ],
    ),
    case(OTHER, "CALL", Skipped, &[Sql("call p()", Code(1235))]),
    case(
        OTHER,
        "several statements in one",
        Skipped,
        &[Sql("select 1; select 2", Code(1235))],
    ),
    case(
        OTHER,
        "LOAD DATA LOCAL INFILE",
        Skipped,
        &[Sql("load data local infile 'x' into table t", Code(1235))],
    ),
    case(
        OTHER,
        "ROW_COUNT(), FOUND_ROWS()",
        Skipped,
        &[Sql("select row_count()", Code(1235))],
    ),
    case(
        OTHER,
        "statements that administer an engine",
        Skipped,
        &[Sql("shutdown", Code(1235)), Sql("flush tables", Code(1235))],
    ),
];

/// Features that no script covers, and the reason for each.
pub const UNTESTED: &[(&str, &str)] = &[
    (
        "TLS",
        "offered where keys are named; played by `tests/mysql_tls.rs`, not by these scripts",
    ),
    ("compression (zlib, zstd)", "not offered"),
    (
        "full authentication of caching_sha2_password",
        "its fast path is offered alone",
    ),
    (
        "packets of 16 MB and more",
        "refused above `max_packet`; no script sends one",
    ),
    (
        "several results, OUT parameters",
        "stored procedures are not carried",
    ),
    ("query attributes", "not offered"),
    ("session tracking beyond a result's handle", "not offered"),
    ("COM_BINLOG_DUMP and the like", "replication is not carried"),
];
