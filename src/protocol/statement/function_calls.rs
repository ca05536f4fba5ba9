//! Calls of functions in a statement. A stored function may write, and may have the name of a built-in one, so that
//! only a call that is surely of a built-in function counts as a read:
//!
//! - unquoted, without a schema, and one of the known functions that only read;
//! - without a blank before the parenthesis, for the names that a blank makes those of stored functions.

use super::scanner::Token;
use super::tokenized_statement::TokenizedStatement;
use super::words::{FUNCTIONS_WITHOUT_BLANK, KEYWORDS_BEFORE_PARENTHESIS, READ_ONLY_FUNCTIONS};

/// Returns whether the statement contains a call that may be one of a stored function.
pub(super) fn may_call_stored_function(statement: &TokenizedStatement) -> bool {
    let mut position = Position::start_of(statement);
    for index in 0..statement.end {
        let is_call = may_be_name(statement, index) && statement.is_punctuation(index + 1, b'(');
        if is_call
            && !position.names_common_table(statement, index)
            && !is_built_in(statement, index)
        {
            return true;
        }
        position.advance(statement, index);
    }
    false
}

/// Returns whether the token at this index may be a name. Text in double quotes is one if the session's `sql_mode` has
/// ANSI_QUOTES, and names may begin with a digit. Neither a text nor a number precedes a parenthesis otherwise.
fn may_be_name(statement: &TokenizedStatement, index: usize) -> bool {
    matches!(
        statement.tokens.get(index),
        Some(Token::Name { .. } | Token::Text | Token::Number)
    )
}

/// Returns whether the call at this index is surely one of a built-in function that only reads, or the parenthesis
/// follows a keyword.
fn is_built_in(statement: &TokenizedStatement, index: usize) -> bool {
    let keyword = statement.keyword(index);
    let has_schema = index > 0 && statement.is_punctuation(index - 1, b'.');
    if has_schema || keyword.is_empty() {
        return false;
    }
    let may_be_spaced =
        statement.follows_directly(index + 1) || !FUNCTIONS_WITHOUT_BLANK.contains(keyword);
    KEYWORDS_BEFORE_PARENTHESIS.contains(keyword)
        || READ_ONLY_FUNCTIONS.contains(keyword) && may_be_spaced
}

/// The position in a statement, as far as it matters for the names of common table expressions.
struct Position {
    /// Number of open parentheses.
    depth: usize,
    /// The position is in the list of common table expressions with which the statement begins:
    /// `WITH a (b) AS (...), c AS (...)`.
    in_with_list: bool,
}

impl Position {
    fn start_of(statement: &TokenizedStatement) -> Self {
        Position {
            depth: 0,
            in_with_list: statement.keyword(0) == "with",
        }
    }

    /// Returns whether the name at this index, which columns follow, is that of a common table expression.
    fn names_common_table(&self, statement: &TokenizedStatement, index: usize) -> bool {
        let Some(previous) = index.checked_sub(1) else {
            return false;
        };
        let continues_list =
            self.in_with_list && self.depth == 0 && statement.is_punctuation(previous, b',');
        matches!(statement.keyword(previous), "with" | "recursive") || continues_list
    }

    /// Moves past the token at this index.
    fn advance(&mut self, statement: &TokenizedStatement, index: usize) {
        if statement.is_punctuation(index, b'(') {
            self.depth += 1;
        } else if statement.is_punctuation(index, b')') {
            self.depth = self.depth.saturating_sub(1);
            // AS follows the columns of an expression, and a comma its query.
            let list_continues =
                statement.is_punctuation(index + 1, b',') || statement.keyword(index + 1) == "as";
            if self.depth == 0 && !list_continues {
                self.in_with_list = false;
            }
        }
    }
}
