//! The operators' configuration of routes and services.

use crate::tenant::{ApiKey, Tenant, TenantName};
use beamtray_types::ServiceName;
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

/// Version of a configuration. Versions increase, not necessarily by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigurationVersion(pub u64);

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedBackend {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other backends.
    pub weight: u32,
}

/// How requests for one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that requests are addressed to.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub path_prefix: String,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Maximum time that the router holds a request.
    pub timeout: Duration,
    /// Target latency; a response has its full value within this time.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Services that share the requests; at least one.
    pub backends: Vec<WeightedBackend>,
    /// Whether requests without an API key are accepted. Without effect if the configuration
    /// declares no tenants.
    pub allow_anonymous: bool,
}

/// Settings that apply to every upstream of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// Whether the service is sharded: each key is held by exactly one upstream.
    pub sharded: bool,
    /// How long requests for a key are slow at an upstream that acquired it without a handover.
    pub warm_up: Duration,
    /// Limit on requests to an upstream while it is cold; none if not limited.
    pub cold_start: Option<ColdStart>,
}

/// Request limit of an upstream right after its start, while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long the upstream stays cold.
    pub duration: Duration,
    /// Requests per second that it handles during that time.
    pub rate: f64,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version of this configuration.
    pub version: ConfigurationVersion,
    /// Configured routes.
    pub routes: Vec<Route>,
    /// Configured services.
    pub services: Vec<ServiceConfig>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Tenants; `None` if requests need no API key. With an empty list, only anonymous requests
    /// are accepted.
    pub tenants: Option<Vec<Tenant>>,
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A route names a service that the configuration does not define.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// A route has no backend with a positive weight.
    NoBackend {
        /// The route.
        route: String,
    },
    /// The maximum number of attempts of a route is zero.
    NoAttempts {
        /// The route.
        route: String,
    },
    /// A path prefix lacks its leading or trailing slash.
    Prefix {
        /// The route.
        route: String,
    },
    /// Two tenants have the same name.
    RepeatedTenant {
        /// The name.
        tenant: TenantName,
    },
    /// Two tenants hold the same API key.
    SharedKey {
        /// The first of them.
        first: TenantName,
        /// The second of them.
        second: TenantName,
    },
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(formatter, "route {route}: unknown service {service}")
            }
            Self::NoBackend { route } => {
                write!(formatter, "route {route}: no backend has a positive weight")
            }
            Self::NoAttempts { route } => write!(
                formatter,
                "route {route}: the maximum number of attempts is zero"
            ),
            Self::Prefix { route } => {
                write!(
                    formatter,
                    "route {route}: path prefix must begin and end with a slash"
                )
            }
            Self::RepeatedTenant { tenant } => {
                write!(formatter, "tenant {tenant}: declared more than once")
            }
            Self::SharedKey { first, second } => {
                write!(
                    formatter,
                    "tenants {first} and {second} hold the same API key"
                )
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Validates routes and tenants, so that errors surface before requests are routed.
    ///
    /// # Errors
    /// Returns a [`ConfigurationError`] for the first invalid route or tenant.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let services: BTreeSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        self.routes
            .iter()
            .try_for_each(|route| check_route(route, &services))?;
        check_tenants(self.tenants.as_deref().unwrap_or_default())
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| service.name == *name)
    }
}

fn check_route(route: &Route, services: &BTreeSet<&ServiceName>) -> Result<(), ConfigurationError> {
    let name = || route.name.clone();
    for backend in &route.backends {
        if !services.contains(&backend.service) {
            return Err(ConfigurationError::UnknownService {
                route: name(),
                service: backend.service.clone(),
            });
        }
    }
    if route.backends.iter().all(|backend| backend.weight == 0) {
        return Err(ConfigurationError::NoBackend { route: name() });
    }
    if route.max_attempts == 0 {
        return Err(ConfigurationError::NoAttempts { route: name() });
    }
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(ConfigurationError::Prefix { route: name() });
    }
    Ok(())
}

fn check_tenants(tenants: &[Tenant]) -> Result<(), ConfigurationError> {
    let mut names: BTreeSet<&TenantName> = BTreeSet::new();
    let mut holders: HashMap<&ApiKey, &TenantName> = HashMap::new();
    for tenant in tenants {
        if !names.insert(&tenant.name) {
            return Err(ConfigurationError::RepeatedTenant {
                tenant: tenant.name.clone(),
            });
        }
        for key in &tenant.keys {
            let holder = holders.insert(key, &tenant.name);
            if let Some(first) = holder.filter(|first| *first != &tenant.name) {
                return Err(ConfigurationError::SharedKey {
                    first: first.clone(),
                    second: tenant.name.clone(),
                });
            }
        }
    }
    Ok(())
}
