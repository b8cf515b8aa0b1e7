//! Status reports received directly from other nodes.

use beamtray_types::{Generation, LogIndex, Member, NodeId, Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// The latest status report of a node.
#[derive(Clone, Debug)]
pub(crate) struct PeerReport {
    pub(crate) member: Member,
    pub(crate) zone: Zone,
    pub(crate) at: Time,
    pub(crate) leaving: bool,
    pub(crate) generation: Generation,
    pub(crate) applied: LogIndex,
    pub(crate) abandoned: Generation,
}

/// The latest report of each node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    reports: BTreeMap<NodeId, PeerReport>,
}

impl Peers {
    pub(crate) fn record(&mut self, peer: PeerReport) {
        self.reports.insert(peer.member.node, peer);
    }

    pub(crate) fn get(&self, node: NodeId) -> Option<&PeerReport> {
        self.reports.get(&node)
    }

    /// Nodes that reported within `window` and are not stopping.
    pub(crate) fn live(&self, now: Time, window: Duration) -> Vec<PeerReport> {
        self.reports
            .values()
            .filter(|peer| now.since(peer.at) < window && !peer.leaving)
            .cloned()
            .collect()
    }
}

/// Selects up to `count` of `candidates`, spread over zones: takes the lowest
/// remaining node of each zone in turn.
pub(crate) fn spread_over_zones(candidates: &[(Member, Zone)], count: usize) -> Vec<Member> {
    let mut zones: BTreeMap<&Zone, Vec<Member>> = BTreeMap::new();
    for (member, zone) in candidates {
        zones.entry(zone).or_default().push(*member);
    }
    for members in zones.values_mut() {
        members.sort_unstable_by(|left, right| right.cmp(left));
    }
    let mut chosen = Vec::new();
    while chosen.len() < count && zones.values().any(|members| !members.is_empty()) {
        for members in zones.values_mut() {
            if chosen.len() < count {
                chosen.extend(members.pop());
            }
        }
    }
    chosen
}
