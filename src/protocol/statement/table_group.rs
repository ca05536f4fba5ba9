//! The group of tables that a statement uses.

use super::scanner::{Token, tokens};

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

/// A schema that belongs to no group.
const STAGING_SCHEMA: &str = "staging";

/// The group of tables: the number in the name of the first schema that stands where a table is named, or else anywhere
/// before a dot (`sales_17.orders`).
pub fn table_group(statement: &[u8]) -> Option<u64> {
    let mut elsewhere = None;
    let mut name = QualifiedName::default();
    let mut table_expected = false;
    let mut after_dot = false;
    for token in tokens(statement) {
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

/// Names joined by dots, of which the last two matter.
#[derive(Default)]
struct QualifiedName {
    schema: Option<String>,
    last: Option<String>,
    /// It stands where a table is named.
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

/// The number after the last underscore of a schema's name.
fn group_number(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    schema.rsplit_once('_')?.1.parse().ok()
}
