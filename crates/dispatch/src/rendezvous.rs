//! Rendezvous hashing: selects the nodes that enforce the limits of an upstream or a tenant.
//!
//! All nodes that see the same set select the same ones, and a node that joins or leaves
//! changes nothing else.

use crate::report::{NodeHash, UpstreamHash};

/// Returns the `count` highest-ranked nodes of an upstream, in order of rank.
pub(crate) fn top_ranked(
    nodes: &[NodeHash],
    upstream: UpstreamHash,
    count: usize,
) -> Vec<NodeHash> {
    let mut ranked = nodes.to_vec();
    ranked.sort_by_key(|node| std::cmp::Reverse((weight(*node, upstream), *node)));
    ranked.truncate(count);
    ranked
}

/// Whether a node is among the `count` highest-ranked nodes of an upstream.
pub(crate) fn is_top_ranked(
    own: NodeHash,
    nodes: &[NodeHash],
    upstream: UpstreamHash,
    count: usize,
) -> bool {
    let own_weight = weight(own, upstream);
    let higher = nodes
        .iter()
        .filter(|node| weight(**node, upstream) > own_weight);
    nodes.contains(&own) && higher.count() < count
}

/// Returns the highest-ranked node of a subject that is identified by a hash.
pub(crate) fn top_node(nodes: &[NodeHash], subject: u64) -> Option<NodeHash> {
    let weight = |node: &&NodeHash| {
        let bytes = node.0.to_be_bytes();
        (
            xxhash_rust::xxh3::xxh3_64_with_seed(&bytes, subject),
            **node,
        )
    };
    nodes.iter().max_by_key(weight).copied()
}

fn weight(node: NodeHash, upstream: UpstreamHash) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&node.0.to_be_bytes());
    bytes[4..].copy_from_slice(&upstream.0.to_be_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
