//! Names of processes, services and kinds, and IDs of jobs.

use std::{fmt, str::FromStr};

use displaydoc::Display;

/// Maximum length of the name of a process, service, team or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// Returns true if the text is a valid name of a process.
///
/// Such a name is not empty and consists of lower-case letters, digits, `_` and `.`. Dashes are not
/// allowed, because they separate the parts of a job ID.
pub fn is_process_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Returns true if the text is a valid name of a service, team or kind.
///
/// The rules are those for the name of a process, but `-` is allowed.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_' | b'.' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Home part of a job ID: the entry incarnation that issued the token and holds the record, and the
/// caller's number there.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Home {
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Number of the caller's token, as issued by that incarnation.
    pub client: u64,
}

/// Job ID: a home and a sequence number that the caller assigns.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Job {
    /// Home of the job.
    pub home: Home,
    /// Sequence number of the job under the token.
    pub sequence: u64,
}

/// text is not an ID of the form entry-incarnation-client-sequence
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl std::error::Error for Malformed {}

impl fmt::Display for Home {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:x}", self.entry, self.incarnation, self.client)
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.home, self.sequence)
    }
}

/// Parses a hexadecimal number. Accepts only the canonical form, so that each ID has a single text.
fn parse_hex(text: &str) -> Result<u64, Malformed> {
    let canonical = !text.starts_with(['0', '+']) || text == "0";
    let lower_case = !text.bytes().any(|byte| byte.is_ascii_uppercase());
    if !canonical || !lower_case {
        return Err(Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| Malformed)
}

impl FromStr for Home {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.split('-');
        let mut part = || parts.next().ok_or(Malformed);
        let entry = part()?.to_owned();
        let incarnation = parse_hex(part()?)?;
        let client = parse_hex(part()?)?;
        if !is_process_name(&entry) || parts.next().is_some() {
            return Err(Malformed);
        }
        Ok(Self { entry, incarnation, client })
    }
}

impl FromStr for Job {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (home, sequence) = text.rsplit_once('-').ok_or(Malformed)?;
        Ok(Self { home: home.parse()?, sequence: parse_hex(sequence)? })
    }
}
