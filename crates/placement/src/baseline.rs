//! Baseline policies: a consistent-hash ring and plain modulo.

use beamtray_types::{KeyHash, ServerName, SliceRange};
use std::collections::BTreeMap;

/// Number of points of each server on the ring.
const VIRTUAL_NODES: u32 = 100;

/// Owners of `ranges` on a consistent-hash ring of `servers`.
pub fn ring_targets(ranges: &[SliceRange], servers: &[ServerName]) -> Vec<Option<ServerName>> {
    let mut ring = BTreeMap::new();
    for server in servers {
        for number in 0..VIRTUAL_NODES {
            let point = KeyHash::of(&format!("{server}#{number}")).0;
            ring.insert(point, server);
        }
    }
    ranges
        .iter()
        .map(|range| {
            let after = ring.range(range.first..).next();
            let wrapped = after.or_else(|| ring.iter().next());
            wrapped.map(|(_, server)| (*server).clone())
        })
        .collect()
}

/// Owners of `ranges` by position modulo the number of `servers`.
pub fn modulo_targets(ranges: &[SliceRange], servers: &[ServerName]) -> Vec<Option<ServerName>> {
    (0..ranges.len())
        .map(|position| servers.get(position % servers.len().max(1)).cloned())
        .collect()
}
