//! A small JSON reader, enough for the messages of the stand-ins.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a member of an object, or null.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(members) => members.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Value::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }
}

/// Parses a JSON text, or returns null if it is not valid.
pub fn parse(data: &[u8]) -> Value {
    let Ok(text) = std::str::from_utf8(data) else { return Value::Null };
    let mut reader = Reader { chars: text.chars().collect(), at: 0 };
    reader.value().unwrap_or(Value::Null)
}

/// Returns a text as a JSON string with its quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, expected: char) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        for c in word.chars() {
            (self.chars.get(self.at) == Some(&c)).then(|| self.at += 1)?;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.list(),
            '"' => self.string().map(Value::Text),
            't' => self.word("true", Value::Bool(true)),
            'f' => self.word("false", Value::Bool(false)),
            'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take('{')?;
        let mut members = BTreeMap::new();
        if self.peek()? == '}' {
            self.at += 1;
            return Some(Value::Object(members));
        }
        loop {
            self.peek()?;
            let name = self.string()?;
            self.take(':')?;
            members.insert(name, self.value()?);
            match self.peek()? {
                ',' => self.at += 1,
                '}' => {
                    self.at += 1;
                    return Some(Value::Object(members));
                }
                _ => return None,
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take('[')?;
        let mut values = Vec::new();
        if self.peek()? == ']' {
            self.at += 1;
            return Some(Value::List(values));
        }
        loop {
            values.push(self.value()?);
            match self.peek()? {
                ',' => self.at += 1,
                ']' => {
                    self.at += 1;
                    return Some(Value::List(values));
                }
                _ => return None,
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut out = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(out),
                '\\' => {
                    let c = *self.chars.get(self.at)?;
                    self.at += 1;
                    match c {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let hex: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            let code = u32::from_str_radix(&hex, 16).ok()?;
                            out.push(char::from_u32(code).unwrap_or('\u{fffd}'));
                        }
                        c => out.push(c),
                    }
                }
                c => out.push(c),
            }
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.chars.get(self.at).is_some_and(|c| "+-.eE0123456789".contains(*c)) {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Value::Number)
    }
}
