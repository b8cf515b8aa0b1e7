//! Keys and values that the router keeps in the metadata store.

use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use std::net::SocketAddr;

/// Keys of the router's own records.
pub struct OwnKeys;

impl OwnKeys {
    /// Prefix of what tells of nodes; every node watches it.
    pub const MEMBERS: &'static str = "beamtray/members/";
    /// The granter, under its lease.
    pub const GRANTER: &'static str = "beamtray/members/granter";
    /// Highest epoch of a granter.
    pub const EPOCH: &'static str = "beamtray/members/epoch";
    /// Prefix of the nodes, each under its lease.
    pub const NODES: &'static str = "beamtray/members/nodes/";
    /// Prefix of what the granter writes. Nodes read it when they start, then
    /// hear of it from the granter, and read it again only where they don't.
    pub const STATE: &'static str = "beamtray/state/";
    /// Prefix of the assignments, one record for each divided service.
    pub const ASSIGNMENTS: &'static str = "beamtray/state/assignments/";
    /// What was learned of the upstreams' speeds.
    pub const SPEEDS: &'static str = "beamtray/state/speeds";

    /// Key of a node.
    pub fn node(name: &str) -> String {
        format!("{}{name}", Self::NODES)
    }

    /// Key of a service's assignment.
    pub fn assignment(service: &ServiceName) -> String {
        format!("{}{service}", Self::ASSIGNMENTS)
    }
}

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct NodeRecord {
    /// Its name.
    pub name: String,
    /// Its run.
    pub run: u64,
    /// Its zone.
    pub zone: String,
    /// Where it hears other nodes.
    pub peers: SocketAddr,
    /// Thousandths of a processor core that it may use.
    pub capacity: u32,
    /// Whether it declines to prolong holds for a granter that it does not hear.
    pub declines_standby: bool,
}
