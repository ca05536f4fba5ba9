//! What a statement tells of itself without a parser: the group of tables that it names, whether it plainly
//! reads, and a hint in its leading comment. Words inside strings and comments never count.

use crate::sticky_sessions::StickyReason;

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
    Tokens {
        s: statement,
        at: 0,
        dot: false,
    }
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
                return Some(if name {
                    Token::Name { text, quoted: true }
                } else {
                    Token::Text
                });
            } else if b == b'`' {
                return Some(Token::Name {
                    text: self.quoted(b, false),
                    quoted: true,
                });
            } else if b.is_ascii_digit() {
                let n = rest.iter().take_while(|&&b| word(b) || b == b'.').count();
                self.at += n;
                return Some(Token::Number);
            } else if word(b) {
                let n = rest.iter().take_while(|&&b| word(b)).count();
                let text = String::from_utf8_lossy(&rest[..n]).into_owned();
                self.at += n;
                return Some(Token::Name {
                    text,
                    quoted: false,
                });
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
const BEFORE_TABLE: [&str; 9] = [
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
                        chain = Chain {
                            schema: None,
                            last: Some(text),
                            placed: table_next,
                        };
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

/// What a MySQL statement is to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Plainly reads, and needs nothing that an earlier statement left behind.
    Read,
    /// May write, for all that can be seen.
    Write,
    /// `use schema`
    Use(String),
    /// Changes what the session is; read by [`crate::protocol::mysql::session::set`].
    Set,
    /// COMMIT or ROLLBACK.
    Ends,
    /// SAVEPOINT and the like: of use in a transaction, and harmless outside.
    Within,
    UnlockTables,
    /// SHOW WARNINGS or SHOW ERRORS: about the statement before.
    Warnings,
    /// KILL QUERY, of a session by its number here.
    Kill(u32),
    /// Leaves something behind on its connection that no other has.
    Pins(StickyReason),
    /// Cannot be carried, and why: sessions move between engines, and each statement stands alone.
    NotCarried(&'static str),
}

/// Functions that plainly read. Any other may be stored on the engine and write.
const FUNCTIONS: &str = " abs acos adddate addtime ascii asin atan avg bin bit_and bit_count bit_or bit_xor \
    cast ceil ceiling char char_length character_length coalesce concat concat_ws conv convert convert_tz cos \
    cot count crc32 cume_dist curdate current_date current_time current_timestamp curtime database date \
    date_add date_format date_sub datediff day dayname dayofmonth dayofweek dayofyear degrees dense_rank elt \
    exp extract field find_in_set first_value floor format from_base64 from_days from_unixtime greatest \
    group_concat hex hour if ifnull inet_aton inet_ntoa insert instr json_array json_arrayagg json_contains \
    json_extract json_keys json_length json_object json_objectagg json_search json_unquote json_valid lag \
    last_day last_insert_id last_value lcase lead least left length ln locate log log10 log2 lower lpad ltrim makedate \
    maketime max md5 microsecond mid min minute mod month monthname now nth_value ntile nullif oct \
    octet_length ord percent_rank period_add period_diff pi position pow power quarter quote radians rand \
    rank regexp_instr regexp_like regexp_replace regexp_substr repeat replace reverse right round row \
    row_number rpad rtrim schema sec_to_time second sha1 sha2 sign sin soundex space sqrt std stddev \
    stddev_pop stddev_samp str_to_date strcmp subdate substr substring substring_index subtime sum sysdate \
    tan time time_format time_to_sec timediff timestamp timestampadd timestampdiff to_base64 to_days \
    to_seconds trim truncate ucase unhex unix_timestamp upper user utc_date utc_time utc_timestamp uuid \
    values var_pop var_samp variance version week weekday weekofyear year yearweek ";
/// Words that may stand before a bracket without calling anything.
const NO_CALL: &str = " all and any as between by case distinct div else end except exists from group having \
    in intersect interval is join like limit not offset on only or order over partition regexp rlike select \
    some then union using when where with window xor lateral inner outer cross straight_join returning \
    index key force use ignore decimal char varchar binary signed unsigned table ";
/// Words of which one makes a statement more than a read.
const WRITES: &str = " alter analyze call create delete drop execute grant handler insert into load lock \
    merge optimize prepare procedure rename repair replace revoke truncate update ";

fn listed(list: &str, word: &str) -> bool {
    let padded = format!(" {word} ");
    list.contains(&padded)
}

/// What a MySQL statement is. Doubt counts as a write.
pub fn kind(statement: &[u8]) -> Kind {
    let all: Vec<Token> = tokens(statement).collect();
    let word = |i: usize| match all.get(i) {
        Some(Token::Name {
            text,
            quoted: false,
        }) => text.to_ascii_lowercase(),
        _ => String::new(),
    };
    let mark = |i: usize, m: u8| all.get(i) == Some(&Token::Mark(m));
    let start = (0..all.len()).find(|&i| !mark(i, b'(')).unwrap_or(0);
    let end = (0..all.len())
        .rev()
        .find(|&i| !mark(i, b';'))
        .map_or(0, |i| i + 1);
    let first = word(start);
    let words: Vec<String> = (0..end).map(word).collect();
    let has = |w: &str| words.iter().any(|x| x == w);
    let several = (0..end).any(|i| mark(i, b';'));
    match first.as_str() {
        "xa" => return Kind::NotCarried("distributed transactions are not carried"),
        "commit" | "rollback" if has("release") && !has("no") && !has("to") => {
            return Kind::NotCarried("RELEASE is not carried: close the connection");
        }
        _ if several => return Kind::NotCarried("several statements at once are not carried"),
        "begin" => return Kind::Pins(StickyReason::Transaction),
        "start" if word(start + 1) == "transaction" => {
            return Kind::Pins(StickyReason::Transaction);
        }
        "commit" => return Kind::Ends,
        "rollback" => return if has("to") { Kind::Within } else { Kind::Ends },
        "savepoint" | "release" => return Kind::Within,
        "lock" if matches!(word(start + 1).as_str(), "table" | "tables") => {
            return Kind::Pins(StickyReason::TableLocks);
        }
        "unlock" if matches!(word(start + 1).as_str(), "table" | "tables") => {
            return Kind::UnlockTables;
        }
        "lock" | "unlock" | "start" => {
            return Kind::NotCarried("engines are not administered through the dispatcher");
        }
        "prepare" | "execute" | "deallocate" => {
            return Kind::NotCarried("statements are prepared by the protocol, not by SQL");
        }
        "handler" | "declare" | "open" | "fetch" | "close" => {
            return Kind::NotCarried("cursors are not carried");
        }
        "kill" if word(start + 1) == "query" => {
            let number = String::from_utf8_lossy(statement)
                .split_ascii_whitespace()
                .nth(2)
                .map(str::to_string);
            return match number.and_then(|n| n.trim_end_matches(';').parse().ok()) {
                Some(n) if end == start + 3 => Kind::Kill(n),
                _ => Kind::NotCarried("KILL QUERY takes the number of a session"),
            };
        }
        "show" if end == start + 2 && matches!(word(start + 1).as_str(), "warnings" | "errors") => {
            return Kind::Warnings;
        }
        "kill" | "shutdown" | "restart" | "flush" | "reset" | "install" | "uninstall" | "clone" => {
            return Kind::NotCarried("engines are not administered through the dispatcher");
        }
        "call" => return Kind::NotCarried("stored procedures are not carried"),
        "load" if has("local") => return Kind::NotCarried("LOCAL INFILE is not carried"),
        "use" => {
            return match all.get(start + 1) {
                Some(Token::Name { text, .. }) if end == start + 2 => Kind::Use(text.clone()),
                _ => Kind::NotCarried("USE takes the name of a schema"),
            };
        }
        "set" => return Kind::Set,
        _ => {}
    }
    let calls = |w: &str| (0..end).any(|i| words[i] == w && mark(i + 1, b'('));
    if has("temporary") && matches!(first.as_str(), "create" | "drop") {
        return Kind::Pins(StickyReason::TemporaryTable);
    }
    if ["get_lock", "release_lock", "release_all_locks"]
        .into_iter()
        .any(calls)
    {
        return Kind::Pins(StickyReason::UserLock);
    }
    if ["found_rows", "row_count"].into_iter().any(calls) {
        return Kind::NotCarried("what the statement before has counted is not carried");
    }
    // One @ is a variable of the user's, two are the engine's own. Read, it is set anew wherever the statement
    // runs; assigned, it is left behind there.
    let variable = |i: usize| mark(i, b'@') && !mark(i + 1, b'@') && (i == 0 || !mark(i - 1, b'@'));
    if (0..end).any(variable) && (all[..end].windows(2).any(|w| w == ASSIGN) || has("into")) {
        return Kind::Pins(StickyReason::SessionVariable);
    }
    // Its locks end with the statement, unless a transaction is open.
    if has("for") && (has("share") || words.windows(2).any(|w| w[0] == "for" && w[1] == "update")) {
        return Kind::Write;
    }
    let reads = matches!(
        first.as_str(),
        "select" | "with" | "show" | "describe" | "desc" | "explain" | "values" | "table"
    );
    let function = |i: usize| mark(i + 1, b'(') && listed(FUNCTIONS, &words[i]);
    let writes = (0..end).any(|i| listed(WRITES, &words[i]) && !function(i));
    let calls_unknown = (1..end).any(|i| {
        let name = matches!(all[i], Token::Name { .. }) && mark(i + 1, b'(');
        // A name behind WITH or a comma, with its columns, is a table of the statement's own.
        let own = words
            .get(1..i)
            .is_some_and(|w| w.iter().all(|x| x != "select"))
            && first == "with";
        name && !own
            && (words[i].is_empty() || !listed(FUNCTIONS, &words[i]) && !listed(NO_CALL, &words[i]))
    });
    let heeded = all.contains(&Token::Heeded) || all[..end].windows(2).any(|w| w == ASSIGN);
    if reads && !writes && !calls_unknown && !heeded {
        Kind::Read
    } else {
        Kind::Write
    }
}

/// The statement asks for LAST_INSERT_ID().
pub fn asks_insert_id(statement: &[u8]) -> bool {
    const NAME: &[u8] = b"last_insert_id";
    // Nearly none does: only those that hold the word are read.
    if !statement
        .windows(NAME.len())
        .any(|w| w.eq_ignore_ascii_case(NAME))
    {
        return false;
    }
    let mut all = tokens(statement).peekable();
    while let Some(token) = all.next() {
        let named = matches!(token, Token::Name { text, .. } if text.eq_ignore_ascii_case("last_insert_id"));
        if named && all.peek() == Some(&Token::Mark(b'(')) {
            return true;
        }
    }
    false
}

/// It is a ROLLBACK, not a COMMIT.
pub fn rolls_back(statement: &[u8]) -> bool {
    matches!(tokens(statement).next(), Some(Token::Name { text, .. }) if text.eq_ignore_ascii_case("rollback"))
}

/// It ends an open transaction with a commit, by the way: what defines tables, users or locks does.
pub fn commits_by_the_way(statement: &[u8]) -> bool {
    let first = tokens(statement).find_map(|t| match t {
        Token::Name {
            text,
            quoted: false,
        } => Some(text.to_ascii_lowercase()),
        _ => None,
    });
    let reads_or_changes_rows =
        " select insert update delete replace with values table show describe desc explain do ";
    !first.is_some_and(|w| listed(reads_or_changes_rows, &w))
}

const ASSIGN: [Token; 2] = [Token::Mark(b':'), Token::Mark(b'=')];

/// The `name=value` words of a leading comment: `/* class=report limit=1500 */ select ...`.
pub fn hints(statement: &[u8]) -> Vec<(String, String)> {
    let text = statement.trim_ascii_start();
    let Some(rest) = text
        .strip_prefix(b"/*")
        .filter(|r| !matches!(r.first(), Some(b'!' | b'+')))
    else {
        return vec![];
    };
    let end = rest.windows(2).position(|w| w == b"*/").unwrap_or(0);
    let words = String::from_utf8_lossy(&rest[..end]).into_owned();
    words
        .split_ascii_whitespace()
        .filter_map(|w| w.split_once(['=', ':']))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim_matches(',').to_string()))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_plainly_reads_is_a_read() {
        let cases = [
            (
                "select a, count(*) from x where b in (1, 2) group by a;",
                "read",
            ),
            ("(select 1) union (select 2)", "read"),
            ("with w(a) as (select 1) select max(a) from w", "read"),
            ("select replace(a, 'x', 'y'), `update` from t", "read"),
            ("select 'delete', \"into\" from t -- drop", "read"),
            ("select @@version_comment limit 1", "read"),
            ("show tables", "read"),
            ("insert into t values (1)", "write"),
            ("with w as (select 1) delete from t", "write"),
            ("select * into outfile '/x' from t", "write"),
            ("select /*! sql_no_cache */ 1", "write"),
            ("select my_function(1)", "write"),
            ("select db.f(1)", "write"),
            ("explain analyze delete from t", "write"),
            ("replace into t values (1)", "write"),
            ("/* class=lookup */ update t set a = 1", "write"),
            ("", "write"),
            ("begin", "pins"),
            ("START TRANSACTION READ ONLY;", "pins"),
            ("begin; commit", "no"),
            ("start replica", "no"),
            ("commit and no chain no release", "ends"),
            ("commit release", "no"),
            ("rollback", "ends"),
            ("show warnings;", "warnings"),
            ("show errors", "warnings"),
            ("show warnings limit 2", "read"),
            ("KILL QUERY 17;", "kill"),
            ("kill query 17, 18", "no"),
            ("kill 17", "no"),
            ("rollback to savepoint a", "within"),
            ("savepoint a", "within"),
            ("lock tables t write", "pins"),
            ("lock instance for backup", "no"),
            ("unlock tables", "unlock"),
            ("xa start 'x'", "no"),
            ("set autocommit=0", "set"),
            ("select @x", "read"),
            ("select @x := 1", "pins"),
            ("select a into @x from t", "pins"),
            ("select get_lock('a', 1)", "pins"),
            ("select row_count()", "no"),
            ("select 1; delete from t", "no"),
            ("select * from t for update", "write"),
            ("create temporary table x (a int)", "pins"),
            ("select last_insert_id()", "read"),
            ("load data local infile 'x' into table t", "no"),
            ("SET NAMES 'utf8mb4'", "set"),
            ("use `a b`", "use"),
        ];
        for (text, wanted) in cases {
            let found = match kind(text.as_bytes()) {
                Kind::Read => "read",
                Kind::Write => "write",
                Kind::Use(_) => "use",
                Kind::Set => "set",
                Kind::Ends => "ends",
                Kind::Within => "within",
                Kind::UnlockTables => "unlock",
                Kind::Warnings => "warnings",
                Kind::Kill(n) => {
                    assert_eq!(n, 17, "{text}");
                    "kill"
                }
                Kind::Pins(_) => "pins",
                Kind::NotCarried(_) => "no",
            };
            assert_eq!(found, wanted, "{text}");
        }
        assert!(asks_insert_id(b"insert into t values (LAST_INSERT_ID())"));
        assert!(!asks_insert_id(
            b"select 'last_insert_id()', last_insert_id from t"
        ));
        assert!(
            commits_by_the_way(b"/* x */ alter table t add a int")
                && commits_by_the_way(b"lock tables t read")
        );
        assert!(
            !commits_by_the_way(b"(select 1)") && !commits_by_the_way(b"insert into t values (1)")
        );
        let hint = hints(b" /* class=report, limit:1500 */ select 1");
        assert_eq!(
            hint,
            [
                ("class".into(), "report".into()),
                ("limit".into(), "1500".into())
            ]
        );
        assert!(hints(b"select 1 /* class=report */").is_empty());
    }

    #[test]
    fn the_group_is_read_off_awkward_statements() {
        let cases: [(&str, Option<u64>); 17] = [
            ("select * from sales_17.orders", Some(17)),
            ("SELECT a.x FROM `kit_sales_3`.`o r` AS a", Some(3)),
            ("select 'from a_1.b' from c_2.d", Some(2)),
            (
                "select 'it''s a_1.b', 'x\\' from a_9.t' from c_2.d",
                Some(2),
            ),
            ("select 1 -- from a_1.b\nfrom c_2.d", Some(2)),
            ("select /* a_1.b */ 1 from c_2.d", Some(2)),
            ("# a_1.b\nselect 1 from c_2.d", Some(2)),
            ("insert into staging.x select * from c_2.d", Some(2)),
            (
                "insert into c_5.t select * from Staging.x join a_2.y on 1",
                Some(5),
            ),
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
