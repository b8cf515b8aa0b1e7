//! Settings of a router node, read from a TOML file.

mod core_config;

use beamtray_resources::MIN_MEMORY_MB;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;

/// Largest memory of a process, in megabytes.
const MAX_MEMORY_MB: u64 = 1_048_576;
/// Version of the settings that this program reads.
pub const SETTINGS_VERSION: u32 = 1;

/// Reasons why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NodeSettingsError {
    /// The file could not be read.
    #[error("{file}: cannot read: {cause}")]
    Read {
        /// Path as given.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// The file is not valid TOML or lacks a field.
    #[error("{file}: {cause}")]
    Parse {
        /// Path as given.
        file: String,
        /// The parser's message, with line and column.
        cause: String,
    },
    /// A value is out of range.
    #[error("{file}:{line}: {field} = {value}: allowed is {allowed}")]
    Range {
        /// Path as given.
        file: String,
        /// Line of the field, from 1; 0 when unknown.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// The invalid value.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
}

/// Addresses on which the node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct ListenSettings {
    /// For clients.
    pub clients: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For other nodes, over TCP and UDP.
    pub peers: SocketAddr,
    /// For metrics collection.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The metadata store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Shortest lease that it grants, in milliseconds.
    #[serde(default)]
    pub least_ttl_ms: u64,
}

/// Guarantees and requirements of the environment.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct BoundSettings {
    /// How long a leaving upstream may still receive requests, in milliseconds.
    pub drain_ms: u64,
    /// How long a node must have been connected to the store to count as connected, in
    /// milliseconds.
    pub contact_ms: u64,
    /// How long a stopping node may take, in seconds.
    pub grace_s: f64,
    /// Retries per request, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in addition in each window.
    pub retry_allowance: f64,
    /// The window, in seconds.
    pub retry_window_s: f64,
    /// How long after an evacuation was accepted the upstreams of its zone may still receive
    /// requests, in milliseconds.
    #[serde(default = "default_evacuate_ms")]
    pub evacuate_ms: u64,
    /// Requests per second that a cold upstream may receive over all nodes, as a multiple of
    /// the rate it announces.
    #[serde(default = "default_cold_overage")]
    pub cold_overage: f64,
    /// Requests per second allowed in addition.
    #[serde(default)]
    pub cold_slack: f64,
    /// Period over which the requests of a tenant are compared with its quota, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Share by which a quota may be exceeded.
    #[serde(default)]
    pub quota_overage: f64,
    /// Requests of a tenant allowed in addition in each period.
    #[serde(default)]
    pub quota_slack: f64,
    /// Whether a node rejects all API keys while it may not know the newest configuration.
    #[serde(default)]
    pub strict_revocation: bool,
    /// How long after it was taken away a key may be accepted, in milliseconds.
    #[serde(default = "default_revoke_ms")]
    pub revoke_ms: u64,
    /// Longest hold of a grant, in milliseconds; 0 where nothing is granted.
    #[serde(default)]
    pub longest_hold_ms: u64,
    /// Interval at which upstreams write their registrations, in milliseconds.
    #[serde(default)]
    pub heartbeat_ms: u64,
}

/// Resources of the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct ProcessLimits {
    /// Share of a processor core.
    #[serde(default = "whole_core")]
    pub processor_share: f64,
    /// Memory, in megabytes: what connections, bodies and answers hold is bounded by it.
    pub memory_mb: u64,
    /// File descriptors: connections are bounded by them.
    pub descriptors: u64,
    /// Bandwidth of its network link in megabits per second, if known to be limited.
    #[serde(default)]
    pub link_mbps: Option<f64>,
}

impl ProcessLimits {
    /// Capacity of the process for work on behalf of other nodes, in thousandths of a core. A
    /// relay sends its zone copies of a hundred kilobytes and more, so a slow link counts like
    /// little processor time.
    fn relay_capacity(&self) -> u32 {
        let processor = self.processor_share * 1_000.0;
        let link = self.link_mbps.map(|mbps| mbps * CAPACITY_PER_MBPS);
        link.map_or(processor, |link| processor.min(link)) as u32
    }
}

/// Settings that take effect without a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReloadableSettings {
    drain_ms: u64,
    cold_overage: f64,
    cold_slack: f64,
    quota_window_s: f64,
    quota_overage: f64,
    quota_slack: f64,
    strict_revocation: bool,
    revoke_ms: u64,
    evacuate_ms: u64,
    contact_ms: u64,
    retry_ratio: f64,
    retry_allowance: f64,
    retry_window_s: f64,
}

/// The shortest time that upstreams take which leave by themselves.
fn default_evacuate_ms() -> u64 {
    2_000
}

fn default_revoke_ms() -> u64 {
    5_000
}

fn default_quota_window_s() -> f64 {
    5.0
}

/// Exactly the rate that upstreams announce.
fn default_cold_overage() -> f64 {
    1.0
}

fn whole_core() -> f64 {
    1.0
}

/// Range check of one value.
struct Check {
    field: &'static str,
    value: String,
    passed: bool,
    allowed: &'static str,
}

impl Check {
    fn new(field: &'static str, value: impl ToString, passed: bool, allowed: &'static str) -> Self {
        Self {
            field,
            value: value.to_string(),
            passed,
            allowed,
        }
    }

    fn error(self, file: &str, text: &str) -> NodeSettingsError {
        let name = self.field.rsplit('.').next().unwrap_or(self.field);
        let assigns_field = |line: &str| {
            let assigned = line.trim_start().split_once('=');
            assigned.is_some_and(|(field, _)| field.trim() == name)
        };
        let line = text.lines().position(assigns_field);
        NodeSettingsError::Range {
            file: file.to_owned(),
            line: line.map_or(0, |index| index + 1),
            field: self.field,
            value: self.value,
            allowed: self.allowed,
        }
    }
}

/// Thousandths of a core that one Mbit/s of bandwidth counts for: at 100 Mbit/s the link does
/// not limit half a core.
const CAPACITY_PER_MBPS: f64 = 5.0;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeSettings {
    /// Version of the settings format.
    pub version: u32,
    /// Name of the node.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// All zones of the deployment, also those without a node at the moment.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Its IP address, from which it opens connections.
    pub ip: IpAddr,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Whether all nodes of the system are starting for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Addresses of other nodes to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The metadata store.
    pub store: StoreSettings,
    /// Guarantees and requirements of the environment.
    pub bounds: BoundSettings,
    /// Resources of the process.
    pub limits: ProcessLimits,
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`NodeSettingsError`] with file and field.
    pub fn load(file: &str) -> Result<Self, NodeSettingsError> {
        let text = std::fs::read_to_string(file).map_err(|error| NodeSettingsError::Read {
            file: file.to_owned(),
            cause: error.to_string(),
        })?;
        Self::parse(file, &text)
    }

    /// Reads and checks settings; `file` is for messages.
    ///
    /// # Errors
    /// [`NodeSettingsError`] with file and field.
    pub fn parse(file: &str, text: &str) -> Result<Self, NodeSettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| NodeSettingsError::Parse {
            file: file.to_owned(),
            cause: error.to_string().trim_end().to_owned(),
        })?;
        settings.check(file, text)?;
        Ok(settings)
    }

    fn check(&self, file: &str, text: &str) -> Result<(), NodeSettingsError> {
        let bounds = &self.bounds;
        let checks = [
            Check::new(
                "version",
                self.version,
                self.version == SETTINGS_VERSION,
                "1",
            ),
            Check::new("node", &self.node, !self.node.is_empty(), "a name"),
            Check::new("zone", &self.zone, !self.zone.is_empty(), "a name"),
            Check::new(
                "bounds.retry_ratio",
                bounds.retry_ratio,
                (0.0..=10.0).contains(&bounds.retry_ratio),
                "0 to 10",
            ),
            Check::new(
                "bounds.retry_allowance",
                bounds.retry_allowance,
                (0.0..=1e6).contains(&bounds.retry_allowance),
                "0 to 1000000",
            ),
            Check::new(
                "bounds.retry_window_s",
                bounds.retry_window_s,
                (1.0..=600.0).contains(&bounds.retry_window_s),
                "1 to 600",
            ),
            Check::new(
                "bounds.cold_overage",
                bounds.cold_overage,
                (0.0..=1e6).contains(&bounds.cold_overage),
                "0 to 1000000",
            ),
            Check::new(
                "bounds.cold_slack",
                bounds.cold_slack,
                (0.0..=1e6).contains(&bounds.cold_slack),
                "0 to 1000000",
            ),
            Check::new(
                "bounds.quota_window_s",
                bounds.quota_window_s,
                (1.0..=600.0).contains(&bounds.quota_window_s),
                "1 to 600",
            ),
            Check::new(
                "bounds.quota_overage",
                bounds.quota_overage,
                (0.0..=10.0).contains(&bounds.quota_overage),
                "0 to 10",
            ),
            Check::new(
                "bounds.quota_slack",
                bounds.quota_slack,
                (0.0..=1e6).contains(&bounds.quota_slack),
                "0 to 1000000",
            ),
            Check::new(
                "bounds.revoke_ms",
                bounds.revoke_ms,
                (500..=600_000).contains(&bounds.revoke_ms),
                "500 to 600000",
            ),
            Check::new(
                "bounds.grace_s",
                bounds.grace_s,
                (0.0..=3_600.0).contains(&bounds.grace_s),
                "0 to 3600",
            ),
            Check::new(
                "bounds.contact_ms",
                bounds.contact_ms,
                (500..=600_000).contains(&bounds.contact_ms),
                "500 to 600000",
            ),
            Check::new(
                "limits.processor_share",
                self.limits.processor_share,
                (0.001..=1024.0).contains(&self.limits.processor_share),
                "0.001 to 1024",
            ),
            Check::new(
                "limits.link_mbps",
                self.limits.link_mbps.unwrap_or_default(),
                self.limits
                    .link_mbps
                    .is_none_or(|mbps| (0.001..=1e6).contains(&mbps)),
                "0.001 to 1000000",
            ),
            Check::new(
                "limits.memory_mb",
                self.limits.memory_mb,
                (MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&self.limits.memory_mb),
                "24 to 1048576",
            ),
            Check::new(
                "limits.descriptors",
                self.limits.descriptors,
                self.limits.descriptors >= 64,
                "64 or more",
            ),
        ];
        match checks.into_iter().find(|check| !check.passed) {
            Some(failed) => Err(failed.error(file, text)),
            None => Ok(()),
        }
    }

    /// The settings that can change in a running process.
    pub(crate) fn reloadable(&self) -> ReloadableSettings {
        let bounds = &self.bounds;
        ReloadableSettings {
            drain_ms: bounds.drain_ms,
            evacuate_ms: bounds.evacuate_ms,
            cold_overage: bounds.cold_overage,
            cold_slack: bounds.cold_slack,
            quota_window_s: bounds.quota_window_s,
            quota_overage: bounds.quota_overage,
            quota_slack: bounds.quota_slack,
            strict_revocation: bounds.strict_revocation,
            revoke_ms: bounds.revoke_ms,
            contact_ms: bounds.contact_ms,
            retry_ratio: bounds.retry_ratio,
            retry_allowance: bounds.retry_allowance,
            retry_window_s: bounds.retry_window_s,
        }
    }

    /// Applies the settings of `next` that can change in a running process.
    pub(crate) fn apply_reloadable(&mut self, next: &Self) {
        let (own, next) = (&mut self.bounds, &next.bounds);
        own.drain_ms = next.drain_ms;
        own.evacuate_ms = next.evacuate_ms;
        own.cold_overage = next.cold_overage;
        own.cold_slack = next.cold_slack;
        own.quota_window_s = next.quota_window_s;
        own.quota_overage = next.quota_overage;
        own.quota_slack = next.quota_slack;
        own.strict_revocation = next.strict_revocation;
        own.revoke_ms = next.revoke_ms;
        own.contact_ms = next.contact_ms;
        own.retry_ratio = next.retry_ratio;
        own.retry_allowance = next.retry_allowance;
        own.retry_window_s = next.retry_window_s;
    }

    /// Names of the differing settings that require a restart. Holds are among them: a granter
    /// must know the longest hold that any other process may have granted.
    pub(crate) fn changes_needing_restart(&self, next: &Self) -> Vec<&'static str> {
        let differences = [
            ("node", self.node != next.node),
            ("zone", self.zone != next.zone),
            ("zones", self.zones != next.zones),
            ("ip", self.ip != next.ip),
            ("listen", self.listen != next.listen),
            ("store", self.store != next.store),
            ("limits", self.limits != next.limits),
            (
                "bounds.longest_hold_ms",
                self.bounds.longest_hold_ms != next.bounds.longest_hold_ms,
            ),
            ("bounds.grace_s", self.bounds.grace_s != next.bounds.grace_s),
            (
                "bounds.heartbeat_ms",
                self.bounds.heartbeat_ms != next.bounds.heartbeat_ms,
            ),
        ];
        let differing = differences.into_iter().filter(|(_, differs)| *differs);
        differing.map(|(name, _)| name).collect()
    }

    /// How long a stopping node may take.
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s.max(1.0))
    }
}
