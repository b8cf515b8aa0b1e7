//! Checks requests to upstreams during the retry-after period that they sent to a node.

use super::{Checkers, Invariant, Sender};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after the response during which requests already in flight may arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Maximum requests that may arrive after that.
const MAX_ARRIVALS: u32 = 2;

/// One retry-after response and the requests that arrived in spite of it.
#[derive(Clone, Copy, Debug)]
struct RetryAfterPeriod {
    at: Time,
    rest: Duration,
    arrived: u32,
}

/// Unexpired retry-after periods, by sender and upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryAfterPeriods {
    asked: BTreeMap<(Sender, UpstreamId), Vec<RetryAfterPeriod>>,
}

impl Checkers {
    /// Records that an upstream rejects a node's request with a retry-after period.
    pub fn retry_after_sent(
        &mut self,
        at: Time,
        upstream: &UpstreamId,
        sender: Sender,
        rest: Duration,
    ) {
        let asked = RetryAfterPeriod {
            at,
            rest,
            arrived: 0,
        };
        let all = self.rests.asked.entry((sender, upstream.clone()));
        all.or_default().push(asked);
    }

    /// Discards the retry-after periods of a node that was paused or partitioned.
    pub fn forget_retry_after(&mut self, sender: Sender) {
        self.rests.asked.retain(|(asked, _), _| *asked != sender);
    }

    /// Records that a request from a node reaches an upstream.
    pub fn arrived_during_retry_after(&mut self, at: Time, upstream: &UpstreamId, sender: Sender) {
        let Some(all) = self.rests.asked.get_mut(&(sender, upstream.clone())) else {
            return;
        };
        all.retain(|asked| at.since(asked.at) < asked.rest);
        let mut broken = None;
        for asked in all {
            if at.since(asked.at) <= IN_FLIGHT_GRACE {
                continue;
            }
            asked.arrived += 1;
            if asked.arrived == MAX_ARRIVALS + 1 {
                broken = Some(asked.rest);
            }
        }
        if let Some(rest) = broken {
            let rest = rest.as_millis();
            let node = sender.node;
            let text = format!("{upstream} asked node {node} for {rest} ms of rest");
            self.record_violation(Invariant::Rest, at, text);
        }
    }
}
