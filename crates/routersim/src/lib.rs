//! Deterministic simulation testing of the router. Several real node cores run against an
//! emulated store and emulated upstreams on one virtual clock. Faults are drawn from a seed,
//! and the checkers observe only what clients, upstreams and the store can observe.

mod check;
mod dialect;
mod event_log;
mod fault;
mod guard;
mod world;

pub use check::{
    Attempts, Checkers, GrantObservation, Holder, Invariant, OtherHolder, PartitionSecond,
    Violation,
};
pub use dialect::SimDialect;
pub use event_log::{LogEntry, LoggedEvent};
pub use fault::{CutFrom, Fault, FaultKind, FaultPlan, UpstreamPartition};
pub use guard::Guard;
pub use world::{
    CloseMode, NodeWork, Outcome, OwnershipCosts, ProcessorCosts, StoreCalls, SuspicionCosts,
    World, WorldConfig, WorldSize, default_settings,
};

/// Runs the history drawn from a seed in a world of the given size.
pub fn run_seed(size: WorldSize, seed: u64) -> Outcome {
    let config = WorldConfig::sized(size, seed);
    let plan = FaultPlan::draw(seed, &config);
    World::new(config, plan).run()
}

/// Like [`run_seed`], with the additional fault kinds of [`FaultPlan::draw_extended`].
pub fn run_seed_extended(size: WorldSize, seed: u64) -> Outcome {
    let config = WorldConfig::sized(size, seed);
    let plan = FaultPlan::draw_extended(seed, &config);
    World::new(config, plan).run()
}

/// Runs a history with the given faults and, optionally, with one guard disabled.
pub fn run_plan(
    mut config: WorldConfig,
    plan: FaultPlan,
    disabled_guard: Option<Guard>,
) -> Outcome {
    config.disabled_guard = disabled_guard;
    World::new(config, plan).run()
}
