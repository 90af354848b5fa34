//! What a command prints and its exit code.

use kingcup_dispatch::code::Code;
use serde::Serialize;
use serde_json::{Map, Value};

/// Result of a command.
#[derive(Debug)]
pub(super) struct Report {
    code: Code,
    /// One line on the result, to standard error.
    message: String,
    /// What was asked for, to standard output.
    text: String,
    /// Further members of the JSON form.
    members: Map<String, Value>,
}

impl Report {
    pub(super) fn new(code: Code) -> Self {
        Self { code, message: code.to_string(), text: String::new(), members: Map::new() }
    }

    pub(super) fn code(&self) -> Code {
        self.code
    }

    /// Replaces the result code.
    pub(super) fn recode(mut self, code: Code) -> Self {
        self.code = code;
        self
    }

    pub(super) fn message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Appends a line to what is printed.
    pub(super) fn line(mut self, line: impl AsRef<str>) -> Self {
        self.text.push_str(line.as_ref());
        self.text.push('\n');
        self
    }

    /// Adds a member to the JSON form.
    pub(super) fn with(mut self, key: &str, value: impl Serialize) -> Self {
        let value = serde_json::to_value(value).unwrap_or_default();
        self.members.insert(key.to_owned(), value);
        self
    }

    /// Exit code: the group of the result code.
    pub(super) fn exit_code(&self) -> u8 {
        (self.code.number() / 100) as u8
    }

    pub(super) fn print(&self, json: bool) {
        if json {
            let mut object = Map::new();
            object.insert("code".to_owned(), self.code.number().into());
            object.insert("message".to_owned(), self.message.clone().into());
            object.extend(self.members.clone());
            println!("{}", Value::Object(object));
            return;
        }
        print!("{}", self.text);
        eprintln!("kingcupctl: {} ({})", self.message, self.code.number());
    }
}
