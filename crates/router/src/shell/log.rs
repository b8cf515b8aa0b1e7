//! Lines that explain what the process did and believed.
//!
//! One line of key=value pairs an event, on standard output. Writing never
//! blocks: what the pipe does not take is kept up to a bound, then dropped and
//! counted.

use crate::core::{OrderTask, StoreTask, ViewNotice};
use beamtray_catalog::DirectoryChange;
use beamtray_dispatch::{Admission, AttemptOutcome, Conclusion, Forward};
use beamtray_metastore::StoreOutcome;
use beamtray_sharding::{GrantReply, OrderKind};
use nix::fcntl::{FcntlArg, OFlag, fcntl};
use slog::{Drain, Level, Logger, Record, debug, info, o, warn};
use slog_logfmt::Logfmt;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Bytes that wait for the pipe.
const MOST_WAITING: usize = 256 * 1024;

/// Level of a log.
pub type LogLevel = Level;

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Takes lines and hands them to standard output without blocking.
#[derive(Clone, Default)]
struct BoundedOutput {
    waiting: Arc<Mutex<Waiting>>,
}

impl Write for BoundedOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > MOST_WAITING {
            waiting.dropped += 1;
        } else {
            if waiting.dropped > 0 {
                let lost = format!("level=WARN msg=log_dropped lines={}\n", waiting.dropped);
                waiting.bytes.extend_from_slice(lost.as_bytes());
                waiting.dropped = 0;
            }
            waiting.bytes.extend_from_slice(line);
        }
        drain(&mut waiting);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        drain(&mut waiting);
        Ok(())
    }
}

fn drain(waiting: &mut Waiting) {
    while !waiting.bytes.is_empty() {
        match nix::unistd::write(io::stdout(), &waiting.bytes) {
            Ok(written) if written > 0 => {
                waiting.bytes.drain(..written);
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

/// A belief changed.
pub(crate) fn notice(log: &Logger, notice: &ViewNotice) {
    match notice {
        ViewNotice::Configured { version, routes } => {
            info!(log, "configuration_in_force"; "version" => version, "routes" => routes);
        }
        ViewNotice::Unreadable { key, cause } => {
            warn!(log, "value_unreadable"; "key" => key, "cause" => cause);
        }
        ViewNotice::Directory(DirectoryChange::Registered(id, state)) => {
            info!(log, "upstream_registered"; "upstream" => %id, "state" => ?state);
        }
        ViewNotice::Directory(DirectoryChange::Removed(id)) => {
            info!(log, "upstream_removed"; "upstream" => %id);
        }
        ViewNotice::Directory(DirectoryChange::Unconfirmed(id)) => {
            info!(log, "upstream_unconfirmed"; "upstream" => %id);
        }
        ViewNotice::Assigned {
            service,
            epoch,
            sequence,
        } => {
            info!(log, "assignment"; "service" => %service, "epoch" => epoch, "sequence" => sequence);
        }
        ViewNotice::Granter { node, epoch } => {
            info!(log, "granter_seen"; "node" => node.as_deref().unwrap_or("-"), "epoch" => epoch);
        }
        ViewNotice::Restarted { prefix } => {
            info!(log, "watch_restarted"; "prefix" => prefix);
        }
        ViewNotice::Followed {
            prefix,
            sound: true,
        } => {
            info!(log, "store_regained"; "prefix" => prefix);
        }
        ViewNotice::Followed {
            prefix,
            sound: false,
        } => {
            warn!(log, "store_lost"; "prefix" => prefix);
        }
    }
}

/// This node became the granter, or ceased to be.
pub(crate) fn granter(log: &Logger, epoch: Option<u64>) {
    match epoch {
        Some(epoch) => info!(log, "granter_here"; "epoch" => epoch),
        None => info!(log, "granter_ended"),
    }
}

/// A call to the store ended.
pub(crate) fn store(log: &Logger, task: &StoreTask, outcome: &StoreOutcome) {
    let failed = match outcome {
        StoreOutcome::Refused => "refused",
        StoreOutcome::Unknown => "unanswered",
        StoreOutcome::Conflict { .. } => "conflict",
        StoreOutcome::Compacted => "history_lost",
        _ => return,
    };
    info!(log, "store_call"; "task" => ?task, "outcome" => failed);
}

/// An order ended.
pub(crate) fn order(log: &Logger, task: &OrderTask, reply: &GrantReply) {
    let order = &task.order;
    let kind = match order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Release => "release",
    };
    let renewed = matches!(reply, GrantReply::Granted);
    if renewed {
        debug!(log, "order"; "kind" => kind, "service" => %task.service, "holder" => %order.holder,
            "range" => %order.range, "token" => %order.token, "reply" => ?reply);
    } else {
        info!(log, "order"; "kind" => kind, "service" => %task.service, "holder" => %order.holder,
            "range" => %order.range, "token" => %order.token, "reply" => ?reply);
    }
}

/// The key and the assignment that a request was sent by.
struct KeyFields<'a>(&'a Forward);

impl slog::KV for KeyFields<'_> {
    fn serialize(&self, _: &Record, serializer: &mut dyn slog::Serializer) -> slog::Result {
        if let Some(key) = self.0.key {
            serializer.emit_u16("key", key.0)?;
        }
        if let Some(assignment) = self.0.assignment {
            serializer.emit_u64("epoch", assignment.epoch)?;
            serializer.emit_u64("sequence", assignment.sequence)?;
        }
        Ok(())
    }
}

/// A request is sent to an upstream.
pub(crate) fn sent(log: &Logger, id: &str, forward: &Forward) {
    info!(log, "sent"; "request" => id, "route" => &forward.route.name, "service" => %forward.service,
        "upstream" => %forward.upstream, "attempt" => forward.attempt, "occupied" => forward.occupied,
        "waited_ms" => forward.waited.as_millis() as u64, KeyFields(forward));
}

/// An attempt ended.
pub(crate) fn ended(
    log: &Logger,
    id: &str,
    forward: &Forward,
    outcome: AttemptOutcome,
    took: Duration,
) {
    info!(log, "attempt_ended"; "request" => id, "upstream" => %forward.upstream,
        "attempt" => forward.attempt, "outcome" => ?outcome, "took_ms" => took.as_millis() as u64);
}

/// A request is not admitted.
pub(crate) fn denied(log: &Logger, id: &str, admission: Admission) {
    info!(log, "denied"; "request" => id, "reason" => ?admission);
}

/// A request got its final answer without one of an upstream.
pub(crate) fn concluded(log: &Logger, id: &str, conclusion: Conclusion) {
    info!(log, "concluded"; "request" => id, "conclusion" => ?conclusion);
}

/// A client left before its answer.
pub(crate) fn cancelled(log: &Logger, id: &str) {
    info!(log, "client_left"; "request" => id);
}
