//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn write(&self, line: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{seconds:9.3} {line}");
    }

    /// Writes a line that is also printed.
    pub fn tell(&self, line: &str) {
        println!("{:9.3} {line}", self.start.elapsed().as_secs_f64());
        self.write(line);
    }
}
