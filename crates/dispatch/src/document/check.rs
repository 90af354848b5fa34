//! Validation of a service's document before it is written to the store.

use std::fmt;

use displaydoc::Display;
use serde_json::{Map, Value};

use super::{Document, Envelope, MAX_DOCUMENT_BYTES, MAX_KINDS};
use crate::id::{is_name, MAX_NAME_BYTES};

/// Maximum length of the path of an upstream's endpoint, in bytes.
pub const MAX_PATH_BYTES: usize = 256;
/// Maximum deadline, in milliseconds. Work that may wait longer than an hour is not urgent.
pub const MAX_DEADLINE_MS: u32 = 3_600_000;
/// Maximum run time, in milliseconds. Records of finished work are kept no longer than this.
pub const MAX_TIMEOUT_MS: u32 = 600_000;
/// Maximum number of tasks of one kind that wait at one entry. Bounds the memory of the entry.
pub const MAX_WAITING: u32 = 100_000;
/// Maximum quota, in task starts per second; well above the rate of the largest deployment.
pub const MAX_QUOTA_PER_S: u32 = 1_000_000;
/// Maximum number of processors that a task may request, in thousandths of a core; that of the
/// largest machines on sale.
pub const MAX_MILLI_CPUS: u32 = 1_024_000;
/// Maximum memory that a task may request, in megabytes; that of the largest machines on sale.
pub const MAX_MEMORY_MB: u32 = 32_000_000;

/// Maximum sum of the shares of all kinds, in percent.
const MAX_SHARES_PERCENT: u64 = 100;
/// Highest revision of a document; above it, not all readers of JSON represent whole numbers exactly.
const MAX_REVISION: u64 = 1 << 53;

/// Kind of fault in a document.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Problem {
    /// {bytes} bytes; allowed: at most {limit} bytes
    Size {
        /// Size of the text, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// {reason}; allowed: one JSON object
    Syntax {
        /// Error that the parser reported.
        reason: String,
    },
    /// unknown key; allowed: {allowed}
    Unknown {
        /// Keys that this object allows.
        allowed: String,
    },
    /// missing; allowed: {allowed}
    Missing {
        /// The values that the key takes.
        allowed: String,
    },
    /// {found} is not valid; allowed: {allowed}
    Invalid {
        /// Excerpt of the value.
        found: String,
        /// The values that the key takes.
        allowed: String,
    },
    /// {name} is already the name of {first}; allowed: a name that is unique in the document
    Duplicate {
        /// Name that occurs more than once.
        name: String,
        /// Key path of the first kind with that name.
        first: String,
    },
    /// shares add up to {total} percent; allowed: at most 100 percent
    Shares {
        /// Sum of the shares of all kinds, in percent.
        total: u64,
    },
}

/// Fault for which a document was rejected, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Key path such as `kinds[2].share_percent`, or line and column for a syntax error.
    pub location: String,
    /// Kind of fault, and what is allowed there.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl std::error::Error for Fault {}

/// Set of values that a key takes.
#[derive(Debug, Clone, Copy)]
enum Form {
    Name,
    Path,
    Urgency,
    Flag,
    Number { low: u32, high: u32 },
    Kinds,
}

/// A key of an object, with the values that it takes.
#[derive(Debug, Clone, Copy)]
struct Field {
    key: &'static str,
    form: Form,
    required: bool,
}

const fn required(key: &'static str, form: Form) -> Field {
    Field { key, form, required: true }
}

const fn optional(key: &'static str, form: Form) -> Field {
    Field { key, form, required: false }
}

const DOCUMENT_FIELDS: &[Field] = &[
    required("service", Form::Name),
    required("team", Form::Name),
    required("upstream_path", Form::Path),
    optional("quota_per_s", Form::Number { low: 0, high: MAX_QUOTA_PER_S }),
    optional("max_milli_cpus", Form::Number { low: 1, high: MAX_MILLI_CPUS }),
    optional("max_memory_mb", Form::Number { low: 1, high: MAX_MEMORY_MB }),
    required("kinds", Form::Kinds),
];

const KIND_FIELDS: &[Field] = &[
    required("name", Form::Name),
    required("urgency", Form::Urgency),
    required("share_percent", Form::Number { low: 0, high: 100 }),
    required("deadline_ms", Form::Number { low: 1, high: MAX_DEADLINE_MS }),
    required("timeout_ms", Form::Number { low: 1, high: MAX_TIMEOUT_MS }),
    required("max_waiting", Form::Number { low: 1, high: MAX_WAITING }),
    optional("idempotent", Form::Flag),
];

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name => {
                write!(f, "1 to {MAX_NAME_BYTES} lower-case letters, digits, `_`, `.` or `-`")
            }
            Self::Path => write!(
                f,
                "`/` and up to {MAX_PATH_BYTES} bytes of segments of letters, digits and `-._~%`, \
                 none of them empty, `.` or `..`"
            ),
            Self::Urgency => write!(f, "`low`, `normal`, `high` or `critical`"),
            Self::Flag => write!(f, "true or false"),
            Self::Number { low, high } => write!(f, "a whole number from {low} to {high}"),
            Self::Kinds => write!(f, "a list of 1 to {MAX_KINDS} objects"),
        }
    }
}

impl Form {
    fn accepts(self, value: &Value) -> bool {
        match self {
            Self::Name => value.as_str().is_some_and(is_name),
            Self::Path => value.as_str().is_some_and(is_path),
            Self::Urgency => {
                value.as_str().is_some_and(|s| matches!(s, "low" | "normal" | "high" | "critical"))
            }
            Self::Flag => value.is_boolean(),
            Self::Number { low, high } => {
                value.as_u64().is_some_and(|n| (u64::from(low)..=u64::from(high)).contains(&n))
            }
            Self::Kinds => {
                value.as_array().is_some_and(|list| (1..=MAX_KINDS).contains(&list.len()))
            }
        }
    }
}

fn is_path(text: &str) -> bool {
    let Some(rest) = text.strip_prefix('/') else {
        return false;
    };
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~%".contains(&byte);
    let segment =
        |part: &str| !part.is_empty() && part != "." && part != ".." && part.bytes().all(allowed);
    text.len() <= MAX_PATH_BYTES && (rest.is_empty() || rest.split('/').all(segment))
}

/// Formats a value for a message, shortened and on one line.
fn excerpt(value: &Value) -> String {
    const MAX_CHARS: usize = 40;
    match value {
        Value::Array(list) => format!("a list of {}", list.len()),
        Value::Object(_) => "an object".to_owned(),
        other => {
            let text = other.to_string();
            match text.char_indices().nth(MAX_CHARS) {
                Some((end, _)) => format!("{}...", &text[..end]),
                None => text,
            }
        }
    }
}

fn invalid(location: String, value: &Value, allowed: impl fmt::Display) -> Fault {
    let problem = Problem::Invalid { found: excerpt(value), allowed: allowed.to_string() };
    Fault { location, problem }
}

fn syntax(error: &serde_json::Error) -> Fault {
    let location = format!("line {}, column {}", error.line(), error.column());
    let text = error.to_string();
    let reason = text.split(" at line ").next().unwrap_or(&text).to_owned();
    Fault { location, problem: Problem::Syntax { reason } }
}

/// Appends a key to the key path of its object.
///
/// The key is escaped, because one from the document could break the message into several lines.
fn join(location: &str, key: &str) -> String {
    let key = key.escape_debug();
    if location.is_empty() {
        key.to_string()
    } else {
        format!("{location}.{key}")
    }
}

/// Checks the keys of an object and the values of these keys.
fn check_fields(
    location: &str,
    object: &Map<String, Value>,
    fields: &[Field],
) -> Result<(), Fault> {
    let known = |key: &str| fields.iter().any(|field| field.key == key);
    if let Some(key) = object.keys().find(|key| !known(key)) {
        let names: Vec<&str> = fields.iter().map(|field| field.key).collect();
        let problem = Problem::Unknown { allowed: names.join(", ") };
        return Err(Fault { location: join(location, key), problem });
    }
    for field in fields {
        let location = join(location, field.key);
        match object.get(field.key) {
            None if field.required => {
                let problem = Problem::Missing { allowed: field.form.to_string() };
                return Err(Fault { location, problem });
            }
            Some(value) if !field.form.accepts(value) => {
                return Err(invalid(location, value, field.form));
            }
            _ => {}
        }
    }
    Ok(())
}

/// Checks the kinds of a document, whose names must be unique and whose shares are limited.
fn check_kinds(list: &[Value]) -> Result<(), Fault> {
    for (index, value) in list.iter().enumerate() {
        let location = format!("kinds[{index}]");
        let Some(kind) = value.as_object() else {
            return Err(invalid(location, value, "an object"));
        };
        check_fields(&location, kind, KIND_FIELDS)?;
        let same_name = |other: &Value| other["name"] == value["name"];
        if let Some(first) = list[..index].iter().position(same_name) {
            let name = excerpt(&value["name"]);
            let problem = Problem::Duplicate { name, first: format!("kinds[{first}]") };
            return Err(Fault { location: format!("{location}.name"), problem });
        }
    }
    let total = list.iter().filter_map(|kind| kind["share_percent"].as_u64()).sum();
    if total > MAX_SHARES_PERCENT {
        return Err(Fault { location: "kinds".to_owned(), problem: Problem::Shares { total } });
    }
    Ok(())
}

fn check_size(text: &str) -> Result<(), Fault> {
    let bytes = text.len();
    if bytes > MAX_DOCUMENT_BYTES {
        let problem = Problem::Size { bytes, limit: MAX_DOCUMENT_BYTES };
        return Err(Fault { location: "document".to_owned(), problem });
    }
    Ok(())
}

fn check_value(value: &Value) -> Result<(), Fault> {
    let Some(object) = value.as_object() else {
        return Err(invalid("document".to_owned(), value, "an object"));
    };
    check_fields("", object, DOCUMENT_FIELDS)?;
    check_kinds(object["kinds"].as_array().map_or(&[], Vec::as_slice))
}

/// Validates a service's document and parses it.
///
/// # Errors
///
/// Returns the first fault, with its location and what is allowed there.
pub fn check(text: &str) -> Result<Document, Fault> {
    check_size(text)?;
    let value: Value = serde_json::from_str(text).map_err(|error| syntax(&error))?;
    check_value(&value)?;
    // A `Value` keeps only the last of repeated keys. Parsing the text again, and not the value,
    // reports them as an error.
    serde_json::from_str(text).map_err(|error| syntax(&error))
}

/// Validates a stored envelope with its document and parses it.
///
/// # Errors
///
/// Returns the first fault, with its location and what is allowed there.
pub fn check_envelope(text: &str) -> Result<Envelope, Fault> {
    check_size(text)?;
    let envelope: Envelope = serde_json::from_str(text).map_err(|error| syntax(&error))?;
    let value: Value = serde_json::from_str(text).map_err(|error| syntax(&error))?;
    check_value(&value["document"])?;
    if !(1..=MAX_REVISION).contains(&envelope.revision) {
        let allowed = "a whole number from 1 to 2 to the power of 53";
        return Err(invalid("revision".to_owned(), &value["revision"], allowed));
    }
    Ok(envelope)
}
