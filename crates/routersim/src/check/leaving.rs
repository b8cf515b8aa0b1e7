//! Checks requests to upstreams whose responses announced that they are leaving.

use super::{Checkers, DRAIN_TIME, Invariant, Sender};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;

/// Time of the first such response, by sender and upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingReports {
    told: BTreeMap<(Sender, UpstreamId), Time>,
}

impl Checkers {
    /// Records that a node receives a response that announces that its upstream is leaving.
    pub fn leaving_reported(&mut self, at: Time, upstream: &UpstreamId, sender: Sender) {
        let told = self.leaving.told.entry((sender, upstream.clone()));
        told.or_insert(at);
    }

    /// Discards what a paused node was told before the pause.
    pub fn forget_leaving_reports(&mut self, sender: Sender) {
        self.leaving.told.retain(|(told, _), _| *told != sender);
    }

    /// Records that a request, sent by its client at `sent`, reaches an upstream from a node
    /// that may be disconnected.
    pub fn arrived_after_leaving(
        &mut self,
        at: Time,
        upstream: &UpstreamId,
        sender: Sender,
        sent: Time,
    ) {
        let Some(told) = self.leaving.told.get(&(sender, upstream.clone())) else {
            return;
        };
        if sent.since(*told) <= DRAIN_TIME {
            return;
        }
        let late = sent.since(*told).as_millis();
        let node = sender.node;
        let text = format!("{upstream} gets a request {late} ms after it told node {node}");
        self.record_violation(Invariant::LeavingWord, at, text);
    }
}
