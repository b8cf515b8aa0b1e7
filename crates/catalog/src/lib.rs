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
mod rest;
mod route_table;
mod upstream;

pub use configuration::{
    ClientLimits, ColdStart, Configuration, ConfigurationError, ConfigurationVersion, Route,
    ServiceConfig, WeightedBackend,
};
pub use directory::{Directory, DirectoryChange, DirectoryPolicy, Registration};
pub use incarnations::CLAIM_STANDS;
pub use leaving::LeaveWord;
pub use rate::{RateWord, RequestRate};
pub use rest::RestWord;
pub use route_table::RouteTable;
pub use upstream::{Birth, UpstreamId, UpstreamName, UpstreamRecord, UpstreamState};
