//! Hints of clients in the leading comment of a statement.

/// The `name=value` pairs of a leading comment: `/* class=report limit=1500 */ select ...`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hints(pub(super) Vec<(String, String)>);

impl Hints {
    /// Parses the hints of a statement. Comments that MySQL executes (`/*!`) or interprets (`/*+`)
    /// are not hints.
    pub fn parse(statement: &[u8]) -> Self {
        let text = statement.trim_ascii_start();
        let Some(comment) = text
            .strip_prefix(b"/*")
            .filter(|rest| !matches!(rest.first(), Some(b'!' | b'+')))
        else {
            return Self::default();
        };
        let end = comment
            .windows(2)
            .position(|pair| pair == b"*/")
            .unwrap_or(0);
        let pairs = String::from_utf8_lossy(&comment[..end])
            .split_ascii_whitespace()
            .filter_map(|word| word.split_once(['=', ':']))
            .map(|(name, value)| {
                let value = value.trim_matches(',').to_string();
                (name.to_ascii_lowercase(), value)
            })
            .collect();
        Hints(pairs)
    }

    /// Returns the value of the first hint with this name, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(hint, _)| hint == name)
            .map(|(_, value)| value.as_str())
    }
}
