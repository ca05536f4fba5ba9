//! What a statement changes on its engine connection besides data. The session does not see these changes in
//! the answer.

use super::scanner::{Token, has_executable_comment, tokens};
use crate::protocol::mysql::session::VariableName;
use crate::protocol::mysql::sql_mode::{LexicalMode, LexicalModes};
use std::collections::BTreeSet;

/// First keywords of statements whose targets may be user variables anywhere:
/// `LOAD DATA ... (a, @b)`, `GET DIAGNOSTICS @a = NUMBER`.
const ASSIGNING_KEYWORDS: [&str; 2] = ["load", "get"];

/// First keyword of the statements that drop a schema.
const DROP: &str = "drop";

/// The changes that a statement makes to the state of its engine connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionEffects {
    /// The user variables that the statement may assign.
    pub assigned_variables: BTreeSet<VariableName>,
    /// The schema that the statement drops: an engine unsets it as the default schema of the connection.
    pub dropped_schema: Option<String>,
    /// The statement contains something that only some engines execute, or assigns a variable whose name cannot be
    /// written in UTF-8, so that the connection may be in any state afterwards.
    pub is_unpredictable: bool,
}

impl ConnectionEffects {
    /// Returns the effects that a statement may have on a connection that reads it in one of these modes.
    pub fn of(statement: &[u8], modes: LexicalModes) -> Self {
        // Few statements have such effects; only those that may are scanned.
        let may_have_effects = statement.contains(&b'@')
            || has_executable_comment(statement)
            || may_begin_with_drop(statement);
        if !may_have_effects {
            return Self::default();
        }
        let readings = modes.readings(statement).iter();
        let effects = readings.map(|mode| Self::of_reading(statement, mode));
        effects.reduce(Self::or).unwrap_or_default()
    }

    fn of_reading(statement: &[u8], mode: LexicalMode) -> Self {
        let (comments, tokens): (Vec<Token>, Vec<Token>) =
            tokens(statement, mode).partition(Token::is_engine_comment);
        let assigned_variables = assigned_variables(&tokens);
        let assigns_unreadable_name =
            !assigned_variables.is_empty() && tokens.iter().any(is_unreadable_variable);
        ConnectionEffects {
            assigned_variables,
            dropped_schema: dropped_schema(&tokens),
            is_unpredictable: comments.contains(&Token::VersionedComment)
                || assigns_unreadable_name,
        }
    }

    /// Returns the effects of a statement that may have these or the other ones.
    fn or(mut self, other: Self) -> Self {
        self.is_unpredictable |= other.is_unpredictable;
        // The dispatcher follows one schema: a statement that may have dropped another one leaves it unknown.
        self.is_unpredictable |= self.dropped_schema != other.dropped_schema;
        self.assigned_variables.extend(other.assigned_variables);
        self.dropped_schema = self.dropped_schema.or(other.dropped_schema);
        self
    }
}

/// Returns whether the statement begins with DROP, or with something that has to be skipped first.
fn may_begin_with_drop(statement: &[u8]) -> bool {
    let text = statement.trim_ascii_start();
    let begins_with_comment = matches!(text.first(), Some(b'/' | b'-' | b'#'));
    let beginning = text.get(..DROP.len()).unwrap_or_default();
    begins_with_comment || beginning.eq_ignore_ascii_case(DROP.as_bytes())
}

/// Returns the schema of `DROP DATABASE [IF EXISTS] name`.
fn dropped_schema(tokens: &[Token]) -> Option<String> {
    let [drop, database, rest @ ..] = tokens else {
        return None;
    };
    let drops_schema = is_keyword(drop, DROP)
        && (is_keyword(database, "database") || is_keyword(database, "schema"));
    let name = match rest {
        [first, second, name, ..] if is_keyword(first, "if") && is_keyword(second, "exists") => {
            name
        }
        [name, ..] => name,
        [] => return None,
    };
    match name {
        Token::Name { text, .. } if drops_schema => Some(text.clone()),
        _ => None,
    }
}

/// Returns the user variables that are assigned by `@x :=` or `INTO @x, @y`, or as a target of a statement that
/// assigns them in other ways.
pub(super) fn assigned_variables(tokens: &[Token]) -> BTreeSet<VariableName> {
    let assigns_any = first_name(tokens).is_some_and(|name| {
        ASSIGNING_KEYWORDS
            .iter()
            .any(|keyword| is_keyword(name, keyword))
    });
    let mut in_into_list = false;
    let mut assigned = BTreeSet::new();
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::UserVariable(name) => {
                if assigns_any || in_into_list || is_assignment(&tokens[index + 1..]) {
                    assigned.insert(VariableName::user(name));
                }
            }
            Token::Punctuation(b',') => {}
            other => in_into_list = is_keyword(other, "into"),
        }
    }
    assigned
}

/// Returns whether this is a user variable whose name is not UTF-8, so that no statement of the dispatcher can reset it.
fn is_unreadable_variable(token: &Token) -> bool {
    matches!(token, Token::UserVariable(name) if name.contains(char::REPLACEMENT_CHARACTER))
}

fn first_name(tokens: &[Token]) -> Option<&Token> {
    tokens
        .iter()
        .find(|token| matches!(token, Token::Name { .. }))
}

fn is_keyword(token: &Token, keyword: &str) -> bool {
    matches!(token, Token::Name { text, quoted: false } if text.eq_ignore_ascii_case(keyword))
}

/// Returns whether the tokens begin with `:=`.
fn is_assignment(tokens: &[Token]) -> bool {
    matches!(
        tokens,
        [Token::Punctuation(b':'), Token::Punctuation(b'='), ..]
    )
}
