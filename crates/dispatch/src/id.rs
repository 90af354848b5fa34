//! Names of processes, jobs and starts.

use std::{fmt, str::FromStr};

use displaydoc::Display;

/// Longest name of a process, service, team or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// True if the text is a valid name: lower-case letters, digits, `_` and `.`, not empty.
///
/// The dash is left out because it separates the parts of a job ID.
pub fn is_process_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// True if the text is a valid name of a service, team or kind; as of a process, with `-`.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'_' | b'.' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Home part of a job ID: the entry incarnation that holds the record, and the caller's number.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Home {
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Number of the caller's token at that incarnation.
    pub client: u64,
}

/// Job ID: a home and a sequence that the caller counts itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Job {
    /// Home of the job.
    pub home: Home,
    /// Number of the job under the token.
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

fn hex(text: &str) -> Result<u64, Malformed> {
    let canonical = !text.starts_with(['0', '+']) || text == "0";
    let lower = !text.bytes().any(|byte| byte.is_ascii_uppercase());
    if !canonical || !lower {
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
        let incarnation = hex(part()?)?;
        let client = hex(part()?)?;
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
        Ok(Self { home: home.parse()?, sequence: hex(sequence)? })
    }
}
