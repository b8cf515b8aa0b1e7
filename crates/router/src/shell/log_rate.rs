//! Bounds the lines of each kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Kinds of lines that a load can multiply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LineKind {
    /// Ordinary steps of a request.
    RequestStep,
    /// Requests that failed, were refused or given up.
    Failure,
    /// Calls and orders that failed.
    Dependency,
    /// Requests that are suspected of ending upstreams.
    Suspicion,
    /// Entries of the store that can't be used.
    StoreEntry,
    /// Rates that upstreams name.
    RateLimit,
    /// What upstreams say of themselves.
    UpstreamReport,
}

impl LineKind {
    /// Lines a second; failures are kept before successes.
    fn max_per_second(self) -> u32 {
        match self {
            LineKind::RequestStep => 400,
            LineKind::Failure => 1_000,
            LineKind::Dependency => 300,
            // A zone that ends leaves as many as requests were under way there.
            LineKind::Suspicion => 20,
            // Another writer decides how many there are and how often they change.
            LineKind::StoreEntry => 20,
            // An upstream may name another one with each answer.
            LineKind::RateLimit => 20,
            // An upstream may say it with each answer.
            LineKind::UpstreamReport => 20,
        }
    }
}

struct Count {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

/// Counts the lines of each kind.
#[derive(Default)]
pub(crate) struct LogRateLimiter {
    counts: RefCell<HashMap<LineKind, Count>>,
}

impl LogRateLimiter {
    /// Whether a line may be written; how many of its kind were left out
    /// before it.
    pub fn admit(&self, kind: LineKind) -> Option<u64> {
        self.admit_at(kind, Instant::now())
    }

    fn admit_at(&self, kind: LineKind, now: Instant) -> Option<u64> {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(kind).or_insert(Count {
            window_start: now,
            written: 0,
            suppressed: 0,
        });
        if now.duration_since(count.window_start) >= Duration::from_secs(1) {
            count.window_start = now;
            count.written = 0;
        }
        if count.written >= kind.max_per_second() {
            count.suppressed += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.suppressed))
    }
}
