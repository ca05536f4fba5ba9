//! How a fake engine reads the text of statements: comments, names, strings and lists, by its `sql_mode`.

/// A value of `sql_mode`.
#[derive(Clone, Copy, Debug)]
pub(super) struct SqlMode<'a>(pub(super) &'a str);

impl SqlMode<'_> {
    fn has(self, name: &str) -> bool {
        self.0
            .split(',')
            .any(|mode| mode.trim().eq_ignore_ascii_case(name))
    }

    /// Returns whether a backslash in a string escapes the character after it.
    pub(super) fn has_escapes(self) -> bool {
        !self.has("NO_BACKSLASH_ESCAPES")
    }

    /// Returns whether double quotes enclose a name.
    pub(super) fn has_quoted_names(self) -> bool {
        self.has("ANSI_QUOTES") || self.has("ANSI")
    }

    /// Returns the text of a string literal; `None` if it does not end with the closing quote.
    pub(super) fn text_of_literal(self, literal: &str) -> Option<String> {
        let mut characters = literal.chars().peekable();
        let quote = characters.next()?;
        let mut text = String::new();
        while let Some(character) = characters.next() {
            if character == quote {
                if characters.next_if_eq(&quote).is_none() {
                    return characters.next().is_none().then_some(text);
                }
                text.push(quote);
            } else if character == '\\' && self.has_escapes() {
                let escaped = characters.next()?;
                // Kept for the patterns of LIKE.
                if matches!(escaped, '%' | '_') {
                    text.push(character);
                }
                text.push(unescaped(escaped));
            } else {
                text.push(character);
            }
        }
        None
    }

    /// Splits a list at the commas outside strings, quoted names and parentheses.
    pub(super) fn split_at_commas(self, list: &str) -> Vec<String> {
        let (mut all, mut item) = (vec![], String::new());
        let (mut depth, mut quote) = (0, None);
        let mut characters = list.chars();
        while let Some(character) = characters.next() {
            match (quote, character) {
                (Some('\'' | '"'), '\\') if self.has_escapes() => {
                    item.push(character);
                    item.extend(characters.next());
                    continue;
                }
                (Some(open), character) if character == open => quote = None,
                (Some(_), _) => {}
                (None, '\'' | '"' | '`') => quote = Some(character),
                (None, '(') => depth += 1,
                (None, ')') => depth -= 1,
                (None, ',') if depth == 0 => {
                    all.push(std::mem::take(&mut item));
                    continue;
                }
                _ => {}
            }
            item.push(character);
        }
        all.push(item);
        all
    }
}

/// Returns the names of the modes in a numeric value, of those that tests use.
pub(super) fn sql_mode_of_bits(value: &str) -> String {
    let bits = value.parse::<f64>().unwrap_or(0.0).round() as u64;
    let names: Vec<&str> = [(4, "ANSI_QUOTES"), (1 << 20, "NO_BACKSLASH_ESCAPES")]
        .iter()
        .filter(|(bit, _)| bits & bit != 0)
        .map(|(_, name)| *name)
        .collect();
    names.join(",")
}

/// Removes leading comments and the semicolon at the end. The content of a leading `/*!40101 ... */` stays.
pub(super) fn strip_comments(sql: &str) -> String {
    let mut text = sql.trim();
    while let Some(rest) = text.strip_prefix("/*") {
        let (comment, after) = rest.split_once("*/").unwrap_or((rest, ""));
        if let Some(executed) = comment.strip_prefix('!') {
            let executed = executed.trim_start_matches(|c: char| c.is_ascii_digit());
            return executed.trim().to_string();
        }
        text = after.trim_start();
    }
    text.trim_end_matches(';').trim().to_string()
}

/// Splits `NAME = VALUE` at the first equals sign outside quotes.
pub(super) fn split_assignment(assignment: &str) -> Option<(&str, &str)> {
    let mut quote = None;
    let position = assignment.find(|character| match (quote, character) {
        (Some(open), character) if open == character => {
            quote = None;
            false
        }
        (Some(_), _) => false,
        (None, '\'' | '"' | '`') => {
            quote = Some(character);
            false
        }
        (None, character) => character == '=',
    })?;
    Some((&assignment[..position], &assignment[position + 1..]))
}

/// Returns a name without its quotes; a doubled quote within stands for one.
pub(super) fn unquote_name(name: &str) -> String {
    for quote in ['`', '\'', '"'] {
        let inner = name
            .strip_prefix(quote)
            .and_then(|name| name.strip_suffix(quote));
        if let Some(inner) = inner {
            return inner.replace(&format!("{quote}{quote}"), &quote.to_string());
        }
    }
    name.to_string()
}

/// Returns the character that this one stands for behind a backslash.
fn unescaped(character: char) -> char {
    match character {
        '0' => '\0',
        'b' => '\x08',
        'n' => '\n',
        'r' => '\r',
        't' => '\t',
        'Z' => '\x1a',
        other => other,
    }
}
