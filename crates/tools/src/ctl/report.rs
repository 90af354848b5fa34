//! Output and exit code of a command.

use kingcup_dispatch::code::Code;
use serde::Serialize;
use serde_json::{Map, Value};

/// Result of a command.
#[derive(Debug)]
pub(super) struct Report {
    code: Code,
    /// One line about the result, for standard error.
    message: String,
    /// Requested output, for standard output.
    text: String,
    /// Members of the JSON form besides `code` and `message`.
    members: Map<String, Value>,
}

impl Report {
    /// Creates a report with the text of the result code as its message.
    pub(super) fn new(code: Code) -> Self {
        Self { code, message: code.to_string(), text: String::new(), members: Map::new() }
    }

    /// Returns the result code.
    pub(super) fn code(&self) -> Code {
        self.code
    }

    /// Replaces the result code.
    pub(super) fn recode(mut self, code: Code) -> Self {
        self.code = code;
        self
    }

    /// Replaces the message.
    pub(super) fn message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }

    /// Appends a line to the text for standard output.
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

    /// Returns the exit code, which is the hundreds digit of the result code.
    pub(super) fn exit_code(&self) -> u8 {
        (self.code.number() / 100) as u8
    }

    /// Prints the report, as one JSON object or as text.
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
