//! Settings of a node's core, and the guards that tests switch off.

use beamtray_ownership::GranterGuards;
use beamtray_placement::Policy;
use beamtray_settings::TimingSettings;
use beamtray_types::{GroupId, Member, NodeId, Zone};

/// Another node that may belong to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Its number.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
}

/// Settings of a [`crate::NodeCore`].
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This run of this node.
    pub me: Member,
    /// The control group.
    pub group: GroupId,
    /// This node's zone.
    pub zone: Zone,
    /// The other nodes.
    pub peers: Vec<PeerInfo>,
    /// Voters that the group should have.
    pub voters: usize,
    /// Protocol timing.
    pub timing: TimingSettings,
    /// Longest time that a planned stop takes, in milliseconds.
    pub stop_millis: u64,
    /// Seed of every random choice.
    pub seed: u64,
    /// Placement policy.
    pub policy: Policy,
    /// Protections.
    pub guards: Guards,
}

/// Protections that a test can switch off one by one, to show that a checker
/// notices. A running node has them all on.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Those of granting.
    pub granter: GranterGuards,
    /// Voters withhold their vote during a leader's lease.
    pub withhold_votes: bool,
    /// A leader grants only under its own lease.
    pub leader_lease: bool,
    /// A try that may have run is never called `not run`.
    pub keeps_unknown: bool,
    /// A gate drops a try that comes twice.
    pub drops_duplicates: bool,
    /// A node without word from its group admits no request.
    pub configuration_lease: bool,
    /// Founding again waits until a majority of voters is lost for good.
    pub refounding_wait: bool,
    /// A configuration is called accepted only once the group has committed it.
    pub accepts_committed: bool,
    /// A write whose reply is lost is written again and read back.
    pub reads_back: bool,
    /// A change of voters is in the founding record before it takes effect.
    pub records_voters: bool,
    /// Servers that leave receive nothing new.
    pub drains: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            granter: GranterGuards::default(),
            withhold_votes: true,
            leader_lease: true,
            keeps_unknown: true,
            drops_duplicates: true,
            configuration_lease: true,
            refounding_wait: true,
            accepts_committed: true,
            reads_back: true,
            records_voters: true,
            drains: true,
        }
    }
}
