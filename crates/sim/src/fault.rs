//! Fault definitions for scenarios and traces.

use serde::{Deserialize, Serialize};

/// A fault to inject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// A node's process is killed.
    KillNode {
        /// The node.
        node: usize,
        /// Delay before the restart; never restarts if absent.
        restart_millis: Option<u64>,
    },
    /// A node's process is suspended.
    PauseNode {
        /// The node.
        node: usize,
        /// Duration in milliseconds.
        millis: u64,
        /// Whether to suspend in the middle of a step, so that the step's output is sent
        /// only on resumption.
        mid_step: bool,
    },
    /// A planned stop and restart of a node.
    StopNode {
        /// The node.
        node: usize,
        /// Delay before the restart.
        restart_millis: u64,
    },
    /// All nodes are killed at once and restarted.
    KillAllNodes {
        /// Delay before the restart.
        restart_millis: u64,
    },
    /// The leader and the server that owns a key are killed at once.
    KillLeaderAndOwner {
        /// The key.
        key: String,
        /// Delay before both restart.
        restart_millis: u64,
    },
    /// The leader is suspended.
    PauseLeader {
        /// Duration in milliseconds.
        millis: u64,
        /// Whether to suspend in the middle of a step.
        mid_step: bool,
    },
    /// A server's process is killed.
    KillServer {
        /// The server.
        server: usize,
        /// Delay before the restart; never restarts if absent.
        restart_millis: Option<u64>,
    },
    /// A server's machine is partitioned from the network and replaced by another
    /// under the same name and address; the old run may act until its grant expires.
    ReplaceServer {
        /// The server.
        server: usize,
        /// Delay before the new run starts.
        millis: u64,
    },
    /// A server's process is suspended.
    PauseServer {
        /// The server.
        server: usize,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// The server that owns a key is suspended.
    PauseOwner {
        /// The key.
        key: String,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// A server is drained, stopped as planned, restarted and undrained.
    StopServer {
        /// The server.
        server: usize,
    },
    /// A network partition that drops messages from one zone to another.
    CutZones {
        /// Source zone.
        from: usize,
        /// Destination zone.
        to: usize,
        /// Whether the opposite direction is cut too.
        both_ways: bool,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// A zone is partitioned from all other zones and from the key-value service.
    CutZone {
        /// The zone.
        zone: usize,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Grants to a server and its replies are dropped.
    CutServer {
        /// The server.
        server: usize,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// The key-value service does not respond.
    KeyValueDown {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// The key-value service takes seconds to respond.
    KeyValueSlow {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Writes to the key-value service take effect, but their replies are lost.
    KeyValueLosesReplies {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// The network drops, duplicates and delays messages between nodes.
    BadNetwork {
        /// Duration in milliseconds.
        millis: u64,
        /// Share of messages lost, in percent.
        loss_percent: u8,
        /// Share of messages duplicated, in percent.
        duplicate_percent: u8,
        /// Maximum additional delay of a message.
        delay_millis: u64,
    },
    /// Two operators confirm conflicting declarations at the same time.
    OperatorRace,
    /// The platform reports that a server's machine is being reclaimed.
    MachineLeaves {
        /// The server.
        server: usize,
        /// Time until the server is killed and restarted on a new machine.
        millis: u64,
    },
    /// The machine list falsely reports that a server's machine is being reclaimed.
    MachineListLies {
        /// The server.
        server: usize,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// A set of keys ramps up to a share of the requests.
    HotKeys {
        /// Number of keys, taken from the end of the keys in use.
        count: u32,
        /// Their final combined share, in percent.
        share_percent: u8,
        /// Duration of the ramp in milliseconds.
        rise_millis: u64,
        /// Total duration in milliseconds.
        millis: u64,
    },
    /// One key receives most of the requests.
    HotKey {
        /// The key.
        key: String,
        /// Duration in milliseconds.
        millis: u64,
    },
}

impl Fault {
    /// The name that selects this kind with `--faults`.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::KillNode { .. } => "kill-node",
            Fault::PauseNode { .. } => "pause-node",
            Fault::StopNode { .. } => "stop-node",
            Fault::KillAllNodes { .. } => "kill-all-nodes",
            Fault::KillLeaderAndOwner { .. } => "kill-leader-and-owner",
            Fault::PauseLeader { .. } => "pause-leader",
            Fault::KillServer { .. } => "kill-server",
            Fault::ReplaceServer { .. } => "replace-server",
            Fault::PauseServer { .. } => "pause-server",
            Fault::PauseOwner { .. } => "pause-owner",
            Fault::StopServer { .. } => "stop-server",
            Fault::CutZones { .. } => "cut-zones",
            Fault::CutZone { .. } => "cut-zone",
            Fault::CutServer { .. } => "cut-server",
            Fault::KeyValueDown { .. } => "key-value-down",
            Fault::KeyValueSlow { .. } => "key-value-slow",
            Fault::KeyValueLosesReplies { .. } => "key-value-loses-replies",
            Fault::BadNetwork { .. } => "bad-network",
            Fault::OperatorRace => "operator-race",
            Fault::MachineLeaves { .. } => "machine-leaves",
            Fault::MachineListLies { .. } => "machine-list-lies",
            Fault::HotKeys { .. } => "hot-keys",
            Fault::HotKey { .. } => "hot-key",
        }
    }
}

/// A fault and its start time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Start time on the world clock, in milliseconds.
    pub at_millis: u64,
    /// The fault.
    pub fault: Fault,
}
