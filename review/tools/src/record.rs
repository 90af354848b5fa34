//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// A shared record, written to a file line by line.
#[derive(Clone)]
pub struct Record {
    path: PathBuf,
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { path: path.to_owned(), file, start: Instant::now() })
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Appends a line with the present time.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written shows in the result, which then has no lines.
        let _ = file.write_all(line.as_bytes());
    }

    /// Appends a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Returns the lines so far.
    pub fn read(&self) -> Result<String, String> {
        std::fs::read_to_string(&self.path).map_err(|error| error.to_string())
    }
}
