//! Routes, services and upstreams, as declared by operators and upstreams.
//!
//! [`Configuration`] is one accepted version of the operators' configuration,
//! [`RouteTable`] looks up the route of a request in it, and [`Directory`] is a node's view
//! of the registered upstreams. Nothing in this crate performs I/O or reads a clock.

mod configuration;
mod directory;
mod evacuation;
mod incarnations;
mod leaving;
mod rate;
mod retry_after;
mod route_table;
mod tenant;
mod upstream;

pub use configuration::{
    ClientLimits, ColdStart, Configuration, ConfigurationError, ConfigurationVersion, Route,
    ServiceConfig, WeightedBackend,
};
pub use directory::{Directory, DirectoryChange, DirectoryPolicy, Registration};
pub use incarnations::REINSTATEMENT_DELAY;
pub use leaving::LeavingStatus;
pub use rate::{AdvertisedRate, RequestRate};
pub use retry_after::RetryAfter;
pub use route_table::RouteTable;
pub use tenant::{ApiKey, Credential, Quota, Sender, Tenant, TenantName, TenantTable, UnknownKey};
pub use upstream::{StartTimestamp, UpstreamId, UpstreamName, UpstreamRecord, UpstreamState};
