//! Requests to upstreams whose answers said that they leave.

use super::{Checkers, DRAIN_TIME, Invariant, Sender};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::collections::BTreeMap;

/// Since when each sender has had such an answer of each upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingReports {
    told: BTreeMap<(Sender, UpstreamId), Time>,
}

impl Checkers {
    /// An answer that says that its upstream leaves comes to a node.
    pub fn leaving_reported(&mut self, at: Time, upstream: &UpstreamId, sender: Sender) {
        let told = self.leaving.told.entry((sender, upstream.clone()));
        told.or_insert(at);
    }

    /// A node stands still: what it was told before does not bind it any more.
    pub fn forget_leaving_reports(&mut self, sender: Sender) {
        self.leaving.told.retain(|(told, _), _| *told != sender);
    }

    /// A request that its client sent at `sent` reaches an upstream from a node, connected
    /// or not.
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
