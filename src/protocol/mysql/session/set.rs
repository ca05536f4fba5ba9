//! SET in its forms, read with parser combinators: what a session sets, as data. Nothing is guessed at: a value that
//! is no literal is told as an expression, which an engine has to work out.

use winnow::ascii::{Caseless, digit1, multispace1};
use winnow::combinator::{alt, delimited, eof, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{any, none_of, one_of, take_while};

/// One thing that a SET changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The words behind SET NAMES.
    Names(String),
    /// A variable of the session, by its name in lower case; a user's begins with `@`.
    Assign { name: String, value: Value },
    /// SET TRANSACTION: holds for the next one only.
    Next(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// As it may be sent to any engine.
    Literal(String),
    /// An engine has to work it out.
    Expression(String),
    Default,
}

/// Why a SET is not taken in.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SetError {
    #[error("SET, at character {at}: {what}")]
    Syntax {
        /// From 1.
        at: usize,
        what: String,
    },
    #[error("{0}")]
    NotCarried(&'static str),
}

type Result<T> = winnow::Result<T, ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn named(b: char) -> bool {
    b.is_ascii_alphanumeric() || b == '_' || b == '$' || !b.is_ascii()
}

fn space(i: &mut &str) -> Result<()> {
    let comment = ("/*", winnow::token::take_until(0.., "*/"), "*/").void();
    repeat::<_, _, (), _, _>(0.., alt((multispace1.void(), comment))).parse_next(i)
}

/// A keyword with what is blank behind it.
fn word<'s>(w: &'static str) -> impl FnMut(&mut &'s str) -> Result<()> {
    move |i: &mut &'s str| {
        let end = alt((eof.void(), one_of(|c| !named(c)).void()));
        (Caseless(w), peek(end), space).void().parse_next(i)
    }
}

fn name(i: &mut &str) -> Result<String> {
    let bare = take_while(1.., named).map(str::to_string);
    let quoted = delimited('`', take_while(1.., |c| c != '`'), '`').map(str::to_string);
    terminated(alt((quoted, bare)), space)
        .context(expected("a name"))
        .parse_next(i)
}

/// A string as it stands, quotes included.
fn string<'s>(i: &mut &'s str) -> Result<&'s str> {
    let one = |q: char| {
        let escaped = ('\\', any).void();
        let doubled = (q, q).void();
        let inner =
            repeat::<_, _, (), _, _>(0.., alt((escaped, doubled, none_of([q, '\\']).void())));
        (q, inner, q).take()
    };
    alt((one('\''), one('"'))).parse_next(i)
}

fn number<'s>(i: &mut &'s str) -> Result<&'s str> {
    let exponent = (one_of(['e', 'E']), opt(one_of(['+', '-'])), digit1);
    let decimal = (
        opt(one_of(['+', '-'])),
        digit1,
        opt(('.', digit1)),
        opt(exponent),
    )
        .take();
    let hex = ("0x", take_while(1.., |c: char| c.is_ascii_hexdigit())).take();
    alt((hex, decimal)).parse_next(i)
}

/// Words that stand for a value.
const WORDS: [&str; 5] = ["on", "off", "true", "false", "null"];

/// A value, up to the comma behind it or the end. Words without quotes (`utf8mb4`) are text to MySQL.
fn value(i: &mut &str) -> Result<Value> {
    fn part(i: &mut &str) -> Result<()> {
        let plain = none_of([',', ';', '(', ')', '\'', '"', '`']).void();
        let quoted = ('`', take_while(0.., |c| c != '`'), '`').void();
        alt((string.void(), quoted, inner, plain)).parse_next(i)
    }
    fn inner(i: &mut &str) -> Result<()> {
        let within = alt((part, one_of([',', ';']).void()));
        ('(', repeat::<_, _, (), _, _>(0.., within), ')')
            .void()
            .parse_next(i)
    }
    let text = repeat::<_, _, (), _, _>(1.., part)
        .take()
        .context(expected("a value"))
        .parse_next(i)?
        .trim();
    if text.is_empty() {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    let literal = alt((string, number)).parse(text).is_ok();
    let bare = text.chars().all(named);
    Ok(match text.to_ascii_lowercase().as_str() {
        "default" => Value::Default,
        w if WORDS.contains(&w) => Value::Literal(w.to_string()),
        _ if literal => Value::Literal(text.to_string()),
        _ if bare => Value::Literal(format!("'{text}'")),
        _ => Value::Expression(text.to_string()),
    })
}

fn names(i: &mut &str) -> Result<Change> {
    let text = |i: &mut &str| -> Result<String> {
        let quoted = string.map(|s: &str| s[1..s.len() - 1].to_string());
        terminated(alt((quoted, name)), space).parse_next(i)
    };
    let (set, collation) = (text, opt(preceded(word("collate"), text))).parse_next(i)?;
    Ok(Change::Names(match collation {
        Some(c) => format!("{set} COLLATE {c}"),
        None => set,
    }))
}

/// What may be said of a transaction, as the variable that holds it for a session.
fn characteristic(i: &mut &str) -> Result<(&'static str, &'static str, &'static str)> {
    let level = alt((
        (word("read"), word("uncommitted"))
            .value(("'READ-UNCOMMITTED'", "ISOLATION LEVEL READ UNCOMMITTED")),
        (word("read"), word("committed"))
            .value(("'READ-COMMITTED'", "ISOLATION LEVEL READ COMMITTED")),
        (word("repeatable"), word("read"))
            .value(("'REPEATABLE-READ'", "ISOLATION LEVEL REPEATABLE READ")),
        word("serializable").value(("'SERIALIZABLE'", "ISOLATION LEVEL SERIALIZABLE")),
    ));
    let level = preceded((word("isolation"), word("level")), level);
    let level = level.map(|(v, l)| ("transaction_isolation", v, l));
    let access = preceded(
        word("read"),
        alt((
            word("only").value(("1", "READ ONLY")),
            word("write").value(("0", "READ WRITE")),
        )),
    );
    let access = access.map(|(v, l)| ("transaction_read_only", v, l));
    alt((level, access))
        .context(expected("ISOLATION LEVEL or READ ONLY or READ WRITE"))
        .parse_next(i)
}

/// Where a SET takes hold.
#[derive(Clone, Copy, PartialEq)]
enum Scope {
    Session,
    /// Not said: for a transaction that is the next one.
    Unsaid,
    Global,
}

fn scope(i: &mut &str) -> Result<Scope> {
    let dotted = |w: &'static str| (Caseless(w), '.', space).void();
    alt((
        alt((
            dotted("@@global"),
            dotted("@@persist_only"),
            dotted("@@persist"),
        ))
        .value(Scope::Global),
        alt((dotted("@@session"), dotted("@@local"))).value(Scope::Session),
        ("@@", space).value(Scope::Unsaid),
        alt((word("global"), word("persist_only"), word("persist"))).value(Scope::Global),
        alt((word("session"), word("local"))).value(Scope::Session),
        "".value(Scope::Unsaid),
    ))
    .parse_next(i)
}

fn changes(i: &mut &str) -> Result<Vec<(Scope, Change)>> {
    let names = alt((
        preceded(word("names"), names),
        preceded((word("character"), word("set")), names),
        preceded(word("charset"), names),
    ));
    if let Some(c) = opt(names).parse_next(i)? {
        return Ok(vec![(Scope::Session, c)]);
    }
    if let Some((_, name)) = opt(('@', name)).parse_next(i)? {
        let value = preceded((assigned, space), value).parse_next(i)?;
        let name = format!("@{}", name.to_ascii_lowercase());
        return Ok(vec![(Scope::Session, Change::Assign { name, value })]);
    }
    let scope = scope.parse_next(i)?;
    if opt(word("transaction")).parse_next(i)?.is_some() {
        let all: Vec<_> = separated(1.., characteristic, (',', space)).parse_next(i)?;
        return Ok(match scope {
            Scope::Unsaid => {
                let words: Vec<&str> = all.iter().map(|c| c.2).collect();
                vec![(scope, Change::Next(words.join(", ")))]
            }
            _ => {
                let set = |(name, v, _): (&str, &str, &str)| Change::Assign {
                    name: name.into(),
                    value: Value::Literal(v.into()),
                };
                all.into_iter().map(|c| (scope, set(c))).collect()
            }
        });
    }
    let name = name.parse_next(i)?.to_ascii_lowercase();
    let value = preceded((assigned, space), value).parse_next(i)?;
    Ok(vec![(scope, Change::Assign { name, value })])
}

fn assigned(i: &mut &str) -> Result<()> {
    alt((":=", "="))
        .void()
        .context(expected("= and a value"))
        .parse_next(i)
}

fn statement(i: &mut &str) -> Result<Vec<(Scope, Change)>> {
    (space, word("set")).parse_next(i)?;
    let mut all: Vec<(Scope, Change)> = vec![];
    loop {
        all.extend(changes.parse_next(i)?);
        space.parse_next(i)?;
        if opt((',', space)).parse_next(i)?.is_none() {
            break;
        }
    }
    (opt((';', space)), eof)
        .void()
        .context(expected("a comma or the end"))
        .parse_next(i)?;
    Ok(all)
}

/// What a dump's `/*!40101 SET ... */` holds: MySQL heeds it.
fn heeded(text: &str) -> Option<&str> {
    let inner = text
        .trim()
        .trim_end_matches(';')
        .strip_prefix("/*!")?
        .strip_suffix("*/")?;
    Some(inner.trim_start_matches(|c: char| c.is_ascii_digit()))
}

/// Bytes of a SET that is read; a longer one is refused.
const LONGEST: usize = 16 * 1024;

/// What a SET changes, in its order.
///
/// # Errors
/// It cannot be read, or reaches beyond the session: [`SetError`].
pub fn parse(sql: &[u8]) -> std::result::Result<Vec<Change>, SetError> {
    if sql.len() > LONGEST {
        return Err(SetError::NotCarried(
            "a SET of more than 16 KB is not carried",
        ));
    }
    let text =
        std::str::from_utf8(sql).map_err(|_| SetError::NotCarried("a SET in Unicode only"))?;
    let text = heeded(text).unwrap_or(text);
    let lower = text.trim_start().to_ascii_lowercase();
    let after = lower.strip_prefix("set").unwrap_or_default().trim_start();
    if ["password", "role", "default role", "resource group"]
        .iter()
        .any(|w| after.starts_with(w))
    {
        return Err(SetError::NotCarried(
            "users, roles and resource groups are the engines' operators' own",
        ));
    }
    let mut rest = text;
    let all = statement.parse_next(&mut rest).map_err(|e| {
        let context = match &e {
            ErrMode::Backtrack(c) | ErrMode::Cut(c) => c.context().last().map(ToString::to_string),
            ErrMode::Incomplete(_) => None,
        };
        let what = context.unwrap_or_else(|| "this is not understood".into());
        SetError::Syntax {
            at: text.len() - rest.len() + 1,
            what,
        }
    })?;
    if all.iter().any(|(scope, _)| *scope == Scope::Global) {
        return Err(SetError::NotCarried(
            "engines are not administered through the dispatcher",
        ));
    }
    Ok(all.into_iter().map(|(_, c)| c).collect())
}
