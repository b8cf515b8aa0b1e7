//! Requests to upstreams that asked the node that sends them for rest.

use super::{Checkers, Invariant, Sender};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after the answer requests that were under way may come.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Requests that may come after that.
const MAX_ARRIVALS: u32 = 2;

/// One answer that asked for rest, and what came in spite of it.
#[derive(Clone, Copy, Debug)]
struct RetryAfterPeriod {
    at: Time,
    rest: Duration,
    arrived: u32,
}

/// The rests that upstreams asked nodes for and that are not over.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryAfterPeriods {
    asked: BTreeMap<(Sender, UpstreamId), Vec<RetryAfterPeriod>>,
}

impl Checkers {
    /// An upstream turns a node's request away and asks it for rest.
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

    /// A node stood still, or was cut off: what it was asked for before does not bind it.
    pub fn forget_retry_after(&mut self, sender: Sender) {
        self.rests.asked.retain(|(asked, _), _| *asked != sender);
    }

    /// A request reaches an upstream from a node.
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
