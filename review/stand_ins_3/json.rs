//! JSON values: a parser and an encoder for the messages of the platform's pages.

use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    /// The field of a table; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&NULL, |(_, value)| value),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Json::Int(value) => Some(*value),
            Json::Float(value) => Some(*value as i64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }

    /// Parses a whole text; null if it is malformed.
    pub fn parse(text: &[u8]) -> Json {
        let mut parser = Parser { text, at: 0 };
        parser.value().unwrap_or(Json::Null)
    }
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn expect(&mut self, word: &str) -> Option<()> {
        let end = self.at + word.len();
        if self.text.get(self.at..end)? != word.as_bytes() {
            return None;
        }
        self.at = end;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        let value = match self.text.get(self.at)? {
            b'n' => self.expect("null").map(|()| Json::Null),
            b't' => self.expect("true").map(|()| Json::Bool(true)),
            b'f' => self.expect("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                let mut rows = Vec::new();
                self.rows(b']', |parser| {
                    rows.push(parser.value()?);
                    Some(())
                })?;
                Some(Json::List(rows))
            }
            b'{' => {
                let mut rows = Vec::new();
                self.rows(b'}', |parser| {
                    parser.skip_space();
                    let key = parser.string()?;
                    parser.skip_space();
                    parser.expect(":")?;
                    rows.push((key, parser.value()?));
                    Some(())
                })?;
                Some(Json::Table(rows))
            }
            _ => self.number(),
        };
        self.skip_space();
        value
    }

    fn rows(&mut self, end: u8, mut row: impl FnMut(&mut Self) -> Option<()>) -> Option<()> {
        self.at += 1;
        self.skip_space();
        if *self.text.get(self.at)? == end {
            self.at += 1;
            return Some(());
        }
        loop {
            row(self)?;
            self.skip_space();
            let next = *self.text.get(self.at)?;
            self.at += 1;
            if next == end {
                return Some(());
            }
            if next != b',' {
                return None;
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.expect("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            bytes.extend(letter.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.text.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        let whole = text.parse::<i64>().ok().map(Json::Int);
        whole.or_else(|| text.parse::<f64>().ok().map(Json::Float))
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Int(value) => write!(f, "{value}"),
            Json::Float(value) => write!(f, "{value}"),
            Json::Text(text) => write_text(f, text),
            Json::List(rows) => {
                write!(f, "[")?;
                for (number, row) in rows.iter().enumerate() {
                    write!(f, "{}{row}", if number > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Table(rows) => {
                write!(f, "{{")?;
                for (number, (key, value)) in rows.iter().enumerate() {
                    write!(f, "{}", if number > 0 { "," } else { "" })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            letter if (letter as u32) < 32 => write!(f, "\\u{:04x}", letter as u32)?,
            letter => write!(f, "{letter}")?,
        }
    }
    write!(f, "\"")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for place in 0..3 {
            word = word << 8 | u32::from(*chunk.get(place).unwrap_or(&0));
        }
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place > chunk.len() { '=' } else { digit });
        }
    }
    text
}

/// Bytes of a base64 text; letters outside the alphabet are left out.
pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len() / 4 * 3);
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
