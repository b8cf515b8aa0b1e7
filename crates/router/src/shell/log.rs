//! Structured log on standard output.
//!
//! One line of key=value pairs per event. Writing never blocks: output that the pipe does not
//! take is buffered up to a limit, then dropped and counted.

use nix::fcntl::{FcntlArg, OFlag, fcntl};
use slog::{Drain, Level, Logger, Record, o};
use slog_logfmt::Logfmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Limit of the bytes buffered for standard output.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Lowest level that is logged.
pub type LogLevel = Level;

/// Log lines dropped since the process started because the buffer was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct OutputBuffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Writes lines to standard output without blocking, through a bounded buffer.
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
    // If standard output can't be made non-blocking, it is used as it is.
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

/// Writes the wall-clock time in milliseconds since 1970 at the start of a line.
fn write_time(line: &mut dyn Write, _: &Record) -> slog::Result {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    write!(line, "time={millis} ")?;
    Ok(())
}
