//! The scripts: what a client sends, in the order of the public protocol description, and what has to come back.

use query_dispatcher::protocol::mysql::packet::*;

/// One thing that a client does, and what it wants to see.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Sql(&'static str, Want),
    /// A command with its body.
    Command(u8, &'static [u8], Want),
    /// Prepares it and executes it as often as there are wants.
    Prepared(&'static str, &'static [Want]),
    /// Executes with a cursor and fetches so many rows.
    Cursor(&'static str, u32, Want),
    /// A user and a password for COM_CHANGE_USER.
    ChangeUser(&'static str, &'static str, Want),
    /// Another session of this user's kills what is asked here by this statement, which takes its time.
    Killed(&'static str, Want),
    /// Another session sees this.
    Beside(&'static str, Want),
}

#[derive(Clone, Copy, Debug)]
pub enum Want {
    Ok,
    Rows(usize),
    /// The first columns of the first row.
    First(&'static [&'static str]),
    /// An error with this code.
    Code(u16),
    /// An OK or a result whose status holds the first flags and not the second.
    Status(u16, u16),
    /// Whatever is no error and no end of the connection.
    Any,
}

use Step::{Beside, ChangeUser, Command, Cursor, Killed, Prepared, Sql};
use Want::{Any, Code, First, Ok, Rows, Status};

/// How the case is run against the stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Engine {
    /// The same is wanted of it.
    Alike,
    /// It is about the dispatcher alone.
    No,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub area: &'static str,
    pub name: &'static str,
    pub engine: Engine,
    pub steps: &'static [Step],
}

const fn case(
    area: &'static str,
    name: &'static str,
    engine: Engine,
    steps: &'static [Step],
) -> Case {
    Case {
        area,
        name,
        engine,
        steps,
    }
}

use Engine::{Alike, No};

const TEXT: &str = "Commands";
const PREPARED: &str = "Prepared statements";
const SETTINGS: &str = "Settings of a session";
const OPEN: &str = "Transactions and locks";
const OTHER: &str = "Other statements";

pub const CASES: &[Case] = &[
    case(TEXT, "COM_PING", Alike, &[Command(COM_PING, b"", Ok)]),
    case(
        TEXT,
        "COM_QUERY with rows",
        Alike,
        &[Sql("select a from t", Rows(1))],
    ),
    case(
        TEXT,
        "COM_QUERY without rows",
        Alike,
        &[Sql("insert into t values (1)", Ok)],
    ),
    case(
        TEXT,
        "COM_INIT_DB",
        Alike,
        &[
            Command(COM_INIT_DB, b"sales_17", Ok),
            Sql("select a from t", Rows(1)),
        ],
    ),
    case(
        TEXT,
        "COM_STATISTICS",
        No,
        &[Command(COM_STATISTICS, b"", Any)],
    ),
    case(
        TEXT,
        "COM_RESET_CONNECTION",
        No,
        &[
            Sql("set time_zone = '+04:00', @x = 1", Ok),
            Command(COM_RESET_CONNECTION, b"", Ok),
            Sql("select @@time_zone, @x", First(&["SYSTEM", "NULL"])),
        ],
    ),
    case(
        TEXT,
        "COM_CHANGE_USER",
        No,
        &[
            Sql("set time_zone = '+04:00'", Ok),
            ChangeUser("guest", "guest", Ok),
            Sql("select @@time_zone", First(&["SYSTEM"])),
        ],
    ),
    case(
        TEXT,
        "COM_CHANGE_USER with a wrong password",
        No,
        &[ChangeUser("guest", "wrong", Code(1045))],
    ),
    case(
        TEXT,
        "COM_SET_OPTION, several statements off",
        No,
        &[Command(COM_SET_OPTION, &[1, 0], Any)],
    ),
    case(
        TEXT,
        "COM_SET_OPTION, several statements on",
        No,
        &[Command(COM_SET_OPTION, &[0, 0], Code(1235))],
    ),
    case(
        TEXT,
        "COM_FIELD_LIST (deprecated)",
        No,
        &[Command(0x04, b"t\0", Code(1047))],
    ),
    case(
        TEXT,
        "COM_PROCESS_KILL (deprecated)",
        No,
        &[Command(0x0c, &[1, 0, 0, 0], Code(1047))],
    ),
    case(
        TEXT,
        "a command that is not known",
        No,
        &[
            Command(0x77, b"", Code(1047)),
            Sql("select a from t", Rows(1)),
        ],
    ),
    case(
        PREPARED,
        "prepare and execute, twice",
        Alike,
        &[Prepared("select a from t", &[Rows(1), Rows(1)])],
    ),
    case(
        PREPARED,
        "execute without rows",
        Alike,
        &[Prepared("insert into t values (1)", &[Ok])],
    ),
    case(
        PREPARED,
        "a read-only cursor, COM_STMT_FETCH",
        No,
        &[Cursor("select a from t /* rows(9, 10) */", 9, Rows(9))],
    ),
    case(
        PREPARED,
        "fetch without a cursor",
        No,
        &[Command(
            COM_STMT_FETCH,
            &[9, 0, 0, 0, 1, 0, 0, 0],
            Code(1243),
        )],
    ),
    case(
        PREPARED,
        "execute of what was never prepared",
        Alike,
        &[Command(
            COM_STMT_EXECUTE,
            &[99, 0, 0, 0, 0, 1, 0, 0, 0],
            Code(1243),
        )],
    ),
    case(
        PREPARED,
        "SQL's own PREPARE",
        No,
        &[Sql("prepare p from 'select 1'", Code(1235))],
    ),
    case(
        PREPARED,
        "SET as a prepared statement",
        No,
        &[Prepared("set @x = 1", &[Code(1235)])],
    ),
    case(
        SETTINGS,
        "SET NAMES with a collation",
        Alike,
        &[Sql("SET NAMES 'utf8mb4' COLLATE 'utf8mb4_0900_ai_ci'", Ok)],
    ),
    case(
        SETTINGS,
        "SET NAMES beyond Unicode",
        No,
        &[Sql("SET NAMES latin1", Code(1235))],
    ),
    case(
        SETTINGS,
        "SET of session variables, read back",
        Alike,
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
        Alike,
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
        Alike,
        &[
            Sql("SET time_zone = '+04:00'", Ok),
            Sql("SET time_zone = DEFAULT", Ok),
            Sql("select @@time_zone", First(&["SYSTEM"])),
        ],
    ),
    case(
        SETTINGS,
        "SET with a computed value",
        Alike,
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
        Alike,
        &[Sql("SET nonsense = 1", Code(1193))],
    ),
    case(
        SETTINGS,
        "SET of a value that cannot be",
        Alike,
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
        No,
        &[Sql("SET time_zone", Code(1064))],
    ),
    case(
        SETTINGS,
        "SET GLOBAL",
        No,
        &[Sql("SET GLOBAL time_zone = 'UTC'", Code(1235))],
    ),
    case(
        SETTINGS,
        "user variables",
        Alike,
        &[
            Sql("SET @a = 'it''s', @b := 2", Ok),
            Sql("select @a, @b, @c", First(&["it's", "2", "NULL"])),
        ],
    ),
    case(
        SETTINGS,
        "a user variable assigned in a SELECT",
        No,
        &[Sql("select a into @n from t", Any)],
    ),
    case(
        SETTINGS,
        "SHOW VARIABLES LIKE",
        Alike,
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
        Alike,
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
        No,
        &[
            Sql("SET nonsense = 1", Code(1193)),
            Sql("show warnings", First(&["Error", "1193"])),
            Sql("select a from t", Rows(1)),
            Sql("show warnings", Rows(0)),
        ],
    ),
    case(
        OPEN,
        "BEGIN, COMMIT",
        Alike,
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
        OPEN,
        "START TRANSACTION, ROLLBACK",
        Alike,
        &[
            Sql(
                "start transaction read write",
                Status(SERVER_STATUS_IN_TRANS, 0),
            ),
            Sql("rollback", Status(0, SERVER_STATUS_IN_TRANS)),
        ],
    ),
    case(
        OPEN,
        "autocommit = 0",
        Alike,
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
        OPEN,
        "SET autocommit = 1 commits",
        Alike,
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
        OPEN,
        "savepoints",
        Alike,
        &[
            Sql("begin", Any),
            Sql("savepoint a", Any),
            Sql("rollback to savepoint a", Status(SERVER_STATUS_IN_TRANS, 0)),
            Sql("release savepoint a", Any),
            Sql("rollback", Any),
        ],
    ),
    case(
        OPEN,
        "SET TRANSACTION for the next one",
        Alike,
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
        OPEN,
        "SET TRANSACTION on a connection that is held",
        Alike,
        &[
            Sql("create temporary table x (a int)", Any),
            Sql("SET TRANSACTION READ ONLY", Ok),
            Sql("begin", Status(SERVER_STATUS_IN_TRANS, 0)),
            Sql("commit", Any),
        ],
    ),
    case(
        OPEN,
        "COMMIT AND CHAIN",
        Alike,
        &[
            Sql("begin", Any),
            Sql("commit and chain", Status(SERVER_STATUS_IN_TRANS, 0)),
            Sql("rollback", Status(0, SERVER_STATUS_IN_TRANS)),
        ],
    ),
    case(
        OPEN,
        "COMMIT RELEASE",
        No,
        &[Sql("commit release", Code(1235))],
    ),
    case(
        OPEN,
        "prepared statements in a transaction",
        Alike,
        &[
            Sql("begin", Any),
            Prepared(
                "insert into t values (1)",
                &[Status(SERVER_STATUS_IN_TRANS, 0)],
            ),
            Sql("commit", Any),
        ],
    ),
    case(
        OPEN,
        "SELECT ... FOR UPDATE",
        Alike,
        &[
            Sql("begin", Any),
            Sql("select a from t for update", Rows(1)),
            Sql("commit", Any),
        ],
    ),
    case(
        OPEN,
        "LOCK TABLES, UNLOCK TABLES",
        Alike,
        &[Sql("lock tables t write", Any), Sql("unlock tables", Any)],
    ),
    case(
        OPEN,
        "temporary tables",
        Alike,
        &[
            Sql("create temporary table x (a int)", Any),
            Sql("select a from x", Rows(1)),
        ],
    ),
    case(
        OPEN,
        "GET_LOCK",
        Alike,
        &[Sql("select get_lock('a', 1)", Any)],
    ),
    case(OPEN, "XA", No, &[Sql("xa start 'x'", Code(1235))]),
    case(
        OTHER,
        "KILL QUERY of an own session",
        No,
        &[Killed("select a from t /* slow */", Code(1317))],
    ),
    case(
        OTHER,
        "KILL QUERY of a session that is not there",
        No,
        &[Sql("kill query 999999", Code(1094))],
    ),
    case(
        OTHER,
        "KILL of a connection",
        No,
        &[Sql("kill 1", Code(1235))],
    ),
    case(
        OTHER,
        "another session is untouched",
        No,
        &[
            Sql("SET time_zone = '+04:00', @x = 1", Ok),
            Beside("select @@time_zone, @x", First(&["SYSTEM", "NULL"])),
        ],
    ),
    case(OTHER, "CALL", No, &[Sql("call p()", Code(1235))]),
    case(
        OTHER,
        "several statements in one",
        No,
        &[Sql("select 1; select 2", Code(1235))],
    ),
    case(
        OTHER,
        "LOAD DATA LOCAL INFILE",
        No,
        &[Sql("load data local infile 'x' into table t", Code(1235))],
    ),
    case(
        OTHER,
        "ROW_COUNT(), FOUND_ROWS()",
        No,
        &[Sql("select row_count()", Code(1235))],
    ),
    case(
        OTHER,
        "statements that administer an engine",
        No,
        &[Sql("shutdown", Code(1235)), Sql("flush tables", Code(1235))],
    ),
];

/// What no script asks, and why.
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
