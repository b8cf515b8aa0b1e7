//! Requests whose upstreams rest.
//!
//! One that must go to an upstream which rests, or whose upstreams all do, is refused at once
//! unless the rest is over before it would be refused anyway.

use super::{Dispatcher, Request};
use crate::report::UpstreamHash;
use crate::request::RefusalReason;
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::time::Duration;

/// How long an upstream whose rest is over counts as one that may ask for it again: it would
/// lose the keys that it gets in that time once more.
const PROBATION: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// An upstream turned a request away and asked this node for rest.
    pub fn begin_rest(&mut self, now: Time, upstream: &UpstreamId, rest: Duration) {
        if self.config.honors_rests {
            self.rests.begin(now, UpstreamHash::of(upstream), rest);
        }
    }

    /// An upstream asked some node for rest. That binds this node in nothing.
    pub fn note_rest_elsewhere(&mut self, now: Time, upstream: UpstreamHash, rest: Duration) {
        self.rests_at_any_node
            .begin(now, upstream, rest + PROBATION);
    }

    /// Whether an upstream asked some node for rest, as far as known, of late.
    pub fn rests_for_any_node(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.rests_at_any_node.until(now, upstream).is_some()
    }

    /// How many upstreams asked this node for rest that is not over.
    pub fn resting_count(&self, now: Time) -> usize {
        self.rests.count(now)
    }

    pub(super) fn is_resting(&self, now: Time, upstream: UpstreamHash) -> bool {
        self.rests.until(now, upstream).is_some()
    }

    /// How long those rest that a request is refused for.
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

    /// Whether the upstream that a request must go to rests.
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

    /// Whether all upstreams that could take a request rest.
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
