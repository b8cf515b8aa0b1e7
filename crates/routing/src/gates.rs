//! Assignment of gates to upstreams.

use beamtray_ownership::{ControlState, NodeRecord};
use beamtray_types::{KeyHash, NodeId, ServerName, Zone};
use std::collections::BTreeMap;

/// Maps each upstream to its gate by rendezvous hashing over the live nodes of
/// the upstream's zone, or over all live nodes if that zone has none. Nodes
/// with the same state compute the same map without coordination, and the
/// departure of a node reassigns only its own gates.
#[derive(Clone, Debug, Default)]
pub struct GateMap {
    gates: BTreeMap<ServerName, NodeId>,
}

impl GateMap {
    /// Computes the gates for a control state.
    pub fn from_state(state: &ControlState) -> Self {
        let mut gates = BTreeMap::new();
        for server in state.declaration.services.iter().flat_map(|s| &s.servers) {
            if let Some(node) = select_gate(&state.nodes, &server.name, &server.zone) {
                gates.insert(server.name.clone(), node);
            }
        }
        Self { gates }
    }

    /// Returns the gate of `server`.
    pub fn get(&self, server: &ServerName) -> Option<NodeId> {
        self.gates.get(server).copied()
    }

    /// Returns the number of upstreams whose gate is `node`.
    pub fn count(&self, node: NodeId) -> usize {
        self.gates.values().filter(|gate| **gate == node).count()
    }
}

fn select_gate(
    nodes: &BTreeMap<NodeId, NodeRecord>,
    server: &ServerName,
    zone: &Zone,
) -> Option<NodeId> {
    let weight = |node: &NodeId| KeyHash::of(&format!("{server}@{node}"));
    let local = nodes
        .iter()
        .filter(|(_, record)| record.zone == *zone)
        .map(|(node, _)| *node)
        .max_by_key(weight);
    local.or_else(|| nodes.keys().copied().max_by_key(weight))
}
