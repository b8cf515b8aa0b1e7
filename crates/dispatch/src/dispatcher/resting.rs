//! Requests whose upstreams have asked for a rest, which is a time in which they are to be sent
//! nothing.
//!
//! If the only upstream that can take a request is resting, or all of them are, the request is
//! refused at once unless the rest ends before the request would be refused anyway.

use super::{Dispatcher, Request};
use crate::report::UpstreamHash;
use crate::request::RefusalReason;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::time::Duration;

/// How long after the end of its rest an upstream is taken to be about to ask for another one.
/// It would lose the keys that it got in this time again.
const PROBATION: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Starts a rest after an upstream rejected a request of this node and asked for it.
    pub fn begin_rest(&mut self, now: Time, upstream: &UpstreamId, rest: Duration) {
        if self.config.honors_rests {
            self.rests.begin(now, UpstreamHash::of(upstream), rest);
        }
    }

    /// Records that an upstream asked some node for a rest. This does not stop this node from
    /// sending.
    pub fn note_rest_elsewhere(&mut self, now: Time, upstream: UpstreamHash, rest: Duration) {
        self.rests_at_any_node
            .begin(now, upstream, rest + PROBATION);
    }

    /// Whether an upstream is resting, or was until recently, at any node as far as known.
    pub fn rests_for_any_node(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.rests_at_any_node.until(now, upstream).is_some()
    }

    /// Number of upstreams that are resting at this node.
    pub fn resting_count(&self, now: Time) -> usize {
        self.rests.count(now)
    }

    pub(super) fn is_resting(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.rests.until(now, upstream).is_some()
    }

    /// Remaining rest of the upstreams that a request is refused for.
    pub(super) fn rest_left(
        &self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
    ) -> Duration {
        match (reason, request.rests_until) {
            (RefusalReason::Resting | RefusalReason::Refused, Some(until)) => until.since(now),
            _ => Duration::ZERO,
        }
    }

    /// Fails if the only upstream that can take the request is resting.
    pub(super) fn check_rest(
        &self,
        now: Time,
        request: &mut Request,
        upstream: UpstreamHash,
    ) -> Result<(), RefusalReason> {
        request.rests_until = self.rests.until(now, upstream);
        match request.rests_until {
            Some(_) => Err(RefusalReason::Resting),
            None => Ok(()),
        }
    }

    /// Fails if all upstreams that could take the request are resting.
    pub(super) fn check_rests(
        &self,
        now: Time,
        request: &mut Request,
    ) -> Result<(), RefusalReason> {
        request.rests_until = None;
        if self.rests.is_empty() {
            return Ok(());
        }
        let pool = self.pools.of(&request.service);
        let ends: Option<Vec<Time>> = pool
            .iter()
            .map(|member| self.rests.until(now, member.hash))
            .collect();
        request.rests_until = ends.and_then(|ends| ends.into_iter().min());
        match request.rests_until {
            Some(_) => Err(RefusalReason::Resting),
            None => Ok(()),
        }
    }
}
