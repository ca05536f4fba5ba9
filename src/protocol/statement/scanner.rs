//! Lexical scanner of SQL statements.

use crate::protocol::mysql::quoted_text::QuotedText;
use crate::protocol::mysql::sql_mode::LexicalMode;

/// A token of a statement.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Token {
    /// A name; an unquoted one may be a keyword.
    Name {
        text: String,
        quoted: bool,
    },
    /// A user variable: its name, without the `@`.
    UserVariable(String),
    /// The `@@` before the name of a system variable.
    SystemVariablePrefix,
    Number,
    /// A string literal.
    Text,
    /// A punctuation character.
    Punctuation(u8),
    /// The beginning of `/*! ... */`, whose content the engine executes. The tokens of the content follow.
    ExecutableComment,
    /// `/*!99999 ... */`, whose content the engine executes only if it has at least this version.
    VersionedComment,
    /// `/*+ ... */`, whose content MySQL interprets for the one statement.
    OptimizerHint,
}

impl Token {
    /// Returns whether this marks a comment that means something to the engine.
    pub(super) fn is_engine_comment(&self) -> bool {
        matches!(
            self,
            Token::ExecutableComment | Token::VersionedComment | Token::OptimizerHint
        )
    }
}

const VERTICAL_TAB: u8 = 0x0b;
/// The beginning of an executable comment.
const EXECUTABLE_COMMENT: &[u8] = b"/*!";
/// The highest version of an executable comment that every engine executes: 8.0.0.
const OLDEST_ENGINE_VERSION: u32 = 80_000;
/// Number of digits of the version of an executable comment: `Mmmrr` or `MMmmrr`.
const VERSION_DIGITS: std::ops::RangeInclusive<usize> = 5..=6;

/// Returns whether the statement has an executable comment, or a string that looks like one.
pub(super) fn has_executable_comment(statement: &[u8]) -> bool {
    statement
        .windows(EXECUTABLE_COMMENT.len())
        .any(|window| window == EXECUTABLE_COMMENT)
}

/// An iterator over the tokens of a statement.
pub(super) struct Tokens<'a> {
    sql: &'a [u8],
    mode: LexicalMode,
    position: usize,
    /// Where the last token began.
    token_start: usize,
    /// Whether the last token was a dot.
    after_dot: bool,
    /// Whether the position is in an executable comment.
    in_executable_comment: bool,
}

/// Returns the tokens of a statement as an engine reads them in this mode.
pub(super) fn tokens(sql: &[u8], mode: LexicalMode) -> Tokens<'_> {
    Tokens {
        sql,
        mode,
        position: 0,
        token_start: 0,
        after_dot: false,
        in_executable_comment: false,
    }
}

/// Returns whether MySQL takes the byte for white space.
fn is_space(byte: u8) -> bool {
    byte.is_ascii_whitespace() || byte == VERTICAL_TAB
}

/// Returns whether a comment up to the end of the line begins here. Two hyphens begin one only before white space: in
/// `5--1` they are operators.
fn begins_line_comment(rest: &[u8]) -> bool {
    match rest {
        [b'#', ..] | [b'-', b'-'] => true,
        [b'-', b'-', next, ..] => is_space(*next) || next.is_ascii_control(),
        _ => false,
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$' || byte >= 0x80
}

/// A token, and whether it follows the previous one without anything between them.
pub(super) struct SpacedToken {
    pub(super) token: Token,
    pub(super) follows_directly: bool,
}

impl Tokens<'_> {
    /// Reads the next token.
    pub(super) fn next_spaced(&mut self) -> Option<SpacedToken> {
        let previous_end = self.position;
        let token = self.next()?;
        Some(SpacedToken {
            token,
            follows_directly: self.token_start == previous_end,
        })
    }

    /// Reads the quoted string or name at the position and returns its content.
    fn quoted(&mut self) -> String {
        let rest = self.sql.get(self.position..).unwrap_or_default();
        let quoted = QuotedText::read(rest, self.mode);
        self.position += quoted.length;
        quoted.into_text()
    }

    /// Reads a double-quoted token: a string in MySQL, a name with ANSI_QUOTES and in other dialects. Only a name has
    /// a dot next to it.
    fn double_quoted(&mut self, after_dot: bool) -> Token {
        let text = self.quoted();
        if self.mode.ansi_quotes {
            return Token::Name { text, quoted: true };
        }
        let before_dot = self.sql.get(self.position) == Some(&b'.');
        if after_dot || before_dot {
            Token::Name { text, quoted: true }
        } else {
            Token::Text
        }
    }

    fn number(&mut self, rest: &[u8]) -> Token {
        self.position += rest
            .iter()
            .take_while(|&&byte| is_name_byte(byte) || byte == b'.')
            .count();
        Token::Number
    }

    fn name(&mut self, rest: &[u8]) -> Token {
        let length = rest.iter().take_while(|&&byte| is_name_byte(byte)).count();
        self.position += length;
        Token::Name {
            text: String::from_utf8_lossy(&rest[..length]).into_owned(),
            quoted: false,
        }
    }

    /// Reads a user variable (`@x`, `@'x'`), or the prefix of a system variable.
    fn variable(&mut self, rest: &[u8]) -> Token {
        let is_variable_byte = |byte: u8| is_name_byte(byte) || byte == b'.';
        match rest.get(1) {
            Some(b'@') => {
                self.position += 2;
                Token::SystemVariablePrefix
            }
            Some(b'\'' | b'"' | b'`') => {
                self.position += 1;
                Token::UserVariable(self.quoted())
            }
            Some(&byte) if is_variable_byte(byte) => {
                let name = &rest[1..];
                let length = name
                    .iter()
                    .take_while(|&&byte| is_variable_byte(byte))
                    .count();
                self.position += 1 + length;
                Token::UserVariable(String::from_utf8_lossy(&name[..length]).into_owned())
            }
            _ => {
                self.position += 1;
                Token::Punctuation(b'@')
            }
        }
    }

    /// Skips a comment; returns a token if MySQL executes or interprets it.
    fn block_comment(&mut self, rest: &[u8]) -> Option<Token> {
        if rest.starts_with(EXECUTABLE_COMMENT) {
            return Some(self.executable_comment(rest));
        }
        self.position += 2;
        self.skip_past(b"*/");
        (rest.get(2) == Some(&b'+')).then_some(Token::OptimizerHint)
    }

    /// Enters an executable comment, or skips it if not every engine executes it.
    fn executable_comment(&mut self, rest: &[u8]) -> Token {
        let content = &rest[EXECUTABLE_COMMENT.len()..];
        let digits = content
            .iter()
            .take(*VERSION_DIGITS.end())
            .take_while(|byte| byte.is_ascii_digit())
            .count();
        let version_length = if VERSION_DIGITS.contains(&digits) {
            digits
        } else {
            0
        };
        let version = content[..version_length]
            .iter()
            .fold(0, |version, digit| version * 10 + u32::from(digit - b'0'));
        self.position += EXECUTABLE_COMMENT.len() + version_length;
        if version > OLDEST_ENGINE_VERSION {
            self.skip_past(b"*/");
            return Token::VersionedComment;
        }
        self.in_executable_comment = true;
        Token::ExecutableComment
    }

    fn skip_past(&mut self, end: &[u8]) {
        let rest = self.sql.get(self.position..).unwrap_or_default();
        let found = rest.windows(end.len()).position(|window| window == end);
        self.position = match found {
            Some(offset) => self.position + offset + end.len(),
            None => self.sql.len(),
        };
    }
}

impl Iterator for Tokens<'_> {
    type Item = Token;

    fn next(&mut self) -> Option<Token> {
        let after_dot = std::mem::take(&mut self.after_dot);
        let sql = self.sql;
        loop {
            self.token_start = self.position;
            let rest = sql.get(self.position..)?;
            let &byte = rest.first()?;
            // A semicolon in an executable comment is part of the body of a trigger or routine.
            let is_inner_semicolon = self.in_executable_comment && byte == b';';
            if is_space(byte) || is_inner_semicolon {
                self.position += 1;
            } else if self.in_executable_comment && rest.starts_with(b"*/") {
                self.position += 2;
                self.in_executable_comment = false;
            } else if rest.starts_with(b"/*") {
                if let Some(token) = self.block_comment(rest) {
                    return Some(token);
                }
            } else if begins_line_comment(rest) {
                self.skip_past(b"\n");
            } else if byte == b'\'' {
                self.quoted();
                return Some(Token::Text);
            } else if byte == b'"' {
                return Some(self.double_quoted(after_dot));
            } else if byte == b'`' {
                return Some(Token::Name {
                    text: self.quoted(),
                    quoted: true,
                });
            } else if byte == b'@' {
                return Some(self.variable(rest));
            } else if byte.is_ascii_digit() {
                return Some(self.number(rest));
            } else if is_name_byte(byte) {
                return Some(self.name(rest));
            } else {
                self.position += 1;
                self.after_dot = byte == b'.';
                return Some(Token::Punctuation(byte));
            }
        }
    }
}
