//! Upstreams that asked this node for rest.
//!
//! Nothing is sent to one before its rest is over: no first attempt, no second one, no trial.
//! A rest is no failure: the upstream counts neither as slow nor as out of reach for it. It
//! is known by incarnation, and outlasts the upstream's entry, which may lapse meanwhile
//! while the upstream goes on listening.

use crate::report::UpstreamHash;
use beamtray_types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// The rests that are not over.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rests {
    until: HashMap<UpstreamHash, Time>,
}

impl Rests {
    /// An upstream asks for rest. Of several that it asked for the one that ends last counts.
    pub fn begin(&mut self, now: Time, upstream: UpstreamHash, rest: Duration) {
        let until = self.until.entry(upstream).or_default();
        *until = (*until).max(now + rest);
    }

    /// Until when an upstream rests, if it does.
    pub fn until(&self, now: Time, upstream: UpstreamHash) -> Option<Time> {
        let until = self.until.get(&upstream).copied();
        until.filter(|until| now < *until)
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// How many upstreams rest.
    pub fn count(&self, now: Time) -> usize {
        self.until.values().filter(|until| now < **until).count()
    }

    /// Forgets rests that are over.
    pub fn expire(&mut self, now: Time) {
        self.until.retain(|_, until| now < *until);
    }
}
