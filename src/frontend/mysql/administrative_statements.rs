//! Parser for administrative statements, which list the stored results of a user and fetch their pages. Every
//! other statement is left to the engines.
//!
//! ```sql
//! SHOW HITCHWINCH RESULTS
//! FETCH HITCHWINCH RESULT '0123456789abcdef0123456789abcdef' FROM PAGE 3
//! ```
//!
//! Keywords are case-insensitive. Pages are numbered from 0; without `FROM PAGE`, fetching starts at page 0.
//! A `;` may end the statement.

#[cfg(test)]
mod tests;

use winnow::ascii::{Caseless, digit1, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, peek, preceded, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// An administrative statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdministrativeStatement {
    /// `SHOW HITCHWINCH RESULTS`: lists the stored results.
    ListResults,
    /// `FETCH HITCHWINCH RESULT`: returns the rows of a stored result.
    FetchResult {
        /// The handle of the result.
        handle: String,
        /// The first page to return, counted from 0.
        from_page: u32,
    },
}

/// A syntax error in a statement that begins as an administrative one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at character {position}: {message}")]
pub struct ParseError {
    /// Byte position of the error, counted from 1.
    pub position: usize,
    /// Description of what was expected at that position.
    pub message: String,
}

/// Maximum number of bytes that are parsed: the longest statement is a handle and a few keywords.
const MAX_STATEMENT_BYTES: usize = 512;
/// Maximum length of a handle, in characters.
const MAX_HANDLE_CHARS: usize = 64;

type Result<T> = winnow::Result<T, ErrMode<ContextError>>;

fn keyword<'s>(text: &'static str) -> impl FnMut(&mut &'s str) -> Result<()> {
    move |input: &mut &'s str| {
        let end = alt((multispace1.void(), eof.void(), peek(";").void()));
        terminated(Caseless(text), end)
            .void()
            .context(StrContext::Expected(StrContextValue::StringLiteral(text)))
            .parse_next(input)
    }
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn handle<'s>(input: &mut &'s str) -> Result<&'s str> {
    let quoted_by = |quote: char| {
        let inner = take_while(0..=MAX_HANDLE_CHARS, move |character: char| {
            character != quote
        });
        delimited(quote, inner, quote)
    };
    terminated(alt((quoted_by('\''), quoted_by('"'))), multispace0)
        .context(expected("a handle in quotes"))
        .parse_next(input)
}

fn page(input: &mut &str) -> Result<u32> {
    terminated(digit1.try_map(str::parse::<u32>), multispace0)
        .context(expected("the number of a page"))
        .parse_next(input)
}

fn end(input: &mut &str) -> Result<()> {
    (opt((";", multispace0)), eof)
        .void()
        .context(expected("the end of the statement"))
        .parse_next(input)
}

fn statement(input: &mut &str) -> Result<AdministrativeStatement> {
    let list = cut_err((keyword("RESULTS"), end)).value(AdministrativeStatement::ListResults);
    let from = preceded((keyword("FROM"), cut_err(keyword("PAGE"))), cut_err(page));
    let fetch = cut_err((preceded(keyword("RESULT"), handle), opt(from), end)).map(
        |(handle, from_page, ())| AdministrativeStatement::FetchResult {
            handle: handle.to_string(),
            from_page: from_page.unwrap_or(0),
        },
    );
    preceded(
        multispace0,
        alt((
            preceded((keyword("SHOW"), keyword("HITCHWINCH")), list),
            preceded((keyword("FETCH"), keyword("HITCHWINCH")), fetch),
        )),
    )
    .parse_next(input)
}

/// Parses an administrative statement. Returns `None` for any other statement, and an error for one that
/// begins as an administrative statement and is not one.
pub fn parse(sql: &[u8]) -> Option<std::result::Result<AdministrativeStatement, ParseError>> {
    let text = std::str::from_utf8(sql.get(..sql.len().min(MAX_STATEMENT_BYTES))?).ok()?;
    let mut rest = text;
    match statement.parse_next(&mut rest) {
        Ok(statement) => Some(Ok(statement)),
        Err(ErrMode::Cut(error)) => Some(Err(ParseError {
            position: text.len() - rest.len() + 1,
            message: expectation(&error),
        })),
        Err(_) => None,
    }
}

fn expectation(error: &ContextError) -> String {
    let expected: Vec<String> = error
        .context()
        .filter_map(|context| match context {
            StrContext::Expected(what) => Some(what.to_string()),
            _ => None,
        })
        .collect();
    match expected.is_empty() {
        true => "this is not understood".to_string(),
        false => format!("expected {}", expected.join(" or ")),
    }
}
