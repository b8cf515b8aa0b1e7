//! Rate limits for log lines, by kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Kinds of log lines whose number grows with the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LineKind {
    /// Regular steps of a request.
    RequestStep,
    /// Requests that failed, were refused or were abandoned by the client.
    Failure,
    /// Failed store calls and orders, and other events of upstreams and peers.
    Dependency,
    /// Requests suspected of crashing upstreams.
    Suspicion,
    /// Unusable entries of the store.
    StoreEntry,
    /// Rate limits announced by upstreams.
    RateLimit,
    /// Other announcements in upstreams' responses.
    UpstreamReport,
    /// Limits on what clients and others take.
    LimitReached,
}

impl LineKind {
    /// Lines per second; failures have priority over successes.
    fn max_per_second(self) -> u32 {
        match self {
            LineKind::RequestStep => 400,
            LineKind::Failure => 1_000,
            LineKind::Dependency => 300,
            // When a zone fails, every request that was in progress there becomes a suspect.
            LineKind::Suspicion => 20,
            // Other writers determine how many there are and how often they change.
            LineKind::StoreEntry => 20,
            // An upstream may announce a new limit with each response.
            LineKind::RateLimit => 20,
            // An upstream may repeat them with each response.
            LineKind::UpstreamReport => 20,
            // A crowd of clients reaches them with each connection.
            LineKind::LimitReached => 20,
        }
    }
}

struct Count {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

/// Rate limiter with one counter per kind.
#[derive(Default)]
pub(crate) struct LogRateLimiter {
    counts: RefCell<HashMap<LineKind, Count>>,
}

impl LogRateLimiter {
    /// The number of lines of this kind suppressed since the last one, or `None` if this line
    /// is to be suppressed as well.
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
