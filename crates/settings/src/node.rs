//! A node's settings file.

use crate::SettingsError;
use crate::error::{line_of, parse, read};
use beamtray_types::{GroupId, NodeId, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of one node. Command-line flags of the same name override the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// This node's number.
    pub node: NodeId,
    /// Control group that the node belongs to. Default 0.
    #[serde(default)]
    pub group: GroupId,
    /// Zone that the node runs in.
    pub zone: Zone,
    /// Listen address for callers. Port 0 picks a free port.
    pub callers: SocketAddr,
    /// Listen address for other nodes.
    pub peers: SocketAddr,
    /// Listen address for operators, metrics and probes.
    pub operators: SocketAddr,
    /// Address of the platform's key-value service.
    pub key_value: SocketAddr,
    /// Address of the platform's machine list, if the platform has one.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
    /// Target number of voters in a control group: 1, 3 or 5. Default 3.
    #[serde(default = "default_voters")]
    pub voters: usize,
    /// Number of threads that call servers. Default 32.
    #[serde(default = "default_workers")]
    pub upstream_workers: usize,
    /// Maximum number of concurrent caller connections. Default 2048.
    #[serde(default = "default_connections")]
    pub caller_connections: usize,
    /// Maximum body size of a caller's request, in bytes. Default 1 MiB.
    #[serde(default = "default_body")]
    pub max_body_bytes: usize,
    /// Maximum time that a graceful shutdown waits for requests in flight, in
    /// milliseconds. Default 10 s.
    #[serde(default = "default_stop")]
    pub stop_millis: u64,
    /// Protocol timing.
    #[serde(default)]
    pub timing: TimingSettings,
    /// The nodes of the group; this node may be omitted.
    #[serde(default, rename = "peer")]
    pub peer_nodes: Vec<PeerSettings>,
}

/// Settings of a peer node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Number of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: Zone,
    /// Address on which it listens for other nodes.
    pub address: SocketAddr,
}

/// Protocol timing in milliseconds. With the defaults, recovery from the
/// simultaneous loss of leader and owner takes less than 4 s; docs/DESIGN.md
/// gives the calculation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Interval between heartbeats of a leader. Default 150.
    pub heartbeat_millis: u64,
    /// Lease that a leader holds after responses from a majority. Default 600.
    pub leader_lease_millis: u64,
    /// Minimum election timeout; the maximum is 1.6 times this. Default 700.
    pub election_millis: u64,
    /// Interval between renewals of a server's grants. Default 400.
    pub renewal_millis: u64,
    /// Lifetime of a grant on the server's clock. Default 1500.
    pub grant_millis: u64,
    /// Maximum time that a node admits requests without contact to its group.
    /// Default 2500.
    pub configuration_lease_millis: u64,
    /// Upper bound on the relative drift of two clocks, in parts per thousand.
    /// Default 20.
    pub drift_per_mille: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_millis: 150,
            leader_lease_millis: 600,
            election_millis: 700,
            renewal_millis: 400,
            grant_millis: 1_500,
            configuration_lease_millis: 2_500,
            drift_per_mille: 20,
        }
    }
}

impl TimingSettings {
    /// Returns the longest time that a duration on another clock can take on
    /// this one, given the maximum drift.
    pub fn with_drift(&self, duration: Duration) -> Duration {
        duration + duration.mul_f64(self.drift_per_mille as f64 / 1_000.0)
    }

    /// Returns the lifetime of a grant on the server's clock.
    pub fn grant(&self) -> Duration {
        Duration::from_millis(self.grant_millis)
    }

    /// Returns the maximum lifetime of a grant on the granter's clock.
    pub fn grant_bound(&self) -> Duration {
        self.with_drift(self.grant())
    }

    /// Returns the lease of a leader on its own clock.
    pub fn leader_lease(&self) -> Duration {
        Duration::from_millis(self.leader_lease_millis)
    }

    /// Returns the maximum time that a node admits requests without contact to
    /// its group.
    pub fn configuration_lease(&self) -> Duration {
        Duration::from_millis(self.configuration_lease_millis)
    }

    /// Returns the interval between grant renewals.
    pub fn renewal(&self) -> Duration {
        Duration::from_millis(self.renewal_millis)
    }

    /// Returns the minimum election timeout.
    pub fn election(&self) -> Duration {
        Duration::from_millis(self.election_millis)
    }

    /// Returns the interval between heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_millis)
    }

    fn check(&self) -> Result<(), (&'static str, u64, String)> {
        let with_drift = |millis: u64| millis + millis * self.drift_per_mille / 1_000 + 1;
        if self.drift_per_mille > 200 {
            return Err(("drift_per_mille", self.drift_per_mille, "0 to 200".into()));
        }
        if !(10..=10_000).contains(&self.heartbeat_millis) {
            return Err((
                "heartbeat_millis",
                self.heartbeat_millis,
                "10 to 10000".into(),
            ));
        }
        if self.leader_lease_millis < 2 * self.heartbeat_millis {
            let allowed = "at least twice heartbeat_millis".into();
            return Err(("leader_lease_millis", self.leader_lease_millis, allowed));
        }
        if self.election_millis < with_drift(self.leader_lease_millis) {
            let allowed = "more than leader_lease_millis stretched by the drift".into();
            return Err(("election_millis", self.election_millis, allowed));
        }
        if self.grant_millis < 2 * self.renewal_millis || self.renewal_millis == 0 {
            let allowed = "at least twice renewal_millis, which is above 0".into();
            return Err(("grant_millis", self.grant_millis, allowed));
        }
        if !(500..=11_000).contains(&self.configuration_lease_millis) {
            let allowed = "500 to 11000".into();
            let value = self.configuration_lease_millis;
            return Err(("configuration_lease_millis", value, allowed));
        }
        Ok(())
    }
}

fn default_voters() -> usize {
    3
}

fn default_workers() -> usize {
    32
}

fn default_connections() -> usize {
    2_048
}

fn default_body() -> usize {
    1024 * 1024
}

fn default_stop() -> u64 {
    10_000
}

impl NodeSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] with the file, the line, the field and the allowed values.
    pub fn load(file: &str) -> Result<Self, SettingsError> {
        Self::parse(file, &read(file)?)
    }

    /// Parses and validates settings; `file` is only used in error messages.
    ///
    /// # Errors
    /// Same as [`NodeSettings::load`].
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse(file, text)?;
        settings.check(file, text)?;
        Ok(settings)
    }

    /// Validates the ranges, of a file or of a file with flags applied.
    ///
    /// # Errors
    /// [`SettingsError::Range`] for the first invalid value.
    pub fn check(&self, file: &str, text: &str) -> Result<(), SettingsError> {
        self.check_values()
            .map_err(|(field, value, allowed)| SettingsError::Range {
                file: file.to_owned(),
                line: line_of(text, field),
                field: field.to_owned(),
                value,
                allowed,
            })
    }

    fn check_values(&self) -> Result<(), (&'static str, String, String)> {
        let within = |field, value: usize, allowed: std::ops::RangeInclusive<usize>| {
            if allowed.contains(&value) {
                return Ok(());
            }
            let range = format!("{} to {}", allowed.start(), allowed.end());
            Err((field, value.to_string(), range))
        };
        if ![1, 3, 5].contains(&self.voters) {
            return Err(("voters", self.voters.to_string(), "1, 3 or 5".into()));
        }
        within("upstream_workers", self.upstream_workers, 1..=1_024)?;
        within("caller_connections", self.caller_connections, 1..=65_536)?;
        within("max_body_bytes", self.max_body_bytes, 1..=16 * 1024 * 1024)?;
        within("stop_millis", self.stop_millis as usize, 100..=600_000)?;
        let mut seen = BTreeSet::new();
        for peer in &self.peer_nodes {
            if !seen.insert(peer.node) {
                let allowed = "a node number used once".into();
                return Err(("peer", peer.node.to_string(), allowed));
            }
        }
        self.timing
            .check()
            .map_err(|(field, value, allowed)| (field, value.to_string(), allowed))
    }
}
