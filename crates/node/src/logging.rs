//! Logging to standard error in logfmt: one line of key=value pairs per event.

use beamtray_control::{Event, Level as EventLevel};
use slog::{Drain, Level, Logger, Record, o};
use slog_logfmt::Logfmt;
use std::io::{Write, stderr};
use std::time::{SystemTime, UNIX_EPOCH};

/// Builds a logger that writes events at or above `level`.
pub fn logger(level: Level) -> Logger {
    let drain = Logfmt::new(stderr())
        .set_prefix(write_time)
        .print_level(true)
        .print_msg(true)
        .build()
        .fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(4_096)
        .overflow_strategy(slog_async::OverflowStrategy::Drop)
        .build()
        .fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Prefixes a line with the Unix time in milliseconds.
fn write_time(line: &mut dyn Write, _: &Record) -> slog::Result {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    write!(line, "time={millis} ")?;
    Ok(())
}

/// Returns a logger that discards all events.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Adapts the fields of an event to `slog::KV`.
struct Fields<'a>(&'a Event);

impl slog::KV for Fields<'_> {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        for (key, value) in &self.0.fields {
            serializer.emit_str(key, value)?;
        }
        Ok(())
    }
}

/// Logs an event at its level.
pub(crate) fn write(logger: &Logger, event: &Event) {
    let fields = Fields(event);
    match event.level {
        EventLevel::Debug => slog::debug!(logger, "{}", event.name; fields),
        EventLevel::Info => slog::info!(logger, "{}", event.name; fields),
        EventLevel::Warning => slog::warn!(logger, "{}", event.name; fields),
    }
}
