//! Parser of SET statements, built from combinators. The parser does not evaluate anything: a value
//! that is not a literal is an expression, which an engine has to evaluate.

mod parser;

use super::{Literal, UnknownSystemVariable, VariableName};
use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes};
use winnow::Parser;
use winnow::error::{ContextError, ErrMode};

/// One change of a SET.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The operand of SET NAMES.
    Names(String),
    /// An assignment to a session or user variable.
    Assign {
        /// The name of the variable.
        name: VariableName,
        /// The value to assign.
        value: Value,
    },
    /// SET TRANSACTION without a scope, which applies to the next transaction only.
    NextTransaction(String),
}

/// The value of an assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A value that is known here.
    Literal(Literal),
    /// An expression that an engine has to evaluate.
    Expression(String),
    /// The keyword DEFAULT.
    Default,
}

/// Why a SET is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    /// The statement cannot be parsed.
    #[error("SET, at character {at}: {message}")]
    Syntax {
        /// The position of the error, counted from 1.
        at: usize,
        /// What was expected at this position.
        message: String,
    },
    /// No system variable can have this name.
    #[error(transparent)]
    UnknownVariable(#[from] UnknownSystemVariable),
    /// The statement says different things in the modes in which an engine may read it.
    #[error("the engines' default of sql_mode is not known: set sql_mode first")]
    Ambiguous,
    /// The statement affects more than the session, or sets something that is not supported.
    #[error("{0}")]
    Unsupported(&'static str),
}

/// Maximum size of a SET, in bytes; a longer one is rejected.
const MAX_SET_BYTES: usize = 16 * 1024;

/// Keywords after SET that do not name a variable.
const ACCOUNT_KEYWORDS: [&str; 4] = ["password", "role", "default role", "resource group"];

/// Parses a SET that an engine reads in one of these modes, and returns its changes in their order.
///
/// # Errors
/// The statement cannot be parsed, affects more than the session, or the mode makes a difference: [`SetError`].
pub fn parse(sql: &[u8], modes: LexicalModes) -> Result<Vec<Change>, SetError> {
    let mut readings = modes
        .readings(sql)
        .iter()
        .map(|mode| parse_reading(sql, mode));
    let likeliest = readings.next().ok_or(SetError::Ambiguous)?;
    match readings.all(|reading| reading == likeliest) {
        true => likeliest,
        false => Err(SetError::Ambiguous),
    }
}

fn parse_reading(sql: &[u8], mode: LexicalMode) -> Result<Vec<Change>, SetError> {
    if sql.len() > MAX_SET_BYTES {
        return Err(SetError::Unsupported(
            "a SET of more than 16 KB is not carried",
        ));
    }
    let text =
        std::str::from_utf8(sql).map_err(|_| SetError::Unsupported("a SET in Unicode only"))?;
    let text = skip_comments(text);
    let text = executable_comment(text).unwrap_or(text);
    if sets_accounts(text) {
        return Err(SetError::Unsupported(
            "users, roles and resource groups are the engines' operators' own",
        ));
    }
    let mut rest = parser::input(text, mode);
    let changes = parser::statement
        .parse_next(&mut rest)
        .map_err(|error| set_error(&error, text.len() - rest.len() + 1))?;
    let is_global = |scope: &parser::Scope| *scope == parser::Scope::Global;
    if changes.iter().any(|(scope, _)| is_global(scope)) {
        return Err(SetError::Unsupported(
            "engines are not administered through the dispatcher",
        ));
    }
    Ok(changes.into_iter().map(|(_, change)| change).collect())
}

/// Returns the text after leading white space and comments.
fn skip_comments(text: &str) -> &str {
    let mut rest = text.trim_start();
    loop {
        let is_executable = rest.starts_with("/*!");
        let after_comment = match rest.strip_prefix("/*") {
            Some(comment) if !is_executable => comment.split_once("*/"),
            _ if rest.starts_with("--") || rest.starts_with('#') => rest.split_once('\n'),
            _ => None,
        };
        match after_comment {
            Some((_, after)) => rest = after.trim_start(),
            None => return rest,
        }
    }
}

/// Returns the content of an executable comment (`/*!40101 SET ... */`), as database dumps contain them.
fn executable_comment(text: &str) -> Option<&str> {
    let inner = text
        .trim()
        .trim_end_matches(';')
        .trim_end()
        .strip_prefix("/*!")?
        .strip_suffix("*/")?;
    Some(inner.trim_start_matches(|digit: char| digit.is_ascii_digit()))
}

fn sets_accounts(text: &str) -> bool {
    let lower = text.trim_start().to_ascii_lowercase();
    let operand = lower.strip_prefix("set").unwrap_or_default().trim_start();
    ACCOUNT_KEYWORDS
        .iter()
        .any(|keyword| operand.starts_with(keyword))
}

/// Returns the error of a SET whose parser stopped at this character, counted from 1.
fn set_error(error: &ErrMode<ContextError>, at: usize) -> SetError {
    if let ErrMode::Backtrack(context) | ErrMode::Cut(context) = error
        && let Some(cause) = context.cause()
        && let Some(unknown) = cause.downcast_ref::<UnknownSystemVariable>()
    {
        return SetError::UnknownVariable(unknown.clone());
    }
    SetError::Syntax {
        at,
        message: expectation(error),
    }
}

fn expectation(error: &ErrMode<ContextError>) -> String {
    let context = match error {
        ErrMode::Backtrack(context) | ErrMode::Cut(context) => {
            context.context().last().map(ToString::to_string)
        }
        ErrMode::Incomplete(_) => None,
    };
    context.unwrap_or_else(|| "this is not understood".into())
}
