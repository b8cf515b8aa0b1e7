//! What operators and upstreams declare: routes, services and live upstreams.
//!
//! [`Configuration`] is one accepted version of what operators want,
//! [`RouteTable`] finds the route of a request in it, [`Directory`] is a
//! node's view of the upstreams that registered themselves. All pure.

mod configuration;
mod directory;
mod evacuation;
mod incarnations;
mod leaving;
mod rate;
mod retry_after;
mod route_table;
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
pub use upstream::{StartTimestamp, UpstreamId, UpstreamName, UpstreamRecord, UpstreamState};
