//! Requests whose upstreams have requested a backoff, which is a time in which they are to be sent
//! nothing.
//!
//! If the only upstream that can take a request is in backoff, or all of them are, the request is
//! refused at once unless the backoff ends before the request would be refused anyway.

use super::{Dispatcher, Request};
use crate::report::UpstreamHash;
use crate::request::RefusalReason;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::time::Duration;

/// How long after the end of its backoff an upstream is taken to be about to request another.
/// It would lose the keys that it got in this time again.
const REPEATED_BACKOFF_PERIOD: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Starts a backoff after an upstream rejected a request of this node and asked for it.
    pub fn start_backoff(&mut self, now: Time, upstream: &UpstreamId, backoff: Duration) {
        if self.config.honors_backoff {
            self.requested_backoffs
                .start(now, UpstreamHash::of(upstream), backoff);
        }
    }

    /// Records that an upstream requested a backoff from some node. This does not stop this node
    /// from sending.
    pub fn note_backoff_elsewhere(&mut self, now: Time, upstream: UpstreamHash, backoff: Duration) {
        self.backoffs_at_any_node
            .start(now, upstream, backoff + REPEATED_BACKOFF_PERIOD);
    }

    /// Whether an upstream is in backoff, or was until recently, at any node as far as known.
    pub fn is_backed_off_at_any_node(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.backoffs_at_any_node.until(now, upstream).is_some()
    }

    /// Number of upstreams that requested a backoff from this node that has not ended.
    pub fn backed_off_count(&self, now: Time) -> usize {
        self.requested_backoffs.count(now)
    }

    pub(super) fn is_backed_off(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.requested_backoffs.until(now, upstream).is_some()
    }

    /// Remaining backoff of the upstreams that a request is refused for.
    pub(super) fn remaining_backoff(
        &self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
    ) -> Duration {
        match (reason, request.backoff_until) {
            (RefusalReason::Resting | RefusalReason::Refused, Some(until)) => until.since(now),
            _ => Duration::ZERO,
        }
    }

    /// Fails if the only upstream that can take the request is in backoff.
    pub(super) fn check_backoff(
        &self,
        now: Time,
        request: &mut Request,
        upstream: UpstreamHash,
    ) -> Result<(), RefusalReason> {
        request.backoff_until = self.requested_backoffs.until(now, upstream);
        match request.backoff_until {
            Some(_) => Err(RefusalReason::Resting),
            None => Ok(()),
        }
    }

    /// Fails if all upstreams that could take the request are in backoff.
    pub(super) fn check_all_backoffs(
        &self,
        now: Time,
        request: &mut Request,
    ) -> Result<(), RefusalReason> {
        request.backoff_until = None;
        if self.requested_backoffs.is_empty() {
            return Ok(());
        }
        let pool = self.pools.of(&request.service);
        let ends: Option<Vec<Time>> = pool
            .iter()
            .map(|member| self.requested_backoffs.until(now, member.hash))
            .collect();
        request.backoff_until = ends.and_then(|ends| ends.into_iter().min());
        match request.backoff_until {
            Some(_) => Err(RefusalReason::Resting),
            None => Ok(()),
        }
    }
}
