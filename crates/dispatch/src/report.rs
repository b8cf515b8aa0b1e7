//! What nodes tell one another of the load that they put on upstreams.
//!
//! A report is small, since it is sent often: a few dozen bytes in a datagram.
//! It may be lost: requests under way are whole in each report, samples and
//! key loads that are lost are not missed.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::ShardKey;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Short name of an upstream in reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct UpstreamHash(pub u32);

impl UpstreamHash {
    /// The short name of an upstream, which another incarnation does not share.
    pub fn of(id: &UpstreamId) -> Self {
        let birth = id.started_at.map_or(0, |birth| birth.0);
        Self(xxh3_64_with_seed(id.name.0.as_bytes(), birth) as u32)
    }
}

/// Short name of a node in reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct NodeHash(pub u32);

impl NodeHash {
    /// The short name of a node.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Requests of one node under way at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct InFlight {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// How many.
    pub requests: u8,
}

/// Answers of one upstream since the last report.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Answers {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// How many.
    pub samples: u8,
    /// Their times relative to their routes' means, summed.
    pub sum: f32,
    /// Answers that told of a failure; they are not among the samples.
    pub failures: u8,
}

/// Requests for one key since the last report.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct KeyLoad {
    /// Index into the report's services.
    pub service: u8,
    /// The key.
    pub key: ShardKey,
    /// How many.
    pub requests: u16,
}

/// One node's report of requests under way.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LoadReport {
    /// The node.
    pub node: NodeHash,
    /// Its run.
    pub run: u32,
    /// Counts the node's reports.
    pub sequence: u32,
    /// All requests of the node under way.
    pub in_flight: Vec<InFlight>,
    /// Answers since the last report.
    pub answers: Vec<Answers>,
}

/// The report of one node that a sum contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Contained {
    /// The node.
    pub node: NodeHash,
    /// Which of its reports.
    pub sequence: u32,
}

/// Requests of many nodes under way, as a relay sums them. Where there are many
/// nodes each hears of the others by such sums alone.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct LoadSum {
    /// Counts the relay's sums.
    pub sequence: u32,
    /// A sum that does not fit a datagram comes in parts, by the upstreams'
    /// hashes; this is one of them.
    pub part: u8,
    /// Number of the parts.
    pub parts: u8,
    /// Requests under way at the upstreams of this part.
    pub in_flight: Vec<InFlight>,
    /// Reports that are in the sum.
    pub contains: Vec<Contained>,
}

/// Upstreams in one part of a sum.
const PART_UPSTREAMS: usize = 180;

/// Divides counts into parts that each fit a datagram.
pub(crate) fn divide(
    sequence: u32,
    counts: Vec<(UpstreamHash, u32)>,
    contains: &[Contained],
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

/// One node's report of requests by key, for the granter.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct KeyReport {
    /// Services that `keys` refers to.
    pub services: Vec<ServiceName>,
    /// Requests by key.
    pub keys: Vec<KeyLoad>,
}
