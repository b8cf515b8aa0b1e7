//! Configuration of a node's core, and the guards that tests can disable.

use beamtray_ownership::GranterGuards;
use beamtray_placement::Policy;
use beamtray_settings::TimingSettings;
use beamtray_types::{GroupId, Member, NodeId, Zone};

/// Another node that may belong to the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Its node ID.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
}

/// Settings of a [`crate::NodeCore`].
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// ID and incarnation of this node.
    pub me: Member,
    /// The control group.
    pub group: GroupId,
    /// This node's zone.
    pub zone: Zone,
    /// The other nodes.
    pub peers: Vec<PeerInfo>,
    /// Target number of voters of the group.
    pub voters: usize,
    /// Protocol timing.
    pub timing: TimingSettings,
    /// Maximum duration of a planned stop, in milliseconds.
    pub stop_millis: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Placement policy.
    pub policy: Policy,
    /// Safety guards.
    pub guards: Guards,
}

/// Safety guards that a test can disable one by one to show that a checker
/// detects the resulting fault. All are enabled in production.
#[derive(Clone, Copy, Debug)]
pub struct Guards {
    /// Guards of the grant protocol.
    pub granter: GranterGuards,
    /// Voters withhold their votes while a leader's lease is valid.
    pub withhold_votes: bool,
    /// A leader issues grants only while its own lease is valid.
    pub leader_lease: bool,
    /// An attempt that may have run is never reported as `not run`.
    pub keeps_unknown: bool,
    /// A gate drops duplicate attempts.
    pub drops_duplicates: bool,
    /// A node without recent contact to its group admits no requests.
    pub configuration_lease: bool,
    /// A new generation is founded only after the voters' majority is
    /// permanently lost.
    pub refounding_wait: bool,
    /// A configuration is reported as accepted only once the group has committed
    /// it.
    pub accepts_committed: bool,
    /// A write whose reply is lost is retried and read back.
    pub reads_back: bool,
    /// A change of voters is recorded in the founding record before it takes
    /// effect.
    pub records_voters: bool,
    /// Leaving servers are drained and receive no new slices.
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
