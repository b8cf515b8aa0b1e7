//! Backoffs requested by upstreams: times in which an upstream asked this node to send it nothing.
//!
//! No attempt is sent to such an upstream, neither a first one, nor a retry, nor a trial. A backoff
//! is not a failure: the upstream counts neither as slow nor as unreachable for it. It is
//! stored per incarnation and outlasts the upstream's registration, which may lapse while the
//! upstream keeps listening.

use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Requested backoffs that have not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestedBackoffs {
    until: BTreeMap<UpstreamHash, Time>,
}

impl RequestedBackoffs {
    /// Starts a backoff. If several overlap, the one that ends last counts.
    pub fn start(&mut self, now: Time, upstream: UpstreamHash, backoff: Duration) {
        let until = self.until.entry(upstream).or_default();
        *until = (*until).max(now + backoff);
    }

    /// End of an upstream's backoff, if it has requested one.
    pub fn until(&self, now: Time, upstream: UpstreamHash) -> Option<Time> {
        let until = self.until.get(&upstream).copied();
        until.filter(|until| now < *until)
    }

    /// Whether no backoff is stored.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Upstreams in backoff.
    pub fn upstreams(&self, now: Time) -> impl Iterator<Item = UpstreamHash> {
        let active = self.until.iter().filter(move |(_, until)| now < **until);
        active.map(|(upstream, _)| *upstream)
    }

    /// Number of upstreams in backoff.
    pub fn count(&self, now: Time) -> usize {
        self.until.values().filter(|until| now < **until).count()
    }

    /// Drops backoffs that have ended.
    pub fn expire(&mut self, now: Time) {
        self.until.retain(|_, until| now < *until);
    }
}
