//! Keys and values that the router stores in the metadata store.

use beamtray_dispatch::SpeedRecord;
use beamtray_sharding::{AssignmentPart, Part};
use beamtray_types::ServiceName;
use borsh::{BorshDeserialize, BorshSerialize};
use std::io;
use std::net::SocketAddr;

/// Store keys of the router's own records.
pub struct RouterKeys;

impl RouterKeys {
    /// Prefix of the membership records; every node watches it.
    pub const MEMBERS: &'static str = "beamtray/members/";
    /// The current granter, written under its lease.
    pub const GRANTER: &'static str = "beamtray/members/granter";
    /// Highest epoch that any granter has had.
    pub const EPOCH: &'static str = "beamtray/members/epoch";
    /// Prefix of the node registrations, each under its own lease.
    pub const NODES: &'static str = "beamtray/members/nodes/";
    /// Prefix of the records that the granter writes. Nodes read them at startup and then receive
    /// changes from the granter; they read the store again only when they no longer hear the
    /// granter.
    pub const STATE: &'static str = "beamtray/state/";
    /// Prefix of the assignments.
    pub const ASSIGNMENTS: &'static str = "beamtray/state/assignments/";
    /// Prefix of the assignment heads, one per sharded service.
    const HEADS: &'static str = "beamtray/state/assignments/head/";
    /// The measured upstream speeds.
    pub const SPEEDS: &'static str = "beamtray/state/speeds";
    /// The suspected poison requests.
    pub const SUSPICIONS: &'static str = "beamtray/state/suspicions";

    /// Key of a node's registration.
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

    /// Parses a key below [`RouterKeys::ASSIGNMENTS`].
    pub fn assignment_key(key: &str) -> Option<AssignmentKey> {
        if let Some(service) = key.strip_prefix(Self::HEADS) {
            return Some(AssignmentKey::Head(service.into()));
        }
        let (number, service) = key.strip_prefix(Self::ASSIGNMENTS)?.split_once('/')?;
        let part = Part::from_number(number.parse().ok()?)?;
        Some(AssignmentKey::Part(service.into(), part))
    }
}

/// The record that an assignment key identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignmentKey {
    /// The head of a service's assignment.
    Head(ServiceName),
    /// One part of a service's assignment.
    Part(ServiceName, Part),
}

/// The record that a key of the router identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RouterRecord {
    /// The current granter.
    Granter,
    /// The registration of the named node.
    Node(String),
    /// The head of a service's assignment.
    Head(ServiceName),
    /// One part of a service's assignment.
    Part(ServiceName, Part),
    /// The measured upstream speeds.
    Speeds,
    /// The suspected poison requests.
    Suspicions,
}

impl RouterRecord {
    /// Parses a key; `None` if the views don't use it.
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

/// Decodes one part of an assignment.
///
/// # Errors
/// If the value is malformed or belongs to another part.
pub(crate) fn decode_part(part: Part, value: &[u8]) -> io::Result<AssignmentPart> {
    let decoded = AssignmentPart::try_from_slice(value)?;
    if decoded.part != part {
        return Err(invalid("value belongs to another part"));
    }
    Ok(decoded)
}

/// Decodes the measured speeds.
///
/// # Errors
/// If the value is malformed, or a figure in it is not a finite non-negative time: capacities are
/// computed from these figures.
pub(crate) fn decode_speeds(value: &[u8]) -> io::Result<SpeedRecord> {
    let record = SpeedRecord::try_from_slice(value)?;
    let slowness = record.upstreams.iter().map(|row| row.slowness);
    let means = record.routes.iter().chain(&record.services);
    let seconds = means.map(|row| row.seconds);
    let is_time = |figure: f32| figure.is_finite() && figure >= 0.0;
    if slowness.chain(seconds).all(is_time) {
        Ok(record)
    } else {
        Err(invalid("speed is not a finite non-negative number"))
    }
}

fn invalid(cause: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}

/// A node's registration.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct NodeRecord {
    /// The node's name.
    pub name: String,
    /// Identifies the run of the process: it changes with every restart.
    pub run: u64,
    /// The node's zone.
    pub zone: String,
    /// Address at which the node receives messages of other nodes.
    pub peers: SocketAddr,
    /// Processor share in thousandths of a core, reduced for nodes with a slow link.
    pub capacity: u32,
    /// Whether the node declines to prolong holds on behalf of a granter that it can't hear.
    pub declines_standby: bool,
}
