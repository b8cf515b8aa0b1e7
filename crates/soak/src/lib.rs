//! Soak test of the router under fault injection, with real processes.
//!
//! The driver starts routers, an emulated store, upstreams and callers as separate
//! processes, injects faults from outside (signals, and proxies on the links to the
//! store and to upstreams), and afterwards checks the reports of callers, upstreams
//! and the store against the router's guarantees. The same seed produces the same
//! fault plan.

mod bodies;
mod caller;
mod channel;
mod checker;
mod children;
pub mod clock;
mod config;
mod driver;
mod load;
mod message;
mod plan;
mod pool;
mod processor_limit;
mod proxy;
mod regressions;
mod size;
mod spoil;
mod store;
mod tenants;
mod timeline;
mod upstream;

pub use caller::{CallerSettings, run as run_caller};
pub use checker::{
    Count, DelayedDelivery, Disturbance, Disturbed, FaultEnd, Finding, History, PlannedStop,
    Promise, UpstreamEnd, Verdict, check,
};
pub use config::{HOST, ORDER, PROBE, TRANSFER};
pub use driver::{Ports, RunOutcome, RunSettings, run_plan, shorten};
pub use load::{HighLoad, MeanWork, Room};
pub use message::{CallerEnd, Command, Observation, Report};
pub use plan::{Plan, PlannedFault, SoakFault};
pub use proxy::{DirectionFault, LinkFault, Proxy};
pub use regressions::{Regression, load as load_regressions};
pub use size::Size;
pub use spoil::Spoil;
pub use store::{StoreSettings, run as run_store};
pub use tenants::Identity;
pub use timeline::{SecondCount, ServiceCount, Timeline, timeline};
pub use upstream::{POISON, UpstreamSettings, run as run_upstream};
