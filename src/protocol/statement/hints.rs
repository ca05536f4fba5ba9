//! Hints of a client in a statement's leading comment.

/// The `name=value` words of a leading comment: `/* class=report limit=1500 */ select ...`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hints(pub(super) Vec<(String, String)>);

impl Hints {
    /// The hints of a statement; comments that MySQL executes (`/*!`) or reads itself (`/*+`) hold none.
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

    /// The value of the first hint with this name (lower case).
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(hint, _)| hint == name)
            .map(|(_, value)| value.as_str())
    }
}
