//! Record of what was sent, answered and run, with the time since the start of the case.

use std::fmt::Display;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt` and to the standard output.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(std::fs::File::create(path).expect("record file"))),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl Display) {
        print!("{}", self.note(text));
    }

    /// Writes a line to `record.txt` only. Returns the line.
    pub fn note(&self, text: impl Display) -> String {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().expect("record");
        file.write_all(line.as_bytes()).expect("record");
        line
    }
}
