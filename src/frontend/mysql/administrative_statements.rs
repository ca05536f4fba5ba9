//! Statements of our own: what waits for a user, and its pages. Read with parser combinators; anything else is the
//! engines'.
//!
//! ```sql
//! SHOW HITCHWINCH RESULTS
//! FETCH HITCHWINCH RESULT '0123456789abcdef0123456789abcdef' FROM PAGE 3
//! ```
//!
//! Words are read in any case. Pages count from 0; without `FROM PAGE` it is the first. A `;` may end it.

use winnow::ascii::{Caseless, digit1, multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, opt, preceded, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// A statement of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ours {
    Results,
    Fetch { handle: String, from: u32 },
}

/// What is wrong with a statement that began as one of ours.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("at character {at}: {what}")]
pub struct OursError {
    /// From 1.
    pub at: usize,
    pub what: String,
}

type Result<T> = winnow::Result<T, winnow::error::ErrMode<ContextError>>;

fn word<'s>(w: &'static str) -> impl FnMut(&mut &'s str) -> Result<()> {
    move |i: &mut &'s str| {
        terminated(
            Caseless(w),
            alt((
                multispace1.void(),
                eof.void(),
                winnow::combinator::peek(";").void(),
            )),
        )
        .void()
        .context(StrContext::Expected(StrContextValue::StringLiteral(w)))
        .parse_next(i)
    }
}

fn handle<'s>(i: &mut &'s str) -> Result<&'s str> {
    let one = |quote: char| delimited(quote, take_while(0..=64, move |c: char| c != quote), quote);
    terminated(alt((one('\''), one('"'))), multispace0)
        .context(StrContext::Expected(StrContextValue::Description(
            "a handle in quotes",
        )))
        .parse_next(i)
}

fn page(i: &mut &str) -> Result<u32> {
    terminated(digit1.try_map(str::parse::<u32>), multispace0)
        .context(StrContext::Expected(StrContextValue::Description(
            "the number of a page",
        )))
        .parse_next(i)
}

fn end(i: &mut &str) -> Result<()> {
    (opt((";", multispace0)), eof)
        .void()
        .context(StrContext::Expected(StrContextValue::Description(
            "the end of the statement",
        )))
        .parse_next(i)
}

fn statement(i: &mut &str) -> Result<Ours> {
    let results = cut_err((word("RESULTS"), end)).value(Ours::Results);
    let from = preceded((word("FROM"), cut_err(word("PAGE"))), cut_err(page));
    let fetch =
        cut_err((preceded(word("RESULT"), handle), opt(from), end)).map(|(handle, from, ())| {
            Ours::Fetch {
                handle: handle.to_string(),
                from: from.unwrap_or(0),
            }
        });
    preceded(
        multispace0,
        alt((
            preceded((word("SHOW"), word("HITCHWINCH")), results),
            preceded((word("FETCH"), word("HITCHWINCH")), fetch),
        )),
    )
    .parse_next(i)
}

/// None if it is not ours; an error if it begins as ours and does not go on so.
pub fn parse(sql: &[u8]) -> Option<std::result::Result<Ours, OursError>> {
    // Long statements are none of ours: the longest is a handle and a few words.
    let text = std::str::from_utf8(sql.get(..sql.len().min(512))?).ok()?;
    let mut rest = text;
    match statement.parse_next(&mut rest) {
        Ok(ours) => Some(Ok(ours)),
        Err(winnow::error::ErrMode::Cut(e)) => {
            let expected = e.context().filter_map(|c| match c {
                StrContext::Expected(what) => Some(what.to_string()),
                _ => None,
            });
            let expected: Vec<String> = expected.collect();
            let what = match expected.is_empty() {
                true => "this is not understood".to_string(),
                false => format!("expected {}", expected.join(" or ")),
            };
            let at = text.len() - rest.len() + 1;
            Some(Err(OursError { at, what }))
        }
        Err(_) => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ours_are_read_in_any_case_and_spacing() {
        let fetch = |handle: &str, from| {
            Some(Ok(Ours::Fetch {
                handle: handle.into(),
                from,
            }))
        };
        assert_eq!(parse(b"SHOW HITCHWINCH RESULTS"), Some(Ok(Ours::Results)));
        assert_eq!(
            parse(b"  show\n hitchwinch\tresults ; "),
            Some(Ok(Ours::Results))
        );
        assert_eq!(
            parse(b"fetch hitchwinch result 'ab' from page 12"),
            fetch("ab", 12)
        );
        assert_eq!(parse(b"FETCH HITCHWINCH RESULT \"ab\";"), fetch("ab", 0));
        assert_eq!(
            parse(b"FETCH HITCHWINCH RESULT 'ab'FROM PAGE 0"),
            fetch("ab", 0)
        );
    }

    #[test]
    fn what_is_not_ours_is_the_engines() {
        for sql in [
            "SHOW TABLES",
            "select 'SHOW HITCHWINCH RESULTS'",
            "FETCH NEXT FROM c",
            "SHOWHITCHWINCH RESULTS",
            "SHOW HITCHWINCHED RESULTS",
            "",
            "fetch",
        ] {
            assert_eq!(parse(sql.as_bytes()), None, "{sql}");
        }
        assert_eq!(parse(&[0xff, 0xfe]), None);
    }

    #[test]
    fn what_begins_as_ours_and_goes_astray_is_told_with_its_place() {
        let cases = [
            ("SHOW HITCHWINCH RESULT", 17, "RESULTS"),
            ("SHOW HITCHWINCH RESULTS now", 25, "the end"),
            ("FETCH HITCHWINCH RESULT ab", 25, "a handle in quotes"),
            ("FETCH HITCHWINCH RESULT 'ab", 25, "a handle in quotes"),
            (
                "FETCH HITCHWINCH RESULT 'ab' FROM PAGE x",
                40,
                "the number of a page",
            ),
            (
                "FETCH HITCHWINCH RESULT 'ab' FROM PAGE 99999999999",
                40,
                "the number of a page",
            ),
            ("FETCH HITCHWINCH RESULT 'ab' FROM 3", 35, "PAGE"),
            ("FETCH HITCHWINCH RESULT 'ab' or 1=1", 30, "the end"),
        ];
        for (sql, at, what) in cases {
            let Some(Err(e)) = parse(sql.as_bytes()) else {
                panic!("{sql}: {:?}", parse(sql.as_bytes()))
            };
            assert!(e.what.contains(what), "{sql}: {e}");
            assert_eq!(e.at, at, "{sql}: {e}");
        }
    }
}
