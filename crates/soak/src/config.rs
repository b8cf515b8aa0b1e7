//! Router configuration, names and timing bounds of a run.

use crate::load::COLD_PERIOD;
use crate::size::Size;
use crate::tenants::tenants;
use beamtray_catalog::{
    ClientLimits, ColdStart, Configuration, ConfigurationVersion, Route, ServiceConfig,
    WeightedBackend,
};
use std::time::Duration;

/// The sharded service.
pub(crate) const KEYED: &str = "keyed";
/// The unsharded service.
pub(crate) const POOL: &str = "pool";
/// The service of lookups, which only some sizes have.
pub(crate) const LOOKUP: &str = "lookup";
/// Host of all routes.
pub const HOST: &str = "soak.example";
/// Path prefix of reads by key.
pub(crate) const READ: &str = "/read/";
/// Path prefix of lookups.
pub(crate) const LOOK: &str = "/look/";
/// Path prefix of requests that must not be retried.
pub const ORDER: &str = "/order/";
/// Path prefix of requests with a key that must not be retried.
pub const TRANSFER: &str = "/transfer/";
/// Path prefix of configuration probes, followed by the configuration version.
pub const PROBE: &str = "/probe/";
/// Zones of routers and upstreams.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Zones of deployments without lookups.
const FEW_ZONES: usize = 2;

/// Zones of a deployment of this size.
pub(crate) fn zones(size: Size) -> &'static [&'static str] {
    match size.lookup {
        0 => &ZONES[..FEW_ZONES],
        _ => &ZONES,
    }
}

/// Deadline of a caller's request.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a router must have been free of faults to count as connected.
pub(crate) const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a draining upstream may still receive requests.
pub(crate) const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a configuration may take to come into force.
pub(crate) const CONFIGURE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a router may take to stop.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);
/// Longest time for which keys are granted.
pub(crate) const LONGEST_HOLD: Duration = Duration::from_secs(10);
/// Interval at which an upstream writes its registration.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Time allowed for full recovery after the last fault.
pub(crate) const RECOVERY: Duration = Duration::from_secs(15);
/// Retry budget: retries allowed per request in a window.
pub(crate) const RETRY_RATIO: f64 = 0.2;
/// Retry budget: further retries allowed in each window.
pub(crate) const RETRY_ALLOWANCE: f64 = 30.0;
/// Retry budget: length of the window.
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The service that serves a path.
pub(crate) fn service_of(path: &str) -> &'static str {
    if path.starts_with(READ) || path.starts_with(TRANSFER) {
        KEYED
    } else if path.starts_with(LOOK) {
        LOOKUP
    } else {
        POOL
    }
}

/// The configuration of a version. Each version has its own probe route, so that a probe
/// shows which one is in force. With a `cold_rate` there are lookups, and upstreams take so many
/// requests a second after their start.
pub(crate) fn configuration(version: u64, cold_rate: Option<f64>) -> Configuration {
    let route = |name: &str, prefix: String, service: &str, repeatable, priority| Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: prefix,
        repeatable,
        timeout: Duration::from_millis(1_500),
        target_latency: Duration::from_millis(500),
        priority,
        max_attempts: 2,
        backends: vec![WeightedBackend {
            service: service.into(),
            weight: 1,
        }],
        allow_anonymous: true,
    };
    let service = |name: &str, sharded| ServiceConfig {
        name: name.into(),
        health_path: "/health".to_owned(),
        max_connections: 200,
        sharded,
        warm_up: Duration::ZERO,
        cold_start: cold_rate.map(|rate| ColdStart {
            duration: COLD_PERIOD,
            rate,
        }),
    };
    let mut routes = vec![
        route("read", READ.to_owned(), KEYED, true, 1),
        route("order", ORDER.to_owned(), POOL, false, 0),
        route("transfer", TRANSFER.to_owned(), KEYED, false, 0),
        route("probe", format!("{PROBE}{version}/"), POOL, true, 2),
    ];
    let mut services = vec![service(KEYED, true), service(POOL, false)];
    if cold_rate.is_some() {
        routes.push(route("look", LOOK.to_owned(), LOOKUP, true, 2));
        services.push(service(LOOKUP, false));
    }
    Configuration {
        version: ConfigurationVersion(version),
        routes,
        services,
        limits: ClientLimits::default(),
        tenants: Some(tenants(version)),
    }
}
