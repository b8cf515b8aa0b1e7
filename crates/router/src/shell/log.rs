//! Lines that explain what the process did and believed.
//!
//! One line of key=value pairs an event, on standard output. Writing never
//! blocks: what the pipe does not take is kept up to a bound, then dropped and
//! counted.

use nix::fcntl::{FcntlArg, OFlag, fcntl};
use slog::{Drain, Level, Logger, Record, o};
use slog_logfmt::Logfmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Bytes that wait for the pipe.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Level of a log.
pub type LogLevel = Level;

/// Lines that the pipe did not take in time, over the life of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// How many lines were dropped since the process began.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct OutputBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Takes lines and hands them to standard output without blocking.
#[derive(Clone, Default)]
struct BoundedOutput {
    buffer: Arc<Mutex<OutputBuffer>>,
}

impl Write for BoundedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        } else {
            if buffer.dropped > 0 {
                let notice = format!("level=WARN msg=log_dropped lines={}\n", buffer.dropped);
                buffer.bytes.extend_from_slice(notice.as_bytes());
                buffer.dropped = 0;
            }
            buffer.bytes.extend_from_slice(line);
        }
        write_buffered(&mut buffer);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        write_buffered(&mut buffer);
        Ok(())
    }
}

fn write_buffered(buffer: &mut OutputBuffer) {
    while !buffer.bytes.is_empty() {
        match nix::unistd::write(io::stdout(), &buffer.bytes) {
            Ok(written) if written > 0 => {
                buffer.bytes.drain(..written);
            }
            _ => return,
        }
    }
}

/// Builds the logger of a process.
pub fn build_logger(level: LogLevel) -> Logger {
    // Standard output that can't be switched is written to all the same.
    if let Ok(flags) = fcntl(io::stdout(), FcntlArg::F_GETFL) {
        let flags = OFlag::from_bits_truncate(flags) | OFlag::O_NONBLOCK;
        let _ = fcntl(io::stdout(), FcntlArg::F_SETFL(flags));
    }
    let lines = Logfmt::new(io::LineWriter::new(BoundedOutput::default()))
        .set_prefix(write_time)
        .print_level(true)
        .print_msg(true)
        .build();
    let drain = Mutex::new(lines)
        .ignore_res()
        .filter_level(level)
        .ignore_res();
    Logger::root(drain, o!())
}

/// Starts a line with the wall clock, in milliseconds since 1970.
fn write_time(line: &mut dyn Write, _: &Record) -> slog::Result {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    write!(line, "time={millis} ")?;
    Ok(())
}
