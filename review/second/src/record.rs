//! The record of a run: what was sent, answered and run, with the time since its start.

use beamtray_types::Time;
use std::cell::RefCell;
use std::fmt::Display;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Instant;

/// The record, and the clock of the run.
pub struct Record {
    start: Instant,
    file: RefCell<BufWriter<File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            start: Instant::now(),
            file: RefCell::new(BufWriter::new(file)),
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl Display) {
        let seconds = self.start.elapsed().as_secs_f64();
        // A record that can't be written must not end the run.
        let _ = writeln!(self.file.borrow_mut(), "{seconds:9.4} {text}");
    }

    /// Writes a line, and shows it.
    pub fn tell(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
        let _ = self.file.borrow_mut().flush();
    }
}
