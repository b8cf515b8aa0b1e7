//! The declaration of services, their servers and their request handling.

use crate::SettingsError;
use crate::error::{line_of, parse, read};
use beamtray_types::{ServerName, ServiceName, Zone};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of servers in a declaration.
pub const MAX_SERVERS: usize = 10_000;
/// Maximum number of initial slices per server of a service.
pub const MAX_SLICES_PER_SERVER: u32 = 256;
const MAX_SLOTS: u32 = 1_024;
const MAX_QUEUE: u32 = 100_000;
const DEADLINE_MILLIS: std::ops::RangeInclusive<u64> = 10..=120_000;
const MAX_REASSIGN_MILLIS: u64 = 10_000;

/// The operators' declaration, as kept in version control.
#[derive(
    Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// The services.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceDeclaration>,
}

/// How requests of a service are assigned to servers.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Default,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// Each key is owned by exactly one server.
    #[default]
    Keyed,
    /// Any back end can serve any request.
    Pool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// Name, which is also the first segment of a request path.
    pub name: ServiceName,
    /// Keyed service or pool.
    #[serde(default)]
    pub division: Division,
    /// Number of slices per server when a keyed service is created.
    #[serde(default = "default_slices")]
    pub slices_per_server: u32,
    /// Cost of moving a slice, as a fraction of the mean load per server. A
    /// rebalancing move must gain more than this: 0 moves slices freely, 1
    /// almost never.
    #[serde(default = "default_move_cost")]
    pub move_cost: f64,
    /// How long an unresponsive server keeps its slices after its grants have
    /// expired, in milliseconds, in case it returns. Reduces churn at the cost
    /// of unavailability.
    #[serde(default)]
    pub reassign_after_millis: u64,
    /// Maximum duration of a request, in milliseconds, unless its caller sets
    /// a shorter deadline.
    #[serde(default = "default_deadline")]
    pub deadline_millis: u64,
    /// Maximum number of queued requests per server.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Retry budget as a fraction of requests.
    #[serde(default = "default_retry_share")]
    pub retry_share: f64,
    /// Rules for which requests may be retried; the first matching rule applies.
    #[serde(default, rename = "rule")]
    pub rules: Vec<RequestRule>,
    /// The servers or back ends.
    #[serde(default, rename = "server")]
    pub servers: Vec<ServerDeclaration>,
}

/// A rule for whether matching requests may be retried.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRule {
    /// HTTP method, or `*`.
    pub method: String,
    /// Prefix of the path after the service and the key, such as `/transfer`.
    #[serde(default)]
    pub path: String,
    /// Whether executing such a request twice is harmless.
    pub repeatable: bool,
}

/// One keyed server or back end.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDeclaration {
    /// Unique name.
    pub name: ServerName,
    /// IP address and port.
    pub address: SocketAddr,
    /// Zone that the server runs in.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the server is to be drained.
    #[serde(default)]
    pub drain: bool,
}

fn default_slices() -> u32 {
    16
}

fn default_move_cost() -> f64 {
    0.1
}

fn default_deadline() -> u64 {
    5_000
}

fn default_queue() -> u32 {
    512
}

fn default_retry_share() -> f64 {
    0.1
}

fn default_slots() -> u32 {
    2
}

impl Declaration {
    /// Reads and validates a declaration file.
    ///
    /// # Errors
    /// [`SettingsError`] with the file, the field and the allowed values.
    pub fn load(file: &str) -> Result<Self, SettingsError> {
        Self::parse(file, &read(file)?)
    }

    /// Parses and validates a declaration; `file` is only used in error messages.
    ///
    /// # Errors
    /// Same as [`Declaration::load`].
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let declaration: Self = parse(file, text)?;
        declaration.check(file, text)?;
        Ok(declaration)
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceDeclaration> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns the server named `name` and its service.
    pub fn server(&self, name: &ServerName) -> Option<(&ServiceDeclaration, &ServerDeclaration)> {
        self.services.iter().find_map(|service| {
            let server = service.servers.iter().find(|server| server.name == *name)?;
            Some((service, server))
        })
    }

    /// Validates the constraints that the types do not express.
    ///
    /// # Errors
    /// [`SettingsError::Range`] for the first invalid value.
    pub fn check(&self, file: &str, text: &str) -> Result<(), SettingsError> {
        let refuse = |needle: &str, field: String, value: String, allowed: &str| {
            Err(SettingsError::Range {
                file: file.to_owned(),
                line: line_of(text, needle),
                field,
                value,
                allowed: allowed.to_owned(),
            })
        };
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        let mut services = BTreeSet::new();
        for service in &self.services {
            let name = service.name.as_str();
            if !is_valid_name(name) {
                return refuse(name, "service.name".into(), name.into(), NAME_RULE);
            }
            if !services.insert(&service.name) {
                return refuse(name, "service.name".into(), name.into(), "a name used once");
            }
            if let Err((field, value, allowed)) = service.check_values() {
                let needle = field.clone();
                return refuse(&needle, format!("service.{name}.{field}"), value, &allowed);
            }
            for server in &service.servers {
                let label = server.name.as_str();
                let field = format!("service.{name}.server.{label}");
                if !is_valid_name(label) {
                    return refuse(label, field, label.into(), NAME_RULE);
                }
                if !names.insert(&server.name) {
                    let allowed = "a server name used once over all services";
                    return refuse(label, field, label.into(), allowed);
                }
                if !addresses.insert(server.address) {
                    let address = server.address.to_string();
                    let allowed = "an address used once: pools may not overlap";
                    return refuse(&address.clone(), field, address, allowed);
                }
                if server.slots == 0 || server.slots > MAX_SLOTS {
                    let value = server.slots.to_string();
                    return refuse(label, format!("{field}.slots"), value, "1 to 1024");
                }
            }
        }
        if names.len() > MAX_SERVERS {
            let value = names.len().to_string();
            return refuse("", "server".into(), value, "at most 10000 servers");
        }
        Ok(())
    }
}

const NAME_RULE: &str = "1 to 64 letters, digits, '-' or '_'";

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    (1..=64).contains(&name.len()) && name.chars().all(is_allowed)
}

impl ServiceDeclaration {
    /// Returns whether a request may be retried. Without a matching rule, only
    /// safe HTTP methods may (RFC 9110, section 9.2.1).
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.rules
            .iter()
            .find(|rule| {
                let method_matches = rule.method == "*" || rule.method.eq_ignore_ascii_case(method);
                method_matches && path.starts_with(&rule.path)
            })
            .map_or(matches!(method, "GET" | "HEAD" | "OPTIONS"), |rule| {
                rule.repeatable
            })
    }

    /// Returns field, value and allowed range of the first value out of range as an error.
    fn check_values(&self) -> Result<(), (String, String, String)> {
        let refuse = |field: &str, value: String, allowed: &str| {
            Err((field.to_owned(), value, allowed.to_owned()))
        };
        if self.servers.is_empty() {
            return refuse("server", "none".into(), "at least one server");
        }
        if !(1..=MAX_SLICES_PER_SERVER).contains(&self.slices_per_server) {
            let value = self.slices_per_server.to_string();
            return refuse("slices_per_server", value, "1 to 256");
        }
        if !(0.0..=10.0).contains(&self.move_cost) {
            return refuse("move_cost", self.move_cost.to_string(), "0 to 10");
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return refuse("retry_share", self.retry_share.to_string(), "0 to 1");
        }
        if !DEADLINE_MILLIS.contains(&self.deadline_millis) {
            let value = self.deadline_millis.to_string();
            return refuse("deadline_millis", value, "10 to 120000");
        }
        if self.reassign_after_millis > MAX_REASSIGN_MILLIS {
            let value = self.reassign_after_millis.to_string();
            return refuse("reassign_after_millis", value, "0 to 10000");
        }
        if self.queue == 0 || self.queue > MAX_QUEUE {
            return refuse("queue", self.queue.to_string(), "1 to 100000");
        }
        Ok(())
    }
}
