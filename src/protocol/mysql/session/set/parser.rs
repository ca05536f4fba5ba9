//! The grammar of SET.

use super::{Change, Literal, Value, VariableName};
use crate::protocol::mysql::quoted_text::QuotedText;
use crate::protocol::mysql::sql_mode::{LexicalMode, SQL_MODE_VARIABLE};
use winnow::ascii::{Caseless, digit1, multispace1};
use winnow::combinator::{alt, delimited, eof, opt, peek, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::Stateful;
use winnow::token::{any, none_of, one_of, take_while};

type Result<T> = winnow::Result<T, ErrMode<ContextError>>;

/// The rest of a statement, and the mode in which it is read.
pub(super) type Input<'s> = Stateful<&'s str, LexicalMode>;

/// Returns the input of a parser.
pub(super) fn input(text: &str, mode: LexicalMode) -> Input<'_> {
    Stateful {
        input: text,
        state: mode,
    }
}

/// Where a SET takes effect.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Scope {
    /// The current session.
    Session,
    /// Not given. SET TRANSACTION then applies to the next transaction.
    Unspecified,
    /// The whole engine.
    Global,
}

/// Parses a SET with all its changes, up to the end of the input.
pub(super) fn statement(input: &mut Input<'_>) -> Result<Vec<(Scope, Change)>> {
    (space, keyword("set")).parse_next(input)?;
    let mut all: Vec<(Scope, Change)> = vec![];
    loop {
        all.extend(changes.parse_next(input)?);
        space.parse_next(input)?;
        if opt((',', space)).parse_next(input)?.is_none() {
            break;
        }
    }
    (opt((';', space)), eof)
        .void()
        .context(expected("a comma or the end"))
        .parse_next(input)?;
    Ok(all)
}

fn changes(input: &mut Input<'_>) -> Result<Vec<(Scope, Change)>> {
    let names = alt((
        preceded(keyword("names"), names),
        preceded((keyword("character"), keyword("set")), names),
        preceded(keyword("charset"), names),
    ));
    if let Some(change) = opt(names).parse_next(input)? {
        return Ok(vec![(Scope::Session, change)]);
    }
    if let Some((_, name)) = opt(('@', name)).parse_next(input)? {
        let value = preceded((assignment_operator, space), value).parse_next(input)?;
        let name = VariableName::user(&name);
        return Ok(vec![(Scope::Session, Change::Assign { name, value })]);
    }
    let scope = scope.parse_next(input)?;
    if opt(keyword("transaction")).parse_next(input)?.is_some() {
        return transaction(scope, input);
    }
    let name = name
        .try_map(|name| VariableName::system(&name))
        .parse_next(input)?;
    let value = preceded((assignment_operator, space), value).parse_next(input)?;
    let value = match name.is_system(SQL_MODE_VARIABLE) {
        true => readable_mode(value),
        false => value,
    };
    Ok(vec![(scope, Change::Assign { name, value })])
}

/// Parses what follows SET TRANSACTION.
fn transaction(scope: Scope, input: &mut Input<'_>) -> Result<Vec<(Scope, Change)>> {
    let all: Vec<Characteristic> =
        separated(1.., characteristic, (',', space)).parse_next(input)?;
    if scope == Scope::Unspecified {
        let sql: Vec<&str> = all.iter().map(|one| one.sql).collect();
        return Ok(vec![(scope, Change::NextTransaction(sql.join(", ")))]);
    }
    let assign = |one: Characteristic| Change::Assign {
        name: VariableName::builtin(one.variable),
        value: Value::Literal(one.literal()),
    };
    Ok(all.into_iter().map(|one| (scope, assign(one))).collect())
}

/// A transaction characteristic.
#[derive(Clone, Copy)]
struct Characteristic {
    /// The session variable that holds it.
    variable: &'static str,
    value: CharacteristicValue,
    /// The characteristic as SET TRANSACTION spells it.
    sql: &'static str,
}

/// The value of the variable that holds a transaction characteristic.
#[derive(Clone, Copy)]
enum CharacteristicValue {
    Isolation(&'static str),
    ReadOnly(bool),
}

impl Characteristic {
    /// Returns the variable's value.
    fn literal(self) -> Literal {
        match self.value {
            CharacteristicValue::Isolation(level) => Literal::Text(level.into()),
            CharacteristicValue::ReadOnly(read_only) => {
                Literal::Plain(u8::from(read_only).to_string())
            }
        }
    }
}

const fn isolation(level: &'static str, sql: &'static str) -> Characteristic {
    Characteristic {
        variable: "transaction_isolation",
        value: CharacteristicValue::Isolation(level),
        sql,
    }
}

const fn access(read_only: bool, sql: &'static str) -> Characteristic {
    Characteristic {
        variable: "transaction_read_only",
        value: CharacteristicValue::ReadOnly(read_only),
        sql,
    }
}

const READ_UNCOMMITTED: Characteristic =
    isolation("READ-UNCOMMITTED", "ISOLATION LEVEL READ UNCOMMITTED");
const READ_COMMITTED: Characteristic =
    isolation("READ-COMMITTED", "ISOLATION LEVEL READ COMMITTED");
const REPEATABLE_READ: Characteristic =
    isolation("REPEATABLE-READ", "ISOLATION LEVEL REPEATABLE READ");
const SERIALIZABLE: Characteristic = isolation("SERIALIZABLE", "ISOLATION LEVEL SERIALIZABLE");
const READ_ONLY: Characteristic = access(true, "READ ONLY");
const READ_WRITE: Characteristic = access(false, "READ WRITE");

fn characteristic(input: &mut Input<'_>) -> Result<Characteristic> {
    let level = alt((
        (keyword("read"), keyword("uncommitted")).value(READ_UNCOMMITTED),
        (keyword("read"), keyword("committed")).value(READ_COMMITTED),
        (keyword("repeatable"), keyword("read")).value(REPEATABLE_READ),
        keyword("serializable").value(SERIALIZABLE),
    ));
    let level = preceded((keyword("isolation"), keyword("level")), level);
    let access = alt((
        keyword("only").value(READ_ONLY),
        keyword("write").value(READ_WRITE),
    ));
    let access = preceded(keyword("read"), access);
    alt((level, access))
        .context(expected("ISOLATION LEVEL or READ ONLY or READ WRITE"))
        .parse_next(input)
}

fn scope(input: &mut Input<'_>) -> Result<Scope> {
    let dotted = |prefix: &'static str| (Caseless(prefix), '.', space).void();
    let global_prefix = alt((
        dotted("@@global"),
        dotted("@@persist_only"),
        dotted("@@persist"),
    ));
    let global_keyword = alt((
        keyword("global"),
        keyword("persist_only"),
        keyword("persist"),
    ));
    alt((
        global_prefix.value(Scope::Global),
        alt((dotted("@@session"), dotted("@@local"))).value(Scope::Session),
        ("@@", space).value(Scope::Unspecified),
        global_keyword.value(Scope::Global),
        alt((keyword("session"), keyword("local"))).value(Scope::Session),
        "".value(Scope::Unspecified),
    ))
    .parse_next(input)
}

/// Parses the operand of SET NAMES.
fn names(input: &mut Input<'_>) -> Result<Change> {
    let text = |input: &mut Input<'_>| -> Result<String> {
        let mode = input.state;
        let content = |quoted: &str| QuotedText::read(quoted.as_bytes(), mode).into_text();
        let quoted = quoted_text.map(content);
        terminated(alt((quoted, name)), space).parse_next(input)
    };
    let (character_set, collation) =
        (text, opt(preceded(keyword("collate"), text))).parse_next(input)?;
    Ok(Change::Names(match collation {
        Some(collation) => format!("{character_set} COLLATE {collation}"),
        None => character_set,
    }))
}

fn assignment_operator(input: &mut Input<'_>) -> Result<()> {
    alt((":=", "="))
        .void()
        .context(expected("= and a value"))
        .parse_next(input)
}

/// Keywords that are literals.
const VALUE_KEYWORDS: [&str; 5] = ["on", "off", "true", "false", "null"];

/// Parses a value up to the next comma or the end. MySQL treats words without quotes (`utf8mb4`) as strings.
fn value(input: &mut Input<'_>) -> Result<Value> {
    let text = repeat::<_, _, (), _, _>(1.., value_part)
        .take()
        .context(expected("a value"))
        .parse_next(input)?
        .trim();
    if text.is_empty() {
        return Err(ErrMode::Cut(ContextError::new()));
    }
    Ok(value_of(text, input.state))
}

/// Returns a value of `sql_mode` as one that is read here: an engine evaluates a form of a number that is not decimal.
fn readable_mode(value: Value) -> Value {
    match value {
        Value::Literal(Literal::Plain(text))
            if text.parse::<f64>().is_err()
                && text.starts_with(|first: char| first.is_ascii_digit()) =>
        {
            Value::Expression(text)
        }
        other => other,
    }
}

/// Returns the value that this text stands for.
fn value_of(text: &str, mode: LexicalMode) -> Value {
    let is_quoted = quoted_text.parse(self::input(text, mode)).is_ok();
    let is_number = number.parse(self::input(text, mode)).is_ok();
    let is_bare = text.chars().all(is_name_character);
    match text.to_ascii_lowercase().as_str() {
        "default" => Value::Default,
        word if VALUE_KEYWORDS.contains(&word) => Value::Literal(Literal::Plain(word.into())),
        _ if is_quoted => Value::Literal(Literal::of_quoted(text, mode)),
        _ if is_number => Value::Literal(Literal::Plain(text.into())),
        _ if is_bare => Value::Literal(Literal::Text(text.into())),
        _ => Value::Expression(text.into()),
    }
}

/// Skips one part of a value: a string, a quoted name, a group in parentheses, or one other character.
fn value_part(input: &mut Input<'_>) -> Result<()> {
    let plain = none_of([',', ';', '(', ')', '\'', '"', '`']).void();
    alt((quoted_text.void(), quoted_name, parenthesized, plain)).parse_next(input)
}

/// Skips a group in parentheses, including the groups nested in it. It counts the open parentheses and does not
/// call itself: the client chooses how deep they nest, and recursion would let it overflow the stack.
fn parenthesized(input: &mut Input<'_>) -> Result<()> {
    '('.parse_next(input)?;
    let mut open_parentheses = 1_usize;
    while open_parentheses > 0 {
        match group_part.parse_next(input)? {
            GroupPart::Opening => open_parentheses += 1,
            GroupPart::Closing => open_parentheses -= 1,
            GroupPart::Other => {}
        }
    }
    Ok(())
}

/// A part of a group in parentheses.
#[derive(Clone, Copy)]
enum GroupPart {
    Opening,
    Closing,
    /// A string, a quoted name or one other character.
    Other,
}

fn group_part(input: &mut Input<'_>) -> Result<GroupPart> {
    let plain = none_of(['(', ')', '\'', '"', '`']).void();
    alt((
        '('.value(GroupPart::Opening),
        ')'.value(GroupPart::Closing),
        alt((quoted_text.void(), quoted_name, plain)).value(GroupPart::Other),
    ))
    .parse_next(input)
}

fn quoted_name(input: &mut Input<'_>) -> Result<()> {
    ('`', take_while(0.., |character| character != '`'), '`')
        .void()
        .parse_next(input)
}

/// Parses a string, or a name in double quotes, and returns it as written, including the quotes.
fn quoted_text<'s>(input: &mut Input<'s>) -> Result<&'s str> {
    let mode = input.state;
    let quoted_by = |quote: char, has_escapes: bool| {
        let escape = any.verify(move |&character| has_escapes && character == '\\');
        let escaped = (escape, any).void();
        let doubled = (quote, quote).void();
        let plain = any
            .verify(move |&character| character != quote && !(has_escapes && character == '\\'))
            .void();
        let inner = repeat::<_, _, (), _, _>(0.., alt((escaped, doubled, plain)));
        (quote, inner, quote).take()
    };
    alt((
        quoted_by('\'', mode.has_escapes(b'\'')),
        quoted_by('"', mode.has_escapes(b'"')),
    ))
    .parse_next(input)
}

fn number<'s>(input: &mut Input<'s>) -> Result<&'s str> {
    let exponent = (one_of(['e', 'E']), opt(one_of(['+', '-'])), digit1);
    let decimal = (
        opt(one_of(['+', '-'])),
        digit1,
        opt(('.', digit1)),
        opt(exponent),
    )
        .take();
    let hex = (
        "0x",
        take_while(1.., |digit: char| digit.is_ascii_hexdigit()),
    )
        .take();
    alt((hex, decimal)).parse_next(input)
}

fn name(input: &mut Input<'_>) -> Result<String> {
    let bare = take_while(1.., is_name_character).map(str::to_string);
    let character = alt(("``".value('`'), none_of('`')));
    let quoted = delimited('`', repeat(1.., character), '`');
    terminated(alt((quoted, bare)), space)
        .context(expected("a name"))
        .parse_next(input)
}

/// Parses a keyword and the white space and comments after it.
fn keyword<'s>(text: &'static str) -> impl FnMut(&mut Input<'s>) -> Result<()> {
    move |input: &mut Input<'s>| {
        let end = alt((
            eof.void(),
            one_of(|character| !is_name_character(character)).void(),
        ));
        (Caseless(text), peek(end), space).void().parse_next(input)
    }
}

/// Skips white space and comments.
fn space(input: &mut Input<'_>) -> Result<()> {
    let comment = ("/*", winnow::token::take_until(0.., "*/"), "*/").void();
    repeat::<_, _, (), _, _>(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn is_name_character(character: char) -> bool {
    character.is_ascii_alphanumeric()
        || character == '_'
        || character == '$'
        || !character.is_ascii()
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}
