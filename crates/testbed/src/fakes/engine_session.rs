//! The stand-in engine's side of a session, from the public description of MySQL: variables, transactions and what a
//! connection leaves behind. Written apart from the dispatcher's own reading of them, which it is to check.

use std::collections::BTreeMap;

pub const IN_TRANSACTION: u16 = 1;
pub const AUTOCOMMIT: u16 = 2;

/// Variables of a session and what they are at its start.
const VARIABLES: [(&str, &str); 24] = [
    ("autocommit", "1"),
    ("auto_increment_increment", "1"),
    ("character_set_client", "utf8mb4"),
    ("character_set_connection", "utf8mb4"),
    ("character_set_results", "utf8mb4"),
    ("character_set_server", "utf8mb4"),
    ("collation_connection", "utf8mb4_0900_ai_ci"),
    ("collation_server", "utf8mb4_0900_ai_ci"),
    ("init_connect", ""),
    ("interactive_timeout", "28800"),
    ("license", "GPL"),
    ("lower_case_table_names", "0"),
    ("max_allowed_packet", "67108864"),
    ("net_write_timeout", "60"),
    ("performance_schema", "1"),
    ("socket", ""),
    ("sql_auto_is_null", "0"),
    ("sql_mode", "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES"),
    ("system_time_zone", "UTC"),
    ("time_zone", "SYSTEM"),
    ("transaction_isolation", "REPEATABLE-READ"),
    ("transaction_read_only", "0"),
    ("version_comment", "a stand-in engine"),
    ("wait_timeout", "28800"),
];

/// What a statement comes to that an engine answers without touching a table.
#[derive(Debug, PartialEq)]
pub enum SessionResponse {
    Ok,
    /// Names of columns and one row; none is NULL.
    Row(Vec<String>, Vec<Option<String>>),
    Rows(Vec<String>, Vec<Vec<Option<String>>>),
    Error(u16, &'static str, String),
}

pub struct Session {
    number: u32,
    name: String,
    variables: BTreeMap<String, String>,
    users: BTreeMap<String, Option<String>>,
    open: bool,
    /// What the last statement warned of; any that holds the word `warns` does.
    warned: Option<String>,
    /// Changes of rows that are not committed.
    pending: Vec<String>,
    /// Changes that have become lasting, to be taken out by the engine.
    pub lasting: Vec<String>,
}

impl Session {
    pub fn new(number: u32, name: &str) -> Self {
        let variables = VARIABLES
            .iter()
            .map(|(n, v)| ((*n).to_string(), (*v).to_string()))
            .collect();
        let (users, pending, lasting) = (BTreeMap::new(), vec![], vec![]);
        Session {
            number,
            name: name.into(),
            variables,
            users,
            open: false,
            warned: None,
            pending,
            lasting,
        }
    }

    /// How many warnings the last statement brought.
    pub fn warnings(&self) -> u16 {
        u16::from(self.warned.is_some())
    }

    pub fn number(&self) -> u32 {
        self.number
    }

    pub fn status(&self) -> u16 {
        let on = self.variables["autocommit"] == "1";
        u16::from(self.open) * IN_TRANSACTION + u16::from(on) * AUTOCOMMIT
    }

    fn commit(&mut self) {
        self.open = false;
        self.lasting.append(&mut self.pending);
    }

    /// What it answers by itself; none for what reads or changes tables, of which it takes note.
    pub fn says(&mut self, sql: &str) -> Option<SessionResponse> {
        let text = plain(sql);
        let lower = text.to_ascii_lowercase();
        let words: Vec<&str> = lower.split_ascii_whitespace().collect();
        match words[..] {
            ["set", "transaction", ..] => return Some(SessionResponse::Ok),
            ["set", "names", ref rest @ ..] => {
                let set = rest.first().map_or("", |w| w.trim_matches(['\'', '"']));
                for v in [
                    "character_set_client",
                    "character_set_connection",
                    "character_set_results",
                ] {
                    self.variables.insert(v.into(), set.into());
                }
                return Some(SessionResponse::Ok);
            }
            ["set", ..] => return Some(self.set(&text[3..])),
            ["kill", ..] => return Some(SessionResponse::Ok),
            ["begin"] | ["start", "transaction", ..] => {
                self.commit();
                self.open = true;
                return Some(SessionResponse::Ok);
            }
            ["commit", ref rest @ ..] => {
                self.commit();
                self.open = rest.contains(&"chain") && !rest.contains(&"no");
                return Some(SessionResponse::Ok);
            }
            ["rollback"] => {
                self.pending.clear();
                self.open = false;
                return Some(SessionResponse::Ok);
            }
            ["rollback" | "savepoint" | "release" | "lock" | "unlock", ..] => {
                return Some(SessionResponse::Ok);
            }
            ["show", "warnings", ..] => {
                let columns = ["Level", "Code", "Message"].map(String::from).to_vec();
                let row =
                    |w: &String| vec![Some("Warning".into()), Some("1265".into()), Some(w.clone())];
                return Some(SessionResponse::Rows(
                    columns,
                    self.warned.iter().map(row).collect(),
                ));
            }
            ["show", "variables" | "session", ..] => {
                let like = text
                    .split(['\'', '"'])
                    .nth(1)
                    .unwrap_or("%")
                    .to_ascii_lowercase();
                let fits = |n: &str| match like.strip_suffix('%') {
                    Some(head) => n.starts_with(head),
                    None => n == like,
                };
                let rows = self.variables.iter().filter(|(n, _)| fits(n));
                let rows = rows
                    .map(|(n, v)| vec![Some(n.clone()), Some(v.clone())])
                    .collect();
                return Some(SessionResponse::Rows(
                    vec!["Variable_name".into(), "Value".into()],
                    rows,
                ));
            }
            ["select", ..] => {
                if let Some(said) = self.select(&text[6..]) {
                    return Some(said);
                }
            }
            _ => {}
        }
        self.warned = words
            .contains(&"warns")
            .then(|| "Data truncated".to_string());
        let changes = matches!(
            words.first(),
            Some(&("insert" | "update" | "delete" | "replace" | "load"))
        );
        let reads = matches!(
            words.first(),
            Some(&("select" | "with" | "show" | "values" | "table"))
        );
        if !changes && !reads {
            // What defines commits what is open.
            self.commit();
        } else if self.variables["autocommit"] != "1" && words.contains(&"from") | changes {
            self.open = true;
        }
        if changes {
            match self.open {
                true => self.pending.push(sql.to_string()),
                false => self.lasting.push(sql.to_string()),
            }
        }
        None
    }

    fn set(&mut self, list: &str) -> SessionResponse {
        let mut new = (self.variables.clone(), self.users.clone());
        for one in split(list) {
            let Some((name, value)) = one.split_once('=') else {
                return SessionResponse::Error(1064, "42000", format!("near {one}"));
            };
            let name = name
                .trim()
                .trim_end_matches(':')
                .trim()
                .to_ascii_lowercase();
            let value = value.trim();
            if let Some(user) = name.strip_prefix('@').filter(|n| !n.starts_with('@')) {
                let Some(v) = self.value(value) else {
                    return SessionResponse::Error(1064, "42000", value.into());
                };
                new.1.insert(user.trim_matches('`').into(), v);
                continue;
            }
            let name = ["session ", "local ", "@@session.", "@@local.", "@@"]
                .iter()
                .find_map(|p| name.strip_prefix(p))
                .unwrap_or(&name)
                .to_string();
            let Some((_, default)) = VARIABLES.iter().find(|v| v.0 == name) else {
                return SessionResponse::Error(
                    1193,
                    "HY000",
                    format!("Unknown system variable '{name}'"),
                );
            };
            let value = match value.to_ascii_lowercase().as_str() {
                "default" => Some((*default).to_string()),
                "on" | "true" => Some("1".into()),
                "off" | "false" => Some("0".into()),
                _ => self.value(value).flatten(),
            };
            let value = value.unwrap_or_default();
            if name == "sql_mode" && value.split(',').any(|m| m == "NONSENSE") {
                return SessionResponse::Error(
                    1231,
                    "42000",
                    format!("Variable 'sql_mode' can't be set to '{value}'"),
                );
            }
            new.0.insert(name, value);
        }
        (self.variables, self.users) = new;
        if self.variables["autocommit"] == "1" {
            self.commit();
        }
        SessionResponse::Ok
    }

    /// A value that needs no table; none if that cannot be told, `Some(None)` for NULL.
    fn value(&self, text: &str) -> Option<Option<String>> {
        let text = text.trim();
        let lower = text.to_ascii_lowercase();
        if let Some(inner) = text.strip_prefix('(').and_then(|t| t.strip_suffix(')')) {
            let inner = inner.trim();
            let select = inner
                .get(..6)
                .filter(|w| w.eq_ignore_ascii_case("select"))
                .map(|_| &inner[6..]);
            return self.value(select.unwrap_or(inner));
        }
        if let Some(args) = lower
            .starts_with("concat(")
            .then(|| &text[7..text.len() - 1])
        {
            let all: Option<Vec<Option<String>>> =
                split(args).iter().map(|a| self.value(a)).collect();
            return Some(
                all?.into_iter()
                    .collect::<Option<Vec<String>>>()
                    .map(|v| v.concat()),
            );
        }
        if let Some(name) = lower.strip_prefix("@@") {
            let name = ["session.", "local.", "global."]
                .iter()
                .find_map(|p| name.strip_prefix(p))
                .unwrap_or(name);
            return self.variables.get(name).map(|v| Some(v.clone()));
        }
        if let Some(name) = lower.strip_prefix('@') {
            return Some(self.users.get(name.trim_matches('`')).cloned().flatten());
        }
        let quoted = |q: char| text.len() > 1 && text.starts_with(q) && text.ends_with(q);
        if quoted('\'') || quoted('"') {
            return Some(Some(
                text[1..text.len() - 1]
                    .replace("''", "'")
                    .replace("\\\\", "\\"),
            ));
        }
        match lower.as_str() {
            "null" => Some(None),
            "connection_id()" => Some(Some(self.number.to_string())),
            "engine()" => Some(Some(self.name.clone())),
            "version()" => Some(Some("8.0.0-lab".into())),
            "last_insert_id()" => Some(Some("0".into())),
            _ if text.parse::<f64>().is_ok() => Some(Some(text.into())),
            _ => None,
        }
    }

    /// How many columns a SELECT brings that it answers by itself.
    pub fn columns(&self, sql: &str) -> Option<usize> {
        let text = plain(sql);
        let list = text
            .get(..6)
            .filter(|w| w.eq_ignore_ascii_case("select"))
            .map(|_| &text[6..])?;
        match self.select(list)? {
            SessionResponse::Row(names, _) => Some(names.len()),
            _ => None,
        }
    }

    fn select(&self, list: &str) -> Option<SessionResponse> {
        let list = list.trim();
        let list = list
            .strip_suffix("LIMIT 1")
            .or_else(|| list.strip_suffix("limit 1"))
            .unwrap_or(list);
        let (mut names, mut row) = (vec![], vec![]);
        for one in split(list) {
            let one = one.trim();
            let at = one.to_ascii_lowercase().rfind(" as ");
            let (value, name) = at.map_or((one, one), |at| (&one[..at], one[at + 4..].trim()));
            row.push(self.value(value)?);
            names.push(name.trim_matches('`').to_string());
        }
        Some(SessionResponse::Row(names, row))
    }
}

/// Without comments and the semicolon.
fn plain(sql: &str) -> String {
    let mut text = sql.trim();
    while let Some(rest) = text.strip_prefix("/*") {
        text = rest.split_once("*/").map_or("", |r| r.1).trim_start();
    }
    text.trim_end_matches(';').trim().to_string()
}

/// At the commas outside strings and brackets.
fn split(list: &str) -> Vec<String> {
    let (mut all, mut one) = (vec![], String::new());
    let (mut depth, mut quote) = (0, None);
    for c in list.chars() {
        match (quote, c) {
            (Some(q), c) if c == q => quote = None,
            (Some(_), _) => {}
            (None, '\'' | '"' | '`') => quote = Some(c),
            (None, '(') => depth += 1,
            (None, ')') => depth -= 1,
            (None, ',') if depth == 0 => {
                all.push(std::mem::take(&mut one));
                continue;
            }
            _ => {}
        }
        one.push(c);
    }
    all.push(one);
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn variables_are_set_read_and_reset() {
        let mut s = Session::new(7, "e");
        assert_eq!(
            s.says("SET SESSION time_zone = '+02:00', @x = 'it''s'"),
            Some(SessionResponse::Ok)
        );
        let row = SessionResponse::Row(
            vec!["@@time_zone".into(), "x".into(), "n".into()],
            vec![Some("+02:00".into()), Some("it's".into()), Some("7".into())],
        );
        assert_eq!(
            s.says("select @@time_zone, @x as x, connection_id() as n"),
            Some(row)
        );
        assert!(matches!(
            s.says("SET SESSION nonsense = 1, time_zone = 'x'"),
            Some(SessionResponse::Error(1193, ..))
        ));
        assert_eq!(s.variables["time_zone"], "+02:00", "all or nothing");
        s.says("SET SESSION time_zone = DEFAULT, sql_mode = (SELECT CONCAT(@@sql_mode, ',ANSI'))");
        assert_eq!(s.variables["time_zone"], "SYSTEM");
        assert_eq!(
            s.variables["sql_mode"],
            "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,ANSI"
        );
    }

    #[test]
    fn changes_last_once_they_are_committed() {
        let mut s = Session::new(7, "e");
        s.says("insert into t values (1)");
        assert_eq!((s.lasting.len(), s.status()), (1, AUTOCOMMIT));
        s.says("begin");
        s.says("insert into t values (2)");
        assert_eq!(
            (s.lasting.len(), s.status()),
            (1, AUTOCOMMIT | IN_TRANSACTION)
        );
        s.says("rollback");
        s.says("SET SESSION autocommit = 0");
        s.says("select 1");
        assert_eq!(s.status(), 0, "no table is read");
        s.says("select a from t");
        s.says("insert into t values (3)");
        assert_eq!((s.lasting.len(), s.status()), (1, IN_TRANSACTION));
        s.says("create table u (a int)");
        assert_eq!(
            s.lasting,
            ["insert into t values (1)", "insert into t values (3)"]
        );
    }
}
