//! The configuration and the names that a run uses.

use beamtray_catalog::{
    ClientLimits, Configuration, ConfigurationVersion, Route, ServiceConfig, WeightedBackend,
};
use std::time::Duration;

/// The divided service.
pub(crate) const KEYED: &str = "keyed";
/// The other service.
pub(crate) const POOL: &str = "pool";
/// The only host.
pub const HOST: &str = "soak.example";
/// Prefix of reads by key.
pub(crate) const READ: &str = "/read/";
/// Prefix of what may not be repeated.
pub const ORDER: &str = "/order/";
/// Prefix of probes; the version comes next.
pub const PROBE: &str = "/probe/";
/// Zones of routers and upstreams.
pub(crate) const ZONES: [&str; 2] = ["a", "b"];

/// How long a caller waits.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a router must have been undisturbed to count as in touch.
pub(crate) const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a leaving upstream may get requests.
pub(crate) const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a configuration may take to be in force.
pub(crate) const CONFIGURE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a stopping router may take.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(6);
/// Longest hold of keys.
pub(crate) const LONGEST_HOLD: Duration = Duration::from_secs(10);
/// Between an upstream's writes of its entry.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Time for whole recovery after the last fault.
pub(crate) const RECOVERY: Duration = Duration::from_secs(15);
/// Repeats for each request, and on top of that in each window.
pub(crate) const RETRY_RATIO: f64 = 0.2;
/// Repeats on top of that in each window.
pub(crate) const RETRY_ALLOWANCE: f64 = 30.0;
/// The window of that bound.
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Service to which a path is to go; none for probes of other versions.
pub(crate) fn service_of(path: &str) -> &'static str {
    if path.starts_with(READ) { KEYED } else { POOL }
}

/// The configuration of a version: each has a route of its own for probes.
pub(crate) fn configuration(version: u64) -> Configuration {
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
    };
    let service = |name: &str, sharded| ServiceConfig {
        name: name.into(),
        health_path: "/health".to_owned(),
        max_connections: 200,
        sharded,
        warm_up: Duration::ZERO,
        cold_start: None,
    };
    Configuration {
        version: ConfigurationVersion(version),
        routes: vec![
            route("read", READ.to_owned(), KEYED, true, 1),
            route("order", ORDER.to_owned(), POOL, false, 0),
            route("probe", format!("{PROBE}{version}/"), POOL, true, 2),
        ],
        services: vec![service(KEYED, true), service(POOL, false)],
        limits: ClientLimits::default(),
    }
}
