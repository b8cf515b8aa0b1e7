//! The record of a run: what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the milliseconds since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Milliseconds since the start.
    pub fn elapsed_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn line(&self, text: impl Display) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} ms  {text}", self.elapsed_ms());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
