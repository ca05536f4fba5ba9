//! Classification of statements, as far as dispatching depends on it.

use super::function_calls::may_call_stored_function;
use super::scanner::{Token, has_executable_comment, tokens};
use super::tokenized_statement::{TokenizedStatement, unquoted_name};
use super::words::{KEEP_TRANSACTION_OPEN, READ_ONLY_FUNCTIONS, WRITE_KEYWORDS};
use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes};
use crate::sticky_sessions::StickyReason;

/// The kind of a MySQL statement.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind {
    /// Only reads, and does not depend on state of earlier statements.
    Read,
    /// Writes, or is not recognized as a read.
    Write,
    /// USE with the name of a schema.
    Use(String),
    /// Changes the session's state; parsed by [`crate::protocol::mysql::session::set`].
    Set,
    /// COMMIT or ROLLBACK.
    EndsTransaction,
    /// SAVEPOINT and similar statements, which are useful in a transaction and harmless outside of one.
    WithinTransaction,
    /// UNLOCK TABLES.
    UnlockTables,
    /// SHOW WARNINGS or SHOW ERRORS, which refer to the previous statement.
    ShowWarnings,
    /// KILL QUERY with the number of a session of this dispatcher.
    KillQuery(u32),
    /// Leaves state on its engine connection, so that the session becomes sticky.
    MakesSticky(StickyReason),
    /// Not supported, with the reason for the client: sessions migrate between engines, and
    /// statements run independently.
    Unsupported(&'static str),
}

const ENGINE_ADMINISTRATION: StatementKind =
    StatementKind::Unsupported("engines are not administered through the dispatcher");
const PREPARED_BY_SQL: StatementKind =
    StatementKind::Unsupported("statements are prepared by the protocol, not by SQL");
const USER_LOCK_FUNCTIONS: [&str; 3] = ["get_lock", "release_lock", "release_all_locks"];
/// The function and the system variable with the insert id of an earlier statement.
const LAST_INSERT_ID: &str = "last_insert_id";
/// Another name of the system variable.
const IDENTITY: &str = "identity";
const COUNT_FUNCTIONS: [&str; 2] = ["found_rows", "row_count"];

/// Returns the kind of a MySQL statement that an engine reads in one of these modes. A statement that is not
/// recognized as a read in each of them counts as a write.
pub fn classify(sql: &[u8], modes: LexicalModes) -> StatementKind {
    let readings = modes.readings(sql).iter();
    let kinds = readings.map(|mode| classify_reading(sql, mode));
    kinds
        .reduce(StatementKind::or)
        .unwrap_or(StatementKind::Write)
}

impl StatementKind {
    /// Returns the kind of a statement that is of this kind or, less likely, of the other one.
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (one, other) if one == other => one,
            (sticky @ StatementKind::MakesSticky(_), _)
            | (
                StatementKind::Read | StatementKind::Write,
                sticky @ StatementKind::MakesSticky(_),
            ) => sticky,
            (StatementKind::Read, _) => StatementKind::Write,
            (likelier, _) => likelier,
        }
    }
}

/// Returns the kind of a statement that is read in this mode.
fn classify_reading(sql: &[u8], mode: LexicalMode) -> StatementKind {
    let statement = TokenizedStatement::scan(sql, mode);
    if let Some(kind) = unsupported_form(&statement) {
        return kind;
    }
    transaction_control(&statement)
        .or_else(|| table_lock(&statement))
        .or_else(|| session_statement(&statement, sql))
        .or_else(|| unsupported_statement(&statement))
        .or_else(|| sticky_statement(&statement))
        .unwrap_or_else(|| read_or_write(&statement))
}

/// Detects forms that are not supported, whatever else the statement contains.
fn unsupported_form(statement: &TokenizedStatement) -> Option<StatementKind> {
    let first = statement.first_keyword();
    if first == "xa" {
        return Some(StatementKind::Unsupported(
            "distributed transactions are not carried",
        ));
    }
    let ends_transaction = matches!(first, "commit" | "rollback");
    if ends_transaction && statement.has("release") && !statement.has("no") && !statement.has("to")
    {
        return Some(StatementKind::Unsupported(
            "RELEASE is not carried: close the connection",
        ));
    }
    let has_several_statements =
        (0..statement.end).any(|index| statement.is_punctuation(index, b';'));
    has_several_statements.then_some(StatementKind::Unsupported(
        "several statements at once are not carried",
    ))
}

fn transaction_control(statement: &TokenizedStatement) -> Option<StatementKind> {
    match statement.first_keyword() {
        "begin" => Some(StatementKind::MakesSticky(StickyReason::Transaction)),
        "start" if statement.second_keyword() == "transaction" => {
            Some(StatementKind::MakesSticky(StickyReason::Transaction))
        }
        "commit" => Some(StatementKind::EndsTransaction),
        "rollback" if statement.has("to") => Some(StatementKind::WithinTransaction),
        "rollback" => Some(StatementKind::EndsTransaction),
        "savepoint" | "release" => Some(StatementKind::WithinTransaction),
        _ => None,
    }
}

fn table_lock(statement: &TokenizedStatement) -> Option<StatementKind> {
    let is_for_tables = matches!(statement.second_keyword(), "table" | "tables");
    match statement.first_keyword() {
        "lock" if is_for_tables => Some(StatementKind::MakesSticky(StickyReason::TableLocks)),
        "unlock" if is_for_tables => Some(StatementKind::UnlockTables),
        _ => None,
    }
}

/// Classifies statements about the session, which are answered without an engine or change the
/// session's context.
fn session_statement(statement: &TokenizedStatement, sql: &[u8]) -> Option<StatementKind> {
    match statement.first_keyword() {
        "kill" if statement.second_keyword() == "query" => Some(kill_query(statement, sql)),
        "show"
            if statement.has_length(2)
                && matches!(statement.second_keyword(), "warnings" | "errors") =>
        {
            Some(StatementKind::ShowWarnings)
        }
        "use" => Some(match statement.tokens.get(statement.start + 1) {
            Some(Token::Name { text, .. }) if statement.has_length(2) => {
                StatementKind::Use(text.clone())
            }
            _ => StatementKind::Unsupported("USE takes the name of a schema"),
        }),
        "set" => Some(StatementKind::Set),
        _ => None,
    }
}

fn kill_query(statement: &TokenizedStatement, sql: &[u8]) -> StatementKind {
    let number = String::from_utf8_lossy(sql)
        .split_ascii_whitespace()
        .nth(2)
        .and_then(|number| number.trim_end_matches(';').parse().ok());
    match number {
        Some(number) if statement.has_length(3) => StatementKind::KillQuery(number),
        _ => StatementKind::Unsupported("KILL QUERY takes the number of a session"),
    }
}

fn unsupported_statement(statement: &TokenizedStatement) -> Option<StatementKind> {
    match statement.first_keyword() {
        "lock" | "unlock" | "start" | "kill" | "shutdown" | "restart" | "flush" | "reset"
        | "install" | "uninstall" | "clone" => Some(ENGINE_ADMINISTRATION),
        "prepare" | "execute" | "deallocate" => Some(PREPARED_BY_SQL),
        "handler" | "declare" | "open" | "fetch" | "close" => {
            Some(StatementKind::Unsupported("cursors are not carried"))
        }
        "call" => Some(StatementKind::Unsupported(
            "stored procedures are not carried",
        )),
        "load" if statement.has("local") => {
            Some(StatementKind::Unsupported("LOCAL INFILE is not carried"))
        }
        _ => None,
    }
}

/// Detects statements that leave state on their connection or read such state of an earlier statement.
fn sticky_statement(statement: &TokenizedStatement) -> Option<StatementKind> {
    if statement.has("temporary") && matches!(statement.first_keyword(), "create" | "drop") {
        return Some(StatementKind::MakesSticky(StickyReason::TemporaryTable));
    }
    if statement.calls_any(&USER_LOCK_FUNCTIONS) {
        return Some(StatementKind::MakesSticky(StickyReason::UserLock));
    }
    if statement.calls_any(&COUNT_FUNCTIONS) {
        return Some(StatementKind::Unsupported(
            "what the statement before has counted is not carried",
        ));
    }
    // A user variable that is only read is set on any connection that runs the statement; an
    // assignment takes effect only on its own connection.
    statement
        .assigns_user_variable()
        .then_some(StatementKind::MakesSticky(StickyReason::SessionVariable))
}

fn read_or_write(statement: &TokenizedStatement) -> StatementKind {
    let is_read = is_read_keyword(statement.first_keyword())
        && !locks_rows(statement)
        && !has_write_keyword(statement)
        && !may_call_stored_function(statement)
        && !statement.has_engine_comment
        && !statement.has_assignment();
    match is_read {
        true => StatementKind::Read,
        false => StatementKind::Write,
    }
}

fn is_read_keyword(word: &str) -> bool {
    matches!(
        word,
        "select" | "with" | "show" | "describe" | "desc" | "explain" | "values" | "table"
    )
}

/// Returns whether the statement has FOR UPDATE or FOR SHARE. These locks end with the statement,
/// unless a transaction is open.
fn locks_rows(statement: &TokenizedStatement) -> bool {
    let for_update = |pair: &[String]| pair[0] == "for" && pair[1] == "update";
    statement.has("for") && (statement.has("share") || statement.body().windows(2).any(for_update))
}

fn has_write_keyword(statement: &TokenizedStatement) -> bool {
    (0..statement.end).any(|index| {
        let keyword = statement.keyword(index);
        let is_function =
            || statement.is_punctuation(index + 1, b'(') && READ_ONLY_FUNCTIONS.contains(keyword);
        WRITE_KEYWORDS.contains(keyword) && !is_function()
    })
}

/// Returns whether the statement reads the insert id of an earlier one: by LAST_INSERT_ID(), or by one of the system
/// variables `last_insert_id` and `identity`.
pub fn reads_last_insert_id(statement: &[u8], modes: LexicalModes) -> bool {
    let has_name = |name: &str| {
        statement
            .windows(name.len())
            .any(|window| window.eq_ignore_ascii_case(name.as_bytes()))
    };
    // Few statements contain one of the names; only those are scanned.
    if !has_name(LAST_INSERT_ID) && !has_name(IDENTITY) {
        return false;
    }
    let reads_in = |mode| {
        let tokens: Vec<Token> = tokens(statement, mode).collect();
        (0..tokens.len()).any(|index| is_last_insert_id(&tokens, index))
    };
    modes.readings(statement).iter().any(reads_in)
}

fn is_last_insert_id(tokens: &[Token], index: usize) -> bool {
    let keyword = unquoted_name(&tokens[index]);
    if keyword != LAST_INSERT_ID && keyword != IDENTITY {
        return false;
    }
    let is_call = tokens.get(index + 1) == Some(&Token::Punctuation(b'('));
    let is_variable = match &tokens[..index] {
        [.., Token::SystemVariablePrefix] => true,
        [
            ..,
            Token::SystemVariablePrefix,
            scope,
            Token::Punctuation(b'.'),
        ] => matches!(unquoted_name(scope).as_str(), "session" | "local"),
        _ => false,
    };
    is_variable || is_call && keyword == LAST_INSERT_ID
}

/// Returns whether a statement that ends a transaction is a ROLLBACK rather than a COMMIT.
pub fn is_rollback(statement: &[u8]) -> bool {
    // Nothing in quotes precedes the first keyword.
    let first = tokens(statement, LexicalMode::default()).find(|token| !token.is_engine_comment());
    matches!(first, Some(Token::Name { text, .. }) if text.eq_ignore_ascii_case("rollback"))
}

/// Returns whether the statement implicitly commits an open transaction, as the definition of
/// tables or users and table locks do. What only newer engines execute may do so too.
pub fn commits_implicitly(statement: &[u8], modes: LexicalModes) -> bool {
    let executes_more_in =
        |mode| tokens(statement, mode).any(|token| token == Token::VersionedComment);
    let may_execute_more =
        has_executable_comment(statement) && modes.readings(statement).iter().any(executes_more_in);
    if may_execute_more {
        return true;
    }
    let first_keyword = tokens(statement, LexicalMode::default())
        .map(|token| unquoted_name(&token))
        .find(|name| !name.is_empty());
    !first_keyword.is_some_and(|keyword| KEEP_TRANSACTION_OPEN.contains(&keyword))
}
