//! JSON values: parser and writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

static NULL: Json = Json::Null;

impl Json {
    /// Member of a map; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(members) => members.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            position: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.position == parser.bytes.len()).then_some(value)
    }
}

/// Builds a map from pairs.
pub fn map(members: &[(&str, Json)]) -> Json {
    Json::Map(
        members
            .iter()
            .map(|(name, value)| ((*name).to_owned(), value.clone()))
            .collect(),
    )
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.position += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.position).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.peek()? == byte).then(|| self.position += 1)
    }

    fn literal(&mut self, name: &str, value: Json) -> Option<Json> {
        let is_found = self.bytes[self.position..].starts_with(name.as_bytes());
        self.position += name.len();
        is_found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.peek()? {
            b'n' => self.literal("null", Json::Null),
            b't' => self.literal("true", Json::Bool(true)),
            b'f' => self.literal("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(),
            b'{' => self.members(),
            _ => {
                let start = self.position;
                while self
                    .peek()
                    .is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(&byte))
                {
                    self.position += 1;
                }
                let digits = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
                digits.parse().ok().map(Json::Number)
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.expect(b'[')?;
        let mut items = Vec::new();
        self.skip_space();
        if self.peek()? == b']' {
            self.position += 1;
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            self.skip_space();
            self.position += 1;
            match self.bytes[self.position - 1] {
                b',' => {}
                b']' => return Some(Json::List(items)),
                _ => return None,
            }
        }
    }

    fn members(&mut self) -> Option<Json> {
        self.expect(b'{')?;
        let mut members = BTreeMap::new();
        self.skip_space();
        if self.peek()? == b'}' {
            self.position += 1;
            return Some(Json::Map(members));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.expect(b':')?;
            let value = self.value()?;
            members.insert(name, value);
            self.skip_space();
            self.position += 1;
            match self.bytes[self.position - 1] {
                b',' => {}
                b'}' => return Some(Json::Map(members)),
                _ => return None,
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = self.peek()?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = self.peek()?;
                    self.position += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let character = char::from_u32(code)?;
                            bytes.extend(character.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(value) => write_text(f, value),
            Json::List(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                write!(f, "]")
            }
            Json::Map(members) => {
                write!(f, "{{")?;
                for (index, (name, value)) in members.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}")?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(f, "\"")?;
    for character in text.chars() {
        match character {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            '\n' => write!(f, "\\n")?,
            other if (other as u32) < 32 => write!(f, "\\u{:04x}", other as u32)?,
            other => write!(f, "{other}")?,
        }
    }
    write!(f, "\"")
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut encoded = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            if index > chunk.len() {
                encoded.push('=');
            } else {
                encoded.push(ALPHABET[(group >> (18 - 6 * index) & 63) as usize] as char);
            }
        }
    }
    encoded
}

pub fn decode_base64(encoded: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut group = 0_u32;
    let mut bits = 0;
    for byte in encoded.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else {
            continue;
        };
        group = group << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    bytes
}
