//! Values of session variables, and their form in SQL. A value is kept apart from the `sql_mode` in which a client has
//! written it, and is written anew for the mode of each connection that it is set on.

use crate::protocol::mysql::quoted_text::QuotedText;
use crate::protocol::mysql::sql_mode::LexicalMode;

/// The value of a variable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Literal {
    /// A string: its characters.
    Text(String),
    /// A number or a keyword, which each mode reads in the same way.
    Plain(String),
}

impl Literal {
    /// Returns the value of a string literal that is complete in this mode.
    pub(super) fn of_quoted(literal: &str, mode: LexicalMode) -> Self {
        Literal::Text(QuotedText::read(literal.as_bytes(), mode).into_text())
    }

    /// Returns the value as an engine has computed it; `None` is NULL. `numeric` states whether its column is numeric.
    pub fn of_result(value: Option<&[u8]>, numeric: bool) -> Self {
        let Some(value) = value else {
            return Literal::null();
        };
        let text = String::from_utf8_lossy(value).into_owned();
        match numeric && text.parse::<f64>().is_ok() {
            true => Literal::Plain(text),
            false => Literal::Text(text),
        }
    }

    /// Returns NULL.
    pub fn null() -> Self {
        Literal::Plain("null".into())
    }

    /// Returns whether this is NULL.
    pub fn is_null(&self) -> bool {
        *self == Literal::null()
    }

    /// Returns the characters of the value.
    pub fn text(&self) -> &str {
        match self {
            Literal::Text(text) | Literal::Plain(text) => text,
        }
    }

    /// Returns the value in SQL, for a connection in this mode.
    pub fn to_sql(&self, mode: LexicalMode) -> String {
        match self {
            Literal::Plain(text) => text.clone(),
            Literal::Text(text) => {
                let doubled = text.replace('\'', "''");
                match mode.has_escapes(b'\'') {
                    true => format!("'{}'", doubled.replace('\\', "\\\\")),
                    false => format!("'{doubled}'"),
                }
            }
        }
    }
}
