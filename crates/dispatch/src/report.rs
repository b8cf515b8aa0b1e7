//! Load reports that nodes exchange.
//!
//! Reports are sent often and are small, a few dozen bytes in a datagram. They may be lost:
//! each report contains all requests in flight, and lost samples and key loads do no harm.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::ShardKey;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Short hash that identifies an upstream in reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct UpstreamHash(pub u32);

impl UpstreamHash {
    /// Hashes an upstream id; another incarnation has another hash.
    pub fn of(id: &UpstreamId) -> Self {
        let birth = id.started_at.map_or(0, |birth| birth.0);
        Self(xxh3_64_with_seed(id.name.0.as_bytes(), birth) as u32)
    }
}

/// Short hash that identifies a node in reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct NodeHash(pub u32);

impl NodeHash {
    /// Hashes a node name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Requests of one node in flight at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct InFlight {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Number of requests.
    pub requests: u8,
}

/// Responses of one upstream since the last report.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AnswerStats {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Number of samples.
    pub samples: u8,
    /// Sum of the response times, each relative to the mean of its route.
    pub sum: f32,
    /// Number of failure responses, which are not among the samples.
    pub failures: u8,
}

/// Requests for one key since the last report.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct KeyLoad {
    /// Index into the report's services.
    pub service: u8,
    /// The key.
    pub key: ShardKey,
    /// Number of requests.
    pub requests: u16,
}

/// One node's report of its requests in flight.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LoadReport {
    /// The reporting node.
    pub node: NodeHash,
    /// Identifies the node's process.
    pub run: u32,
    /// Sequence number of the report.
    pub sequence: u32,
    /// All requests of the node in flight.
    pub in_flight: Vec<InFlight>,
    /// Responses since the last report.
    pub answers: Vec<AnswerStats>,
}

/// A report that is included in a sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct IncludedReport {
    /// The reporting node.
    pub node: NodeHash,
    /// Sequence number of the report.
    pub sequence: u32,
}

/// Sum of the requests in flight of many nodes, built by a relay. In large deployments a node
/// learns of the others only from such sums.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadSum {
    /// Sequence number of the relay's sum.
    pub sequence: u32,
    /// Index of this part. A sum that does not fit into a datagram is split by upstream hash.
    pub part: u8,
    /// Number of parts.
    pub parts: u8,
    /// Requests in flight at the upstreams of this part.
    pub in_flight: Vec<InFlight>,
    /// Reports included in the sum.
    pub contains: Vec<IncludedReport>,
}

/// Number of upstreams per part, so that a part fits into a datagram.
const PART_UPSTREAMS: usize = 180;

/// Splits counts into parts that each fit into a datagram.
pub(crate) fn divide(
    sequence: u32,
    counts: Vec<(UpstreamHash, u32)>,
    contains: &[IncludedReport],
) -> Vec<LoadSum> {
    let parts = counts.len().div_ceil(PART_UPSTREAMS).clamp(1, 255) as u8;
    let mut sums: Vec<LoadSum> = (0..parts)
        .map(|part| LoadSum {
            sequence,
            part,
            parts,
            in_flight: Vec::new(),
            contains: contains.to_vec(),
        })
        .collect();
    for (upstream, requests) in counts {
        let part = upstream.0 as usize % usize::from(parts);
        sums[part].in_flight.push(InFlight {
            upstream,
            requests: requests.min(u32::from(u8::MAX)) as u8,
        });
    }
    sums
}

/// One node's report of requests per key, for the granter.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct KeyReport {
    /// Services that `keys` refers to.
    pub services: Vec<ServiceName>,
    /// Requests per key.
    pub keys: Vec<KeyLoad>,
}
