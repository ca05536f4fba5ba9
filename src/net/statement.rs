//! What a statement tells of itself without a parser: the group of tables that it names, whether it plainly
//! reads, and a hint in its leading comment. Words inside strings and comments never count.

/// What stands in a statement.
#[derive(Clone, Debug, PartialEq)]
enum Token {
    /// A bare or quoted name; bare ones may be keywords.
    Name {
        text: String,
        quoted: bool,
    },
    Number,
    Text,
    Mark(u8),
    /// `/*! ... */` and `/*+ ... */`: MySQL heeds what they hold.
    Heeded,
}

struct Tokens<'a> {
    s: &'a [u8],
    at: usize,
    /// The last token was a dot.
    dot: bool,
}

fn tokens(statement: &[u8]) -> Tokens<'_> {
    Tokens { s: statement, at: 0, dot: false }
}

fn word(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80
}

impl Tokens<'_> {
    /// The end of what a quote opened: a doubled quote stands for itself, and so does an escaped one.
    fn quoted(&mut self, quote: u8, escapes: bool) -> String {
        let mut text = vec![];
        self.at += 1;
        while let Some(&b) = self.s.get(self.at) {
            self.at += 1;
            if b == b'\\' && escapes {
                text.extend(self.s.get(self.at));
                self.at += 1;
            } else if b == quote {
                if self.s.get(self.at) != Some(&quote) {
                    break;
                }
                text.push(quote);
                self.at += 1;
            } else {
                text.push(b);
            }
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    fn skip_past(&mut self, end: &[u8]) {
        let rest = self.s.get(self.at..).unwrap_or_default();
        let found = rest.windows(end.len()).position(|w| w == end);
        self.at = found.map_or(self.s.len(), |i| self.at + i + end.len());
    }
}

impl Iterator for Tokens<'_> {
    type Item = Token;

    fn next(&mut self) -> Option<Token> {
        let dotted = std::mem::take(&mut self.dot);
        loop {
            let rest = self.s.get(self.at..)?;
            let &b = rest.first()?;
            if b.is_ascii_whitespace() {
                self.at += 1;
            } else if rest.starts_with(b"/*") {
                let heeded = matches!(rest.get(2), Some(b'!' | b'+'));
                self.at += 2;
                self.skip_past(b"*/");
                if heeded {
                    return Some(Token::Heeded);
                }
            } else if rest.starts_with(b"--") || b == b'#' {
                self.skip_past(b"\n");
            } else if b == b'\'' {
                self.quoted(b, true);
                return Some(Token::Text);
            } else if b == b'"' {
                // A string to MySQL, a name elsewhere; only a name has a dot beside it.
                let text = self.quoted(b, true);
                let name = dotted || self.s.get(self.at) == Some(&b'.');
                return Some(if name { Token::Name { text, quoted: true } } else { Token::Text });
            } else if b == b'`' {
                return Some(Token::Name { text: self.quoted(b, false), quoted: true });
            } else if b.is_ascii_digit() {
                let n = rest.iter().take_while(|&&b| word(b) || b == b'.').count();
                self.at += n;
                return Some(Token::Number);
            } else if word(b) {
                let n = rest.iter().take_while(|&&b| word(b)).count();
                let text = String::from_utf8_lossy(&rest[..n]).into_owned();
                self.at += n;
                return Some(Token::Name { text, quoted: false });
            } else {
                self.at += 1;
                self.dot = b == b'.';
                return Some(Token::Mark(b));
            }
        }
    }
}

/// The number behind the last underscore of a schema's name.
fn number(schema: &str) -> Option<u64> {
    if schema.eq_ignore_ascii_case("staging") {
        return None;
    }
    schema.rsplit_once('_')?.1.parse().ok()
}

/// Words behind which a table is named.
const BEFORE_TABLE: [&str; 9] =
    ["from", "join", "into", "update", "table", "using", "overwrite", "only", "ignore"];

/// The group of tables: the number in the name of the first schema that stands where a table is named, or
/// else anywhere before a dot (`sales_17.orders`).
pub fn group(statement: &[u8]) -> Option<u64> {
    let (mut anywhere, mut chain) = (None, Chain::default());
    let (mut table_next, mut dotted) = (false, false);
    for token in tokens(statement) {
        match token {
            Token::Mark(b'.') => dotted = true,
            Token::Name { text, .. } if dotted => {
                dotted = false;
                chain.schema = chain.last.replace(text);
            }
            other => {
                dotted = false;
                match std::mem::take(&mut chain).number() {
                    Some((n, true)) => return Some(n),
                    Some((n, false)) => anywhere = anywhere.or(Some(n)),
                    None => {}
                }
                match other {
                    Token::Name { text, quoted } => {
                        let keyword = BEFORE_TABLE.iter().any(|k| k.eq_ignore_ascii_case(&text));
                        chain = Chain { schema: None, last: Some(text), placed: table_next };
                        table_next = keyword && !quoted;
                    }
                    // `from (sales_17.orders ...)`
                    Token::Mark(b'(') => {}
                    _ => table_next = false,
                }
            }
        }
    }
    match chain.number() {
        Some((n, true)) => Some(n),
        Some((n, false)) => anywhere.or(Some(n)),
        None => anywhere,
    }
}

/// Names joined by dots, of which the last two tell; `placed` where a table is named.
#[derive(Default)]
struct Chain {
    schema: Option<String>,
    last: Option<String>,
    placed: bool,
}

impl Chain {
    fn number(&self) -> Option<(u64, bool)> {
        Some((number(self.schema.as_deref()?)?, self.placed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_group_is_read_off_awkward_statements() {
        let cases: [(&str, Option<u64>); 17] = [
            ("select * from sales_17.orders", Some(17)),
            ("SELECT a.x FROM `kit_sales_3`.`o r` AS a", Some(3)),
            ("select 'from a_1.b' from c_2.d", Some(2)),
            ("select 'it''s a_1.b', 'x\\' from a_9.t' from c_2.d", Some(2)),
            ("select 1 -- from a_1.b\nfrom c_2.d", Some(2)),
            ("select /* a_1.b */ 1 from c_2.d", Some(2)),
            ("# a_1.b\nselect 1 from c_2.d", Some(2)),
            ("insert into staging.x select * from c_2.d", Some(2)),
            ("insert into c_5.t select * from Staging.x join a_2.y on 1", Some(5)),
            ("select t_4.id from c_2.d t_4", Some(2)),
            ("select * from (select * from c_2 . d) x", Some(2)),
            ("select * from cat.c_2.d", Some(2)),
            ("select * from \"c_2\".\"d\"", Some(2)),
            ("select \"from a_1.b\" from c_2.d", Some(2)),
            ("select 1.5, x from t", None),
            ("select * from sales.orders_17", None),
            ("select 'unfinished a_1.b", None),
        ];
        for (text, group_) in cases {
            assert_eq!(group(text.as_bytes()), group_, "{text}");
        }
    }
}
