//! The part of `sql_mode` that decides how an engine reads the quoted text of a statement. The same bytes are one
//! statement in one mode and another statement in the next, so that whoever looks at a statement has to know its mode.

use super::packet::SERVER_STATUS_NO_BACKSLASH_ESCAPES;

/// The name of the system variable.
pub const SQL_MODE_VARIABLE: &str = "sql_mode";

const NO_BACKSLASH_ESCAPES: &str = "no_backslash_escapes";
/// The names of modes in which double quotes enclose names; some servers know only the first two.
const QUOTING_NAMES: [&str; 7] = [
    "ansi_quotes",
    "ansi",
    "db2",
    "maxdb",
    "mssql",
    "oracle",
    "postgresql",
];
/// The bit of NO_BACKSLASH_ESCAPES in a numeric value.
const NO_BACKSLASH_ESCAPES_BIT: u64 = 1 << 20;
/// The bits of the modes in [`QUOTING_NAMES`] in a numeric value.
const QUOTING_NAMES_BITS: u64 = 1 << 2 | 0x1f << 8 | 1 << 18;

/// How an engine reads quoted text. The default is that of a server as it is installed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LexicalMode {
    /// NO_BACKSLASH_ESCAPES: a backslash in a string stands for itself.
    pub no_backslash_escapes: bool,
    /// ANSI_QUOTES: double quotes enclose a name.
    pub ansi_quotes: bool,
}

impl LexicalMode {
    /// Returns the mode that a value of `sql_mode` selects, given as text or as a number.
    pub fn of_sql_mode(value: &str) -> Self {
        // A server rounds a number that is not whole.
        match value.trim().parse::<f64>() {
            Ok(number) => Self::of_bits(number.round() as u64),
            Err(_) => Self::of_names(value),
        }
    }

    fn of_bits(bits: u64) -> Self {
        LexicalMode {
            no_backslash_escapes: bits & NO_BACKSLASH_ESCAPES_BIT != 0,
            ansi_quotes: bits & QUOTING_NAMES_BITS != 0,
        }
    }

    fn of_names(value: &str) -> Self {
        let mut mode = LexicalMode::default();
        for name in value.split(',') {
            let name = name.trim().to_ascii_lowercase();
            mode.no_backslash_escapes |= name == NO_BACKSLASH_ESCAPES;
            mode.ansi_quotes |= QUOTING_NAMES.contains(&name.as_str());
        }
        mode
    }

    /// Returns whether a backslash escapes the character after it within these quotes.
    pub fn has_escapes(self, quote: u8) -> bool {
        match quote {
            b'`' => false,
            b'"' if self.ansi_quotes => false,
            _ => !self.no_backslash_escapes,
        }
    }

    /// Returns the mode in which text without some characters is read in the same way.
    fn reduced_to(self, has_backslash: bool, has_double_quote: bool) -> Self {
        LexicalMode {
            no_backslash_escapes: self.no_backslash_escapes && has_backslash,
            ansi_quotes: self.ansi_quotes && has_double_quote,
        }
    }
}

/// The modes in which an engine may read a session's statements: one if the session has set its mode, several if it goes
/// by the defaults of engines, of which not all is known. There is always one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LexicalModes {
    /// The bits of the modes, by their index in [`MODES`].
    bits: u8,
}

/// All modes, the likeliest first.
const MODES: [LexicalMode; 4] = [
    LexicalMode {
        no_backslash_escapes: false,
        ansi_quotes: false,
    },
    LexicalMode {
        no_backslash_escapes: true,
        ansi_quotes: false,
    },
    LexicalMode {
        no_backslash_escapes: false,
        ansi_quotes: true,
    },
    LexicalMode {
        no_backslash_escapes: true,
        ansi_quotes: true,
    },
];

impl From<LexicalMode> for LexicalModes {
    fn from(mode: LexicalMode) -> Self {
        Self::of_all(|other| other == mode)
    }
}

impl Default for LexicalModes {
    fn default() -> Self {
        LexicalMode::default().into()
    }
}

impl LexicalModes {
    /// Returns every mode.
    pub fn all() -> Self {
        Self::of_all(|_| true)
    }

    /// Returns those of all modes for which `includes` returns true.
    fn of_all(includes: impl Fn(LexicalMode) -> bool) -> Self {
        let bits = (0..MODES.len())
            .filter(|&index| includes(MODES[index]))
            .fold(0, |bits, index| bits | 1 << index);
        LexicalModes { bits }
    }

    /// Returns the modes, the likeliest first.
    pub fn iter(self) -> impl Iterator<Item = LexicalMode> {
        (0..MODES.len())
            .filter(move |index| self.bits & 1 << index != 0)
            .map(|index| MODES[index])
    }

    /// Returns whether a backslash in a string stands for itself in each of the modes.
    pub fn no_backslash_escapes(self) -> bool {
        self.iter().all(|mode| mode.no_backslash_escapes)
    }

    /// Returns the modes that stand for the different ways to read this statement.
    #[must_use]
    pub fn readings(self, statement: &[u8]) -> Self {
        let has_backslash = statement.contains(&b'\\');
        let has_double_quote = statement.contains(&b'"');
        Self::of_all(|reading| {
            self.iter()
                .any(|mode| mode.reduced_to(has_backslash, has_double_quote) == reading)
        })
    }
}

/// What the logins to engines have told of the mode of sessions that have not set one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedDefaults {
    /// A login has told that a backslash escapes.
    with_escapes: bool,
    /// A login has told that a backslash stands for itself.
    without_escapes: bool,
}

impl ObservedDefaults {
    /// Records the status flags with which an engine has answered a login.
    pub fn record(&mut self, status: u16) {
        match status & SERVER_STATUS_NO_BACKSLASH_ESCAPES {
            0 => self.with_escapes = true,
            _ => self.without_escapes = true,
        }
    }

    /// Returns the modes in which engines may read the statements of a session without a mode of its own. No status
    /// flag tells the meaning of double quotes.
    pub fn modes(self) -> LexicalModes {
        match (self.with_escapes, self.without_escapes) {
            (true, false) => LexicalModes::of_all(|mode| !mode.no_backslash_escapes),
            (false, true) => LexicalModes::of_all(|mode| mode.no_backslash_escapes),
            _ => LexicalModes::all(),
        }
    }
}
