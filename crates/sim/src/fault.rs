//! Faults as plain data.

use serde::{Deserialize, Serialize};

/// Something that fails.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Fault {
    /// A node's process is killed.
    KillNode {
        /// The node.
        node: usize,
        /// Starts again after this; never when absent.
        restart_millis: Option<u64>,
    },
    /// A node's process is frozen.
    PauseNode {
        /// The node.
        node: usize,
        /// For how long.
        millis: u64,
        /// In the middle of a step: what it decided is sent only at its thaw.
        mid_step: bool,
    },
    /// A node is stopped as planned and started again.
    StopNode {
        /// The node.
        node: usize,
        /// Starts again after this.
        restart_millis: u64,
    },
    /// All nodes are killed at once and start again.
    KillAllNodes {
        /// Start again after this.
        restart_millis: u64,
    },
    /// The leading node and the server that owns a key are killed together.
    KillLeaderAndOwner {
        /// The key.
        key: String,
        /// Both start again after this.
        restart_millis: u64,
    },
    /// The leading node is frozen.
    PauseLeader {
        /// For how long.
        millis: u64,
        /// In the middle of a step.
        mid_step: bool,
    },
    /// A server's process is killed.
    KillServer {
        /// The server.
        server: usize,
        /// Starts again after this; never when absent.
        restart_millis: Option<u64>,
    },
    /// A server's machine is cut off and replaced by another under the same
    /// name and address; the old run may act until its grant lapses.
    ReplaceServer {
        /// The server.
        server: usize,
        /// The new run starts after this.
        millis: u64,
    },
    /// A server's process is frozen.
    PauseServer {
        /// The server.
        server: usize,
        /// For how long.
        millis: u64,
    },
    /// The server that owns a key is frozen.
    PauseOwner {
        /// The key.
        key: String,
        /// For how long.
        millis: u64,
    },
    /// A server is drained, then stopped as planned, started again and filled.
    StopServer {
        /// The server.
        server: usize,
    },
    /// Messages from one zone to another are lost.
    CutZones {
        /// From this zone.
        from: usize,
        /// To this zone.
        to: usize,
        /// Also the other way.
        both_ways: bool,
        /// For how long.
        millis: u64,
    },
    /// A zone loses all others and the key-value service.
    CutZone {
        /// The zone.
        zone: usize,
        /// For how long.
        millis: u64,
    },
    /// Grants to a server, and its replies, are lost.
    CutServer {
        /// The server.
        server: usize,
        /// For how long.
        millis: u64,
    },
    /// The key-value service answers nothing.
    KeyValueDown {
        /// For how long.
        millis: u64,
    },
    /// The key-value service takes seconds.
    KeyValueSlow {
        /// For how long.
        millis: u64,
    },
    /// Writes take effect and their replies are lost.
    KeyValueLosesReplies {
        /// For how long.
        millis: u64,
    },
    /// The network loses, doubles and delays messages between nodes.
    BadNetwork {
        /// For how long.
        millis: u64,
        /// Share of messages lost, in percent.
        loss_percent: u8,
        /// Share of messages that come twice, in percent.
        duplicate_percent: u8,
        /// Messages are delayed by up to this.
        delay_millis: u64,
    },
    /// Two operators confirm conflicting declarations at the same moment.
    OperatorRace,
    /// The platform says that a server's machine is leaving.
    MachineLeaves {
        /// The server.
        server: usize,
        /// Until then; it is killed then and starts again on a new machine.
        millis: u64,
    },
    /// The machine list falsely says that a server's machine is leaving.
    MachineListLies {
        /// The server.
        server: usize,
        /// For how long.
        millis: u64,
    },
    /// Some keys together rise to a share of the requests.
    HotKeys {
        /// How many; the last ones in use.
        count: u32,
        /// Their share in the end, in percent.
        share_percent: u8,
        /// How long the rise takes.
        rise_millis: u64,
        /// For how long in all.
        millis: u64,
    },
    /// One key takes most of the requests.
    HotKey {
        /// The key.
        key: String,
        /// For how long.
        millis: u64,
    },
}

impl Fault {
    /// The name by which `--faults` selects it.
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

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduledFault {
    /// Milliseconds of the world's clock.
    pub at_millis: u64,
    /// The fault.
    pub fault: Fault,
}
