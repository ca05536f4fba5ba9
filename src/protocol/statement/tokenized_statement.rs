//! A statement as a list of tokens, with the queries that the classification needs.

use super::connection_effects::assigned_variables;
use super::scanner::{Token, tokens};
use crate::protocol::mysql::sql_mode::LexicalMode;

const ASSIGNMENT: [Token; 2] = [Token::Punctuation(b':'), Token::Punctuation(b'=')];

/// The tokens of a statement, with the queries that the classification needs.
pub(super) struct TokenizedStatement {
    pub(super) tokens: Vec<Token>,
    /// Whether each token follows the previous one without anything between them.
    follow_directly: Vec<bool>,
    /// The unquoted names in lower case, by the index of their token; empty for any other token.
    pub(super) keywords: Vec<String>,
    /// Index of the first token that is not an opening parenthesis.
    pub(super) start: usize,
    /// Index after the last token that is not a semicolon.
    pub(super) end: usize,
    /// The statement has a comment that means something to the engine. What executable comments contain is among
    /// the tokens.
    pub(super) has_engine_comment: bool,
}

impl TokenizedStatement {
    /// Scans a statement as an engine reads it in this mode.
    pub(super) fn scan(sql: &[u8], mode: LexicalMode) -> Self {
        let mut scanner = tokens(sql, mode);
        let mut tokens = vec![];
        let mut follow_directly = vec![];
        let mut has_engine_comment = false;
        while let Some(next) = scanner.next_spaced() {
            if next.token.is_engine_comment() {
                has_engine_comment = true;
                continue;
            }
            tokens.push(next.token);
            follow_directly.push(next.follows_directly);
        }
        let keywords = tokens.iter().map(unquoted_name).collect();
        let start = tokens
            .iter()
            .position(|token| *token != Token::Punctuation(b'('));
        let last = tokens
            .iter()
            .rposition(|token| *token != Token::Punctuation(b';'));
        TokenizedStatement {
            tokens,
            follow_directly,
            keywords,
            start: start.unwrap_or(0),
            end: last.map_or(0, |index| index + 1),
            has_engine_comment,
        }
    }

    /// Returns the unquoted name at this index, which may be a keyword; empty for any other token.
    pub(super) fn keyword(&self, index: usize) -> &str {
        self.keywords.get(index).map_or("", String::as_str)
    }

    pub(super) fn first_keyword(&self) -> &str {
        self.keyword(self.start)
    }

    pub(super) fn second_keyword(&self) -> &str {
        self.keyword(self.start + 1)
    }

    /// Returns the unquoted names without trailing semicolons.
    pub(super) fn body(&self) -> &[String] {
        &self.keywords[..self.end]
    }

    pub(super) fn has(&self, keyword: &str) -> bool {
        self.body().iter().any(|other| other == keyword)
    }

    /// Returns whether the token at this index follows the previous one without anything between them.
    pub(super) fn follows_directly(&self, index: usize) -> bool {
        self.follow_directly.get(index).copied().unwrap_or(false)
    }

    pub(super) fn is_punctuation(&self, index: usize, byte: u8) -> bool {
        self.tokens.get(index) == Some(&Token::Punctuation(byte))
    }

    /// Returns whether the statement has exactly this number of tokens from its first keyword on.
    pub(super) fn has_length(&self, tokens: usize) -> bool {
        self.end == self.start + tokens
    }

    pub(super) fn calls_any(&self, functions: &[&str]) -> bool {
        (0..self.end).any(|index| {
            functions.contains(&self.keyword(index)) && self.is_punctuation(index + 1, b'(')
        })
    }

    pub(super) fn has_assignment(&self) -> bool {
        self.tokens[..self.end]
            .windows(2)
            .any(|pair| pair == ASSIGNMENT)
    }

    pub(super) fn assigns_user_variable(&self) -> bool {
        !assigned_variables(&self.tokens).is_empty()
    }
}

/// Returns an unquoted name in lower case; empty for any other token.
pub(super) fn unquoted_name(token: &Token) -> String {
    match token {
        Token::Name {
            text,
            quoted: false,
        } => text.to_ascii_lowercase(),
        _ => String::new(),
    }
}
