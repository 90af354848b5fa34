//! Parser of log lines.

/// A log line of `key=value` pairs that reports an event.
#[derive(Debug, Clone, Copy)]
pub(super) struct Line<'a> {
    pub time_us: u64,
    pub process: &'a str,
    pub event: &'a str,
    text: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line; returns `None` if it has no time, process or event. Ignores text before the
    /// first pair, such as a timestamp that a log collector adds.
    pub fn parse(text: &'a str) -> Option<Self> {
        let mut line = Self { time_us: 0, process: "", event: "", text };
        line.time_us = line.get("time_us")?.parse().ok()?;
        line.process = line.get("process")?;
        line.event = line.get("event")?;
        Some(line)
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        let pairs = self.text.split_ascii_whitespace().filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
    }

    /// Returns the value of a key as a number. A missing or malformed value counts as 0, so the
    /// line adds nothing to a sum.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}
