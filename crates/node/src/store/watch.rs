//! Stream of changes in the store.

use std::{
    collections::VecDeque,
    fmt,
    io::{BufRead, BufReader},
};

use ureq::{Body, BodyReader, Timeout};

use super::{gateway::Streamed, Fault, Stored, Value};

/// Iterator over values written and keys deleted under a prefix, in the order in which they were written. Ends when
/// its lifetime is over or the store closes the stream. The next watch then continues from
/// `revision`.
pub struct Watch {
    lines: BufReader<BodyReader<'static>>,
    ready: VecDeque<Stored>,
    revision: u64,
    ended: bool,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").field("revision", &self.revision).finish_non_exhaustive()
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref::<ureq::Error>());
    matches!(inner, Some(ureq::Error::Timeout(Timeout::RecvBody)))
        || error.kind() == std::io::ErrorKind::TimedOut
}

impl Watch {
    pub(super) fn new(body: Body, after: u64) -> Self {
        let lines = BufReader::new(body.into_reader());
        Self { lines, ready: VecDeque::new(), revision: after, ended: false }
    }

    /// Returns the highest revision of the store among the changes received.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the next changes that the store reported together, or `None` at the end. One write
    /// of several keys has one revision, so that its changes must be applied together.
    pub fn next_batch(&mut self) -> Option<Result<Vec<Stored>, Fault>> {
        let first = match self.next()? {
            Ok(stored) => stored,
            Err(fault) => return Some(Err(fault)),
        };
        let mut batch = vec![first];
        batch.extend(self.ready.drain(..));
        Some(Ok(batch))
    }

    fn read(&mut self) -> Result<(), Fault> {
        let mut line = Vec::new();
        match self.lines.read_until(b'\n', &mut line) {
            Ok(0) => {
                self.ended = true;
                return Ok(());
            }
            Err(error) if is_timeout(&error) => {
                self.ended = true;
                return Ok(());
            }
            Err(error) => return Err(Fault::Unavailable(error.to_string())),
            Ok(_) => {}
        }
        let streamed: Streamed = serde_json::from_slice(&line)
            .map_err(|error| Fault::Unavailable(format!("watch: {error}")))?;
        if streamed.result.canceled {
            let reason = "watch cancelled, its start may have been compacted".to_owned();
            return Err(Fault::Rejected(reason));
        }
        for event in streamed.result.events {
            let deleted = event.kind.as_deref() == Some("DELETE");
            let mut stored = Stored::from(event.kv);
            self.revision = self.revision.max(stored.mod_revision);
            if deleted {
                stored.value = Value::Deleted;
            }
            self.ready.push_back(stored);
        }
        Ok(())
    }
}

impl Iterator for Watch {
    type Item = Result<Stored, Fault>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if let Some(stored) = self.ready.pop_front() {
                return Some(Ok(stored));
            }
            if self.ended {
                return None;
            }
            if let Err(fault) = self.read() {
                self.ended = true;
                return Some(Err(fault));
            }
        }
    }
}
