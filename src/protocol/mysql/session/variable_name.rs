//! Names of session variables, and their form in SQL. A name comes from a client and is written into statements that
//! the dispatcher composes itself, so that only checked or quoted names exist.

use std::fmt;

/// What a variable belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum VariableKind {
    /// To the session: `@name`.
    User,
    /// To the server: `name` or `@@name`.
    System,
}

/// The name of a variable, in lower case. Its [`Display`](fmt::Display) form is the name in SQL, without a scope; it
/// is a single name, whatever a client has written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VariableName {
    kind: VariableKind,
    /// The name without `@` and quotes.
    text: String,
}

/// A name that no system variable can have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("Unknown system variable '{0}'")]
pub struct UnknownSystemVariable(pub String);

impl VariableName {
    /// Returns the name of a user variable; `text` is without `@` and quotes, and may contain anything.
    pub fn user(text: &str) -> Self {
        VariableName {
            kind: VariableKind::User,
            text: text.to_lowercase(),
        }
    }

    /// Returns the name of a system variable; `text` is without `@@` and quotes.
    ///
    /// # Errors
    /// `text` contains a character that is in no name of a system variable.
    pub fn system(text: &str) -> Result<Self, UnknownSystemVariable> {
        if text.is_empty() || !text.bytes().all(is_plain) {
            return Err(UnknownSystemVariable(text.into()));
        }
        Ok(VariableName {
            kind: VariableKind::System,
            text: text.to_ascii_lowercase(),
        })
    }

    /// Returns the name of a system variable that the code names itself, in lower case.
    pub(super) fn builtin(text: &'static str) -> Self {
        debug_assert!(text.bytes().all(is_plain));
        VariableName {
            kind: VariableKind::System,
            text: text.into(),
        }
    }

    /// Returns whether this is a user variable.
    pub fn is_user(&self) -> bool {
        self.kind == VariableKind::User
    }

    /// Returns the name of a system variable without `@@`, or `None` for a user variable.
    pub fn system_name(&self) -> Option<&str> {
        (!self.is_user()).then_some(&self.text)
    }

    /// Returns whether this is the system variable with this name, which must be in lower case.
    pub fn is_system(&self, name: &str) -> bool {
        self.system_name() == Some(name)
    }

    /// Returns the size of the name, in bytes.
    pub fn size(&self) -> usize {
        self.text.len()
    }
}

/// Returns whether a byte may be in a name without quotes.
fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'$'
}

impl fmt::Display for VariableName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain_name = !self.text.is_empty() && self.text.bytes().all(is_plain);
        match (self.kind, is_plain_name) {
            (VariableKind::System, _) => f.write_str(&self.text),
            (VariableKind::User, true) => write!(f, "@{}", self.text),
            (VariableKind::User, false) => write!(f, "@`{}`", self.text.replace('`', "``")),
        }
    }
}
