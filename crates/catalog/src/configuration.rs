//! One version of what operators declared.

use beamtray_types::ServiceName;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Version of a configuration; later ones are higher, with gaps.
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
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the other backends.
    pub weight: u32,
}

/// What becomes of the requests of one host below one path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that the requests name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Services that share the requests; one at least.
    pub backends: Vec<WeightedBackend>,
}

/// What holds for every upstream of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: ServiceName,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections that one upstream takes from all callers together.
    pub max_connections: u32,
    /// Whether each key is held by one upstream alone.
    pub sharded: bool,
    /// How long keys are slow at an upstream that took them without handover.
    pub warm_up: Duration,
    /// What an upstream takes while it is cold; none where that is not bounded.
    pub cold_start: Option<ColdStart>,
}

/// What an upstream takes right after its start, while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long it stays cold.
    pub duration: Duration,
    /// Requests a second that it handles meanwhile.
    pub rate: f64,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
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

/// One version of what operators declared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: ConfigurationVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// Bounds on clients.
    pub limits: ClientLimits,
}

/// Why a configuration can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A route names a service that is not there.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// A route has no backend with a weight above zero.
    NoBackend {
        /// The route.
        route: String,
    },
    /// A route allows no attempt.
    NoAttempts {
        /// The route.
        route: String,
    },
    /// A path prefix lacks a slash at its begin or end.
    Prefix {
        /// The route.
        route: String,
    },
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService { route, service } => {
                write!(formatter, "route {route}: service {service} is not there")
            }
            Self::NoBackend { route } => write!(formatter, "route {route}: no backend has weight"),
            Self::NoAttempts { route } => write!(formatter, "route {route}: no attempt is allowed"),
            Self::Prefix { route } => {
                write!(formatter, "route {route}: prefix lacks a slash at an end")
            }
        }
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Checks what a request would otherwise trip over.
    ///
    /// # Errors
    /// [`ConfigurationError`] names the first route that can't be served.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        let services: BTreeSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        self.routes
            .iter()
            .try_for_each(|route| check_route(route, &services))
    }

    /// The service of that name.
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
