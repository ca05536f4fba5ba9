//! SET in its forms, parsed with combinators: what a session sets, as data. Nothing is guessed: a value that is no
//! literal is an expression, which an engine has to evaluate.

mod parser;

use winnow::Parser;
use winnow::error::{ContextError, ErrMode};

/// One change of a SET.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The operand of SET NAMES.
    Names(String),
    /// A variable of the session is set.
    Assign {
        /// In lower case; a user variable begins with `@`.
        name: String,
        /// What it is set to.
        value: Value,
    },
    /// SET TRANSACTION without a scope: holds for the next transaction only.
    NextTransaction(String),
}

/// What a variable is set to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// As it may be sent to any engine.
    Literal(String),
    /// An engine has to evaluate it.
    Expression(String),
    /// The keyword DEFAULT.
    Default,
}

/// Why a SET is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    /// It cannot be parsed.
    #[error("SET, at character {at}: {message}")]
    Syntax {
        /// The place, counted from 1.
        at: usize,
        /// What was expected there.
        message: String,
    },
    /// It reaches beyond the session, or sets something that is not supported.
    #[error("{0}")]
    Unsupported(&'static str),
}

/// Limit of a SET in bytes; a longer one is rejected.
const MAX_SET_BYTES: usize = 16 * 1024;

/// What may follow SET and is no variable.
const ACCOUNT_KEYWORDS: [&str; 4] = ["password", "role", "default role", "resource group"];

/// The changes of a SET, in its order.
///
/// # Errors
/// It cannot be parsed, or reaches beyond the session: [`SetError`].
pub fn parse(sql: &[u8]) -> Result<Vec<Change>, SetError> {
    if sql.len() > MAX_SET_BYTES {
        return Err(SetError::Unsupported(
            "a SET of more than 16 KB is not carried",
        ));
    }
    let text =
        std::str::from_utf8(sql).map_err(|_| SetError::Unsupported("a SET in Unicode only"))?;
    let text = executable_comment(text).unwrap_or(text);
    if sets_accounts(text) {
        return Err(SetError::Unsupported(
            "users, roles and resource groups are the engines' operators' own",
        ));
    }
    let mut rest = text;
    let changes = parser::statement
        .parse_next(&mut rest)
        .map_err(|error| SetError::Syntax {
            at: text.len() - rest.len() + 1,
            message: expectation(&error),
        })?;
    let is_global = |scope: &parser::Scope| *scope == parser::Scope::Global;
    if changes.iter().any(|(scope, _)| is_global(scope)) {
        return Err(SetError::Unsupported(
            "engines are not administered through the dispatcher",
        ));
    }
    Ok(changes.into_iter().map(|(_, change)| change).collect())
}

/// The content of a dump's `/*!40101 SET ... */`, which MySQL executes.
fn executable_comment(text: &str) -> Option<&str> {
    let inner = text
        .trim()
        .trim_end_matches(';')
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

fn expectation(error: &ErrMode<ContextError>) -> String {
    let context = match error {
        ErrMode::Backtrack(context) | ErrMode::Cut(context) => {
            context.context().last().map(ToString::to_string)
        }
        ErrMode::Incomplete(_) => None,
    };
    context.unwrap_or_else(|| "this is not understood".into())
}
