//! What a client's session is, as data: where it stands, what it has set. All of it can be set anew on any engine
//! connection, so that sessions move; what cannot is for [`crate::sticky_sessions`]. Pure.

pub mod set;

#[cfg(test)]
mod tests;

use set::{Change, SetError, Value};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Variables by name, `@name` for a user's, each with a literal that any engine takes.
pub type Settings = BTreeMap<String, String>;

/// Variables that one session may hold, and bytes of names and values of all together.
const MOST: usize = 64;
const MOST_BYTES: usize = 16 * 1024;

/// What of a session an engine connection has to stand in before it can carry a statement out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Context {
    pub schema: Option<String>,
    /// The words behind SET NAMES.
    pub names: Option<String>,
    pub settings: Rc<Settings>,
}

/// Variables that make an engine speak otherwise than is understood here, or that belong to replication.
const BARRED: [(&str, &str); 9] = [
    (
        "resultset_metadata",
        "results without their columns are not carried",
    ),
    ("sql_log_bin", "replication is the engines' operators' own"),
    ("gtid_next", "replication is the engines' operators' own"),
    (
        "pseudo_thread_id",
        "replication is the engines' operators' own",
    ),
    ("character_set_client", "only Unicode is carried"),
    ("character_set_connection", "only Unicode is carried"),
    ("character_set_results", "only Unicode is carried"),
    ("collation_connection", "only Unicode is carried"),
    ("session_track_gtids", "session tracking is the front's own"),
];
/// Of one result of the list above: these go with a Unicode value.
const CHARSETS: &str = "only Unicode is carried";

/// What a SET comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The session as it is after it; `checked` is false where an engine has to say whether that can be.
    Changed { state: State, checked: bool },
    /// These expressions are to be worked out first, and the SET taken in with their values.
    Asks(Vec<String>),
}

/// A session's state. Changes make a new one, so that what an engine refuses is never half taken in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    context: Context,
    /// SET TRANSACTION, for the next one.
    next: Option<String>,
    /// What LAST_INSERT_ID() is.
    insert_id: u64,
    manual: bool,
}

impl State {
    pub fn new(schema: Option<String>) -> Self {
        State {
            context: Context {
                schema,
                ..Context::default()
            },
            ..Self::default()
        }
    }

    /// Where statements stand from now on.
    pub fn context(&self) -> &Context {
        &self.context
    }

    /// The same with LAST_INSERT_ID, for a statement that asks for it.
    pub fn context_with_insert_id(&self) -> Context {
        let mut c = self.context.clone();
        Rc::make_mut(&mut c.settings).insert(INSERT_ID.into(), self.insert_id.to_string());
        c
    }

    /// Each statement commits by itself.
    pub fn autocommit(&self) -> bool {
        !self.manual
    }

    pub fn stand_in(&mut self, schema: String) {
        self.context.schema = Some(schema);
    }

    /// A statement was answered with this id of a new row; 0 is none.
    pub fn inserted(&mut self, id: u64) {
        if id != 0 {
            self.insert_id = id;
        }
    }

    /// The statement that gives the next transaction what was said of it.
    pub fn next_transaction(&self) -> Option<String> {
        self.next
            .as_ref()
            .map(|words| format!("SET TRANSACTION {words}"))
    }

    /// A transaction has begun: what was said of it is spent. One that was refused has not.
    pub fn began(&mut self) {
        self.next = None;
    }

    /// COM_RESET_CONNECTION: all but the schema as at the start.
    pub fn reset(&mut self) {
        *self = State::new(self.context.schema.take());
    }

    /// What the session is after these changes. `values` are those of the expressions, as literals, in the order
    /// in which they were asked for.
    ///
    /// # Errors
    /// Something of it is not carried, or it would grow beyond its bounds.
    pub fn set(&self, changes: &[Change], values: &[String]) -> Result<Taken, SetError> {
        let mut asks: Vec<String> = vec![];
        let (mut state, mut checked) = (self.clone(), true);
        for change in changes {
            match change {
                Change::Names(words) => checked &= state.names(words)?,
                Change::Next(words) => state.next = Some(words.clone()),
                Change::Assign { name, value } => {
                    let literal = match value {
                        Value::Literal(l) => Some(l.clone()),
                        Value::Default => None,
                        Value::Expression(e) => {
                            asks.push(e.clone());
                            match values.get(asks.len() - 1) {
                                Some(v) => Some(v.clone()),
                                None => continue,
                            }
                        }
                    };
                    checked &= state.assign(name, literal)?;
                }
            }
        }
        if asks.len() > values.len() {
            return Ok(Taken::Asks(asks));
        }
        let s = &state.context.settings;
        if s.len() > MOST || s.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>() > MOST_BYTES {
            return Err(SetError::NotCarried(
                "a session holds 64 variables and 16 KB of them at most",
            ));
        }
        Ok(Taken::Changed { state, checked })
    }

    /// True if no engine need be asked whether this can be.
    fn names(&mut self, words: &str) -> Result<bool, SetError> {
        let plain = |w: &str| w.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
        let (set, collation) = words
            .split_once(" COLLATE ")
            .map_or((words, None), |(s, c)| (s, Some(c)));
        let set = set.to_ascii_lowercase();
        if !unicode(&set) || !collation.is_none_or(|c| c.starts_with("utf8") && plain(c)) {
            return Err(SetError::NotCarried(CHARSETS));
        }
        self.context.names = Some(collation.map_or(set.clone(), |c| format!("{set} COLLATE {c}")));
        Rc::make_mut(&mut self.context.settings)
            .retain(|n, _| !n.starts_with("character_set_") && n != "collation_connection");
        Ok(collation.is_none())
    }

    fn assign(&mut self, name: &str, value: Option<String>) -> Result<bool, SetError> {
        // Old names of the same variables.
        let name = match name {
            "tx_isolation" => "transaction_isolation",
            "tx_read_only" => "transaction_read_only",
            other => other,
        };
        let bare = value
            .as_deref()
            .map(|v| v.trim_matches(['\'', '"']).to_ascii_lowercase());
        if let Some((_, reason)) = BARRED.iter().find(|b| b.0 == name) {
            let speaks = bare
                .as_deref()
                .is_none_or(|v| unicode(v) || v == "null" || v.starts_with("utf8"));
            if *reason != CHARSETS || !speaks {
                return Err(SetError::NotCarried(reason));
            }
        }
        let settings = Rc::make_mut(&mut self.context.settings);
        if name == "autocommit" {
            let on = match bare.as_deref() {
                None | Some("1" | "on" | "true") => true,
                Some("0" | "off" | "false") => false,
                Some(_) => {
                    return Err(SetError::Syntax {
                        at: 1,
                        what: "autocommit is ON or OFF".into(),
                    });
                }
            };
            self.manual = !on;
            settings.remove(name);
            if !on {
                settings.insert(name.into(), "0".into());
            }
            return Ok(true);
        }
        // NULL is what a user's variable is that nobody has set.
        let unset = value.is_none() || name.starts_with('@') && bare.as_deref() == Some("null");
        match value {
            Some(v) if !unset => drop(settings.insert(name.to_string(), v)),
            _ => drop(settings.remove(name)),
        }
        Ok(name.starts_with('@'))
    }
}

/// LAST_INSERT_ID(), as a variable that can be set.
pub const INSERT_ID: &str = "last_insert_id";

fn unicode(set: &str) -> bool {
    matches!(set, "utf8" | "utf8mb3" | "utf8mb4")
}

/// The one SET that takes a connection from these settings to those; none if nothing differs.
pub fn turn(from: &Settings, to: &Settings) -> Option<String> {
    let one = |name: &str, value: &str| match name.starts_with('@') {
        true => format!("{} = {value}", quoted(name)),
        false => format!("SESSION {name} = {value}"),
    };
    let set = to
        .iter()
        .filter(|(n, v)| from.get(*n) != Some(v))
        .map(|(n, v)| one(n, v));
    let gone = from.keys().filter(|n| !to.contains_key(*n));
    let unset = gone.map(|n| {
        one(
            n,
            if n.starts_with('@') {
                "NULL"
            } else {
                "DEFAULT"
            },
        )
    });
    let all: Vec<String> = unset.chain(set).collect();
    (!all.is_empty()).then(|| format!("SET {}", all.join(", ")))
}

/// A user's variable, quoted where its name needs that.
fn quoted(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b == b'$';
    match name[1..].bytes().all(plain) {
        true => name.to_string(),
        false => format!("@`{}`", &name[1..]),
    }
}

/// A value that an engine worked out, as a literal. `numeric` tells its type; none is NULL.
pub fn literal(value: Option<&[u8]>, numeric: bool) -> String {
    let Some(value) = value else {
        return "NULL".into();
    };
    let text = String::from_utf8_lossy(value);
    match numeric && text.parse::<f64>().is_ok() {
        true => text.into_owned(),
        false => format!("'{}'", text.replace('\\', "\\\\").replace('\'', "''")),
    }
}
