//! Who issues the permits of a tenant.

use super::{LocatedNode, TenantHash};
use crate::rendezvous::top_node;
use crate::report::NodeHash;
use beamtray_types::{Time, Zone};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::Xxh3;

/// Number of slots into which a quota is divided at least, if it is large enough: if the node of
/// one is lost, others remain.
const MIN_SLOTS: usize = 3;

/// The nodes by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneNodes {
    /// Zones that have slots whether or not they have nodes.
    declared: BTreeSet<Zone>,
    by_zone: BTreeMap<Zone, Vec<NodeHash>>,
    nodes: Vec<LocatedNode>,
    changed_at: Time,
    changes: u64,
}

impl ZoneNodes {
    /// Creates the state without nodes. If no zones are declared, those of the nodes count.
    pub fn new(zones: &[Zone]) -> Self {
        Self {
            declared: zones.iter().cloned().collect(),
            ..Self::default()
        }
    }

    /// Sets the registered nodes.
    pub fn set(&mut self, now: Time, nodes: &[LocatedNode]) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes.to_vec();
        self.changed_at = now;
        self.changes += 1;
        let declared = self.declared.iter();
        self.by_zone = declared.map(|zone| (zone.clone(), Vec::new())).collect();
        for located in nodes {
            let zone = self.by_zone.entry(located.zone.clone()).or_default();
            zone.push(located.node);
        }
    }
}

/// A slot of a tenant's quota, and the node that issues its permits; none if the zone has no
/// nodes.
#[derive(Clone, Debug)]
struct Slot {
    zone: Zone,
    node: Option<NodeHash>,
}

/// This node's part of a tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnShare {
    /// Number of slots that this node has.
    pub slots: usize,
    /// Number of slots that there are.
    pub total: usize,
    /// Since when this node has as many.
    pub since: Time,
}

/// The issuers of one tenant, as of a change of the nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Issuers {
    changes: u64,
    max_slots: usize,
    slots: Vec<Slot>,
    own_slots: usize,
    since: Time,
}

impl Issuers {
    /// Determines the issuers again if the nodes or the number of slots that the quota allows have
    /// changed.
    pub fn update(
        &mut self,
        tenant: TenantHash,
        max_slots: usize,
        own: NodeHash,
        nodes: &ZoneNodes,
    ) {
        if self.changes == nodes.changes && self.max_slots == max_slots {
            return;
        }
        self.changes = nodes.changes;
        self.max_slots = max_slots;
        self.slots = slots(tenant, max_slots, nodes);
        let own_slots = self.slots.iter().filter(|slot| slot.node == Some(own));
        let own_slots = own_slots.count();
        if own_slots > self.own_slots {
            self.since = nodes.changed_at;
        }
        self.own_slots = own_slots;
    }

    /// The issuers other than `own`: those of `zone` first, the others in an order that differs
    /// from node to node.
    pub fn others(&self, own: NodeHash, zone: &Zone) -> Vec<NodeHash> {
        let (near, mut far): (Vec<&Slot>, Vec<&Slot>) =
            self.slots.iter().partition(|slot| slot.zone == *zone);
        let first = own.0 as usize % far.len().max(1);
        far.rotate_left(first);
        let mut others = Vec::new();
        for node in near.into_iter().chain(far).filter_map(|slot| slot.node) {
            if node != own && !others.contains(&node) {
                others.push(node);
            }
        }
        others
    }

    /// This node's share; `None` if it is no issuer.
    pub fn own_share(&self) -> Option<OwnShare> {
        (self.own_slots > 0).then_some(OwnShare {
            slots: self.own_slots,
            total: self.slots.len(),
            since: self.since,
        })
    }
}

/// Returns the slots of a tenant, the same number in each zone. A quota that is too small for that
/// has some of them, selected by their hashes.
fn slots(tenant: TenantHash, max_slots: usize, nodes: &ZoneNodes) -> Vec<Slot> {
    let per_zone = MIN_SLOTS.div_ceil(nodes.by_zone.len().max(1));
    let mut slots = Vec::new();
    for (zone, members) in &nodes.by_zone {
        for index in 0..per_zone {
            let hash = slot_hash(tenant, zone, index);
            let zone = zone.clone();
            let node = top_node(members, hash);
            slots.push((hash, Slot { zone, node }));
        }
    }
    slots.sort_by_key(|(hash, _)| *hash);
    slots.truncate(max_slots);
    slots.into_iter().map(|(_, slot)| slot).collect()
}

fn slot_hash(tenant: TenantHash, zone: &Zone, index: usize) -> u64 {
    let mut hasher = Xxh3::with_seed(tenant.0);
    hasher.update(zone.0.as_bytes());
    hasher.update(&(index as u64).to_be_bytes());
    hasher.digest()
}
