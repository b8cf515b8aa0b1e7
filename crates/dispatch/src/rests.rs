//! Rests: times in which an upstream asked this node not to send it anything.
//!
//! No attempt goes to a resting upstream, neither a first one, nor a retry, nor a trial. A rest
//! is not a failure: the upstream counts neither as slow nor as unreachable for it. It is
//! stored per incarnation and outlasts the upstream's registration, which may lapse while the
//! upstream keeps listening.

use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Rests that have not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rests {
    until: HashMap<UpstreamHash, Time>,
}

impl Rests {
    /// Starts a rest. If several overlap, the one that ends last counts.
    pub fn begin(&mut self, now: Time, upstream: UpstreamHash, rest: Duration) {
        let until = self.until.entry(upstream).or_default();
        *until = (*until).max(now + rest);
    }

    /// End of an upstream's rest, if it is resting.
    pub fn until(&self, now: Time, upstream: UpstreamHash) -> Option<Time> {
        let until = self.until.get(&upstream).copied();
        until.filter(|until| now < *until)
    }

    /// Whether no rest is stored.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Number of resting upstreams.
    pub fn count(&self, now: Time) -> usize {
        self.until.values().filter(|until| now < **until).count()
    }

    /// Drops rests that have ended.
    pub fn expire(&mut self, now: Time) {
        self.until.retain(|_, until| now < *until);
    }
}
