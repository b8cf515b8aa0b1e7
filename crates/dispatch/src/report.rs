//! What nodes tell one another of the load that they put on upstreams.
//!
//! A report is small enough for a datagram, and may be lost: counts are whole
//! in each report, samples and key loads lost are not missed.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::ShardKey;
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use xxhash_rust::xxh3::xxh3_64;

/// Short name of an upstream in reports.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct UpstreamHash(pub u64);

impl UpstreamHash {
    /// The short name of an upstream.
    pub fn of(id: &UpstreamId) -> Self {
        Self(xxh3_64(id.0.as_bytes()))
    }
}

/// What one node puts on one upstream.
#[derive(Clone, Copy, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: UpstreamHash,
    /// Requests of that node under way there.
    pub in_flight: u16,
    /// Answers since the last report.
    pub samples: u16,
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

/// One node's report.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct LoadReport {
    /// The node's name.
    pub node: String,
    /// Its run.
    pub run: u64,
    /// Counts the node's reports.
    pub sequence: u64,
    /// Whether `upstreams` tells all requests under way.
    pub is_whole: bool,
    /// Upstreams with requests under way, or answers to tell of.
    pub upstreams: Vec<UpstreamLoad>,
    /// Services that `keys` refers to.
    pub services: Vec<ServiceName>,
    /// Requests by key.
    pub keys: Vec<KeyLoad>,
}
