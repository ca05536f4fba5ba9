//! Text in quotes, as an engine reads it: strings and names, with doubled quotes and escapes.

use super::sql_mode::LexicalMode;

const BACKSPACE: u8 = 0x08;
/// Control-Z, which ends a file on some systems.
const END_OF_FILE: u8 = 0x1a;

/// Text that stood in quotes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotedText {
    /// The text without the quotes.
    pub content: Vec<u8>,
    /// The number of bytes from the opening quote to the closing one, both included, or to the end if there is no
    /// closing quote.
    pub length: usize,
}

impl QuotedText {
    /// Reads the text whose opening quote is the first byte of `sql`. A doubled or escaped quote is part of the content.
    pub fn read(sql: &[u8], mode: LexicalMode) -> Self {
        let quote = sql.first().copied().unwrap_or(b'\'');
        let has_escapes = mode.has_escapes(quote);
        let mut content = vec![];
        let mut position = 1;
        while let Some(&byte) = sql.get(position) {
            position += 1;
            let next = sql.get(position).copied();
            if byte == b'\\' && has_escapes {
                push_unescaped(&mut content, next);
                position += 1;
            } else if byte != quote {
                content.push(byte);
            } else if next == Some(quote) {
                content.push(quote);
                position += 1;
            } else {
                break;
            }
        }
        QuotedText {
            content,
            length: position.min(sql.len()),
        }
    }

    /// Returns the content as text; what is not UTF-8 is replaced.
    pub fn into_text(self) -> String {
        match String::from_utf8(self.content) {
            Ok(text) => text,
            Err(error) => String::from_utf8_lossy(error.as_bytes()).into_owned(),
        }
    }
}

/// Adds what this byte stands for behind a backslash.
fn push_unescaped(content: &mut Vec<u8>, byte: Option<u8>) {
    match byte {
        Some(b'0') => content.push(0),
        Some(b'b') => content.push(BACKSPACE),
        Some(b'n') => content.push(b'\n'),
        Some(b'r') => content.push(b'\r'),
        Some(b't') => content.push(b'\t'),
        Some(b'Z') => content.push(END_OF_FILE),
        // Kept for the patterns of LIKE.
        Some(wildcard @ (b'%' | b'_')) => content.extend([b'\\', wildcard]),
        Some(other) => content.push(other),
        None => {}
    }
}
