//! Bounds the lines of each kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Kinds of lines that a load can multiply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LineKind {
    /// Ordinary steps of a request.
    Step,
    /// Requests that failed, were refused or given up.
    Failure,
    /// Calls and orders that failed.
    Dependency,
    /// Requests that are suspected of ending upstreams.
    Suspicion,
    /// Entries of the store that can't be used.
    Entry,
    /// Rates that upstreams name.
    Limit,
    /// What upstreams say of themselves.
    Word,
}

impl LineKind {
    /// Lines a second; failures are kept before successes.
    fn allowed(self) -> u32 {
        match self {
            LineKind::Step => 400,
            LineKind::Failure => 1_000,
            LineKind::Dependency => 300,
            // A zone that ends leaves as many as requests were under way there.
            LineKind::Suspicion => 20,
            // Another writer decides how many there are and how often they change.
            LineKind::Entry => 20,
            // An upstream may name another one with each answer.
            LineKind::Limit => 20,
            // An upstream may say it with each answer.
            LineKind::Word => 20,
        }
    }
}

struct Count {
    since: Instant,
    written: u32,
    left_out: u64,
}

/// Counts the lines of each kind.
#[derive(Default)]
pub(crate) struct LineRate {
    counts: RefCell<HashMap<LineKind, Count>>,
}

impl LineRate {
    /// Whether a line may be written; how many of its kind were left out
    /// before it.
    pub fn admit(&self, kind: LineKind) -> Option<u64> {
        self.admit_at(kind, Instant::now())
    }

    fn admit_at(&self, kind: LineKind, now: Instant) -> Option<u64> {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(kind).or_insert(Count {
            since: now,
            written: 0,
            left_out: 0,
        });
        if now.duration_since(count.since) >= Duration::from_secs(1) {
            count.since = now;
            count.written = 0;
        }
        if count.written >= kind.allowed() {
            count.left_out += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.left_out))
    }
}
