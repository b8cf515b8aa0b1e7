//! What nodes tell one another of the load that they put on upstreams.
//!
//! A report is small, since it is sent often: a few dozen bytes in a datagram.
//! It may be lost: requests under way are whole in each report, samples and
//! key loads that are lost are not missed.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::ShardKey;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

/// Short name of an upstream in reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct UpstreamHash(pub u32);

impl UpstreamHash {
    /// The short name of an upstream.
    pub fn of(id: &UpstreamId) -> Self {
        Self(xxh3_64(id.0.as_bytes()) as u32)
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

/// One node's report of requests by key, for the granter.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct KeyReport {
    /// Services that `keys` refers to.
    pub services: Vec<ServiceName>,
    /// Requests by key.
    pub keys: Vec<KeyLoad>,
}
