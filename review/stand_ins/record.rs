//! Record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn line(&self, line: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:9.3} s  {}", line.as_ref());
    }
}
