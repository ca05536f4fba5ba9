//! The table group that a statement uses.

use super::scanner::{Token, tokens};
use crate::protocol::mysql::sql_mode::LexicalMode;

/// Keywords that precede the name of a table.
const KEYWORDS_BEFORE_TABLE: [&str; 9] = [
    "from",
    "join",
    "into",
    "update",
    "table",
    "using",
    "overwrite",
    "only",
    "ignore",
];

/// A schema that does not belong to any table group.
const STAGING_SCHEMA: &str = "staging";

/// Returns the table group of a statement: the number in the name of the first schema at the
/// position of a table, or else of the first schema before any dot (`sales_17.orders`). It is a preference among
/// engines, so that the statement is read in the default mode, whatever the session's is.
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut elsewhere = None;
    let mut name = QualifiedName::default();
    let mut table_expected = false;
    let mut after_dot = false;
    for token in tokens(statement, LexicalMode::default()) {
        match token {
            Token::Punctuation(b'.') => after_dot = true,
            Token::Name { text, .. } if after_dot => {
                after_dot = false;
                name.schema = name.last.replace(text);
            }
            other => {
                after_dot = false;
                match std::mem::take(&mut name).group() {
                    Some(Group {
                        number,
                        of_table: true,
                    }) => return Some(number),
                    Some(Group { number, .. }) => elsewhere = elsewhere.or(Some(number)),
                    None => {}
                }
                match other {
                    Token::Name { text, quoted } => {
                        let is_keyword = KEYWORDS_BEFORE_TABLE
                            .iter()
                            .any(|keyword| keyword.eq_ignore_ascii_case(&text));
                        name = QualifiedName {
                            schema: None,
                            last: Some(text),
                            of_table: table_expected,
                        };
                        table_expected = is_keyword && !quoted;
                    }
                    // `from (sales_17.orders ...)`
                    Token::Punctuation(b'(') => {}
                    _ => table_expected = false,
                }
            }
        }
    }
    match name.group() {
        Some(Group {
            number,
            of_table: true,
        }) => Some(number),
        Some(Group { number, .. }) => elsewhere.or(Some(number)),
        None => elsewhere,
    }
}

/// A name qualified by dots, of which the last two parts are kept.
#[derive(Default)]
struct QualifiedName {
    schema: Option<String>,
    last: Option<String>,
    /// Whether the name is at the position of a table.
    of_table: bool,
}

struct Group {
    number: u64,
    of_table: bool,
}

impl QualifiedName {
    fn group(&self) -> Option<Group> {
        Some(Group {
            number: group_number(self.schema.as_deref()?)?,
            of_table: self.of_table,
        })
    }
}

/// Returns the number after the last underscore in the name of a schema.
fn group_number(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    schema.rsplit_once('_')?.1.parse().ok()
}
