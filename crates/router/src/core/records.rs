//! Keys and values that the router keeps in the metadata store.

use beamtray_dispatch::SpeedRecord;
use beamtray_sharding::{AssignmentPart, Part};
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use std::io;
use std::net::SocketAddr;

/// Keys of the router's own records.
pub struct RouterKeys;

impl RouterKeys {
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
    /// Prefix of the assignments.
    pub const ASSIGNMENTS: &'static str = "beamtray/state/assignments/";
    /// Prefix of their heads, one for each divided service.
    const HEADS: &'static str = "beamtray/state/assignments/head/";
    /// What was learned of the upstreams' speeds.
    pub const SPEEDS: &'static str = "beamtray/state/speeds";
    /// Requests that end upstreams.
    pub const SUSPICIONS: &'static str = "beamtray/state/suspicions";

    /// Key of a node.
    pub fn node(name: &str) -> String {
        format!("{}{name}", Self::NODES)
    }

    /// Key of the head of a service's assignment.
    pub fn assignment_head(service: &ServiceName) -> String {
        format!("{}{service}", Self::HEADS)
    }

    /// Key of one part of a service's assignment.
    pub fn assignment_part(service: &ServiceName, part: Part) -> String {
        format!("{}{:02}/{service}", Self::ASSIGNMENTS, part.number())
    }

    /// What a key below [`RouterKeys::ASSIGNMENTS`] stands for.
    pub fn assignment_key(key: &str) -> Option<AssignmentKey> {
        if let Some(service) = key.strip_prefix(Self::HEADS) {
            return Some(AssignmentKey::Head(service.into()));
        }
        let (number, service) = key.strip_prefix(Self::ASSIGNMENTS)?.split_once('/')?;
        let part = Part::numbered(number.parse().ok()?)?;
        Some(AssignmentKey::Part(service.into(), part))
    }
}

/// What a key of an assignment stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignmentKey {
    /// The head of a service's assignment.
    Head(ServiceName),
    /// One part of it.
    Part(ServiceName, Part),
}

/// What a key of a record stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RouterRecord {
    /// The granter.
    Granter,
    /// The node of that name.
    Node(String),
    /// The head of a service's assignment.
    Head(ServiceName),
    /// One part of it.
    Part(ServiceName, Part),
    /// What was learned of the upstreams' speeds.
    Speeds,
    /// Requests that end upstreams.
    Suspicions,
}

impl RouterRecord {
    /// What that key stands for, if the router's views take it.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(assignment) = RouterKeys::assignment_key(key) {
            return Some(match assignment {
                AssignmentKey::Head(service) => Self::Head(service),
                AssignmentKey::Part(service, part) => Self::Part(service, part),
            });
        }
        if let Some(name) = key.strip_prefix(RouterKeys::NODES) {
            return Some(Self::Node(name.to_owned()));
        }
        match key {
            RouterKeys::GRANTER => Some(Self::Granter),
            RouterKeys::SPEEDS => Some(Self::Speeds),
            RouterKeys::SUSPICIONS => Some(Self::Suspicions),
            _ => None,
        }
    }
}

/// Reads one part of an assignment from the value of its key.
///
/// # Errors
/// When the value is none, or is another part.
pub(crate) fn decode_part(part: Part, value: &[u8]) -> io::Result<AssignmentPart> {
    let decoded = AssignmentPart::try_from_slice(value)?;
    if decoded.part != part {
        return Err(invalid("this is another part"));
    }
    Ok(decoded)
}

/// Reads what was learned of speeds.
///
/// # Errors
/// When the value is no such record, or a figure in it is no time: capacities are reckoned
/// from them.
pub(crate) fn decode_speeds(value: &[u8]) -> io::Result<SpeedRecord> {
    let record = SpeedRecord::try_from_slice(value)?;
    let slowness = record.upstreams.iter().map(|row| row.slowness);
    let means = record.routes.iter().chain(&record.services);
    let seconds = means.map(|row| row.seconds);
    let is_time = |figure: f32| figure.is_finite() && figure >= 0.0;
    if slowness.chain(seconds).all(is_time) {
        Ok(record)
    } else {
        Err(invalid("a speed is no number above zero"))
    }
}

fn invalid(cause: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
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
    /// Thousandths of a processor core that it may use, fewer if its link is narrow.
    pub capacity: u32,
    /// Whether it declines to prolong holds for a granter that it does not hear.
    pub declines_standby: bool,
}
