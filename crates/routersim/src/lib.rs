//! Model checking of the router by simulation: real cores of several nodes,
//! an emulated store and emulated upstreams on one virtual clock, faults drawn
//! from a seed, and checkers that see only what clients, upstreams and the
//! store see.

mod check;
mod dialect;
mod fault;
mod guard;
mod world;

pub use check::{AcceptedGrant, Checkers, Holder, Invariant, OtherHolder, Violation};
pub use dialect::SimDialect;
pub use fault::{CutFrom, Fault, FaultKind, FaultPlan};
pub use guard::Guard;
pub use world::{
    CloseMode, Outcome, SuspicionCosts, World, WorldConfig, WorldSize, default_settings,
};

/// Runs the history of a seed in a world of that size.
pub fn run_seed(size: WorldSize, seed: u64) -> Outcome {
    let config = WorldConfig::sized(size, seed);
    let plan = FaultPlan::draw(seed, &config);
    World::new(config, plan).run()
}

/// The same with further kinds of trouble: see [`FaultPlan::draw_extended`].
pub fn run_seed_extended(size: WorldSize, seed: u64) -> Outcome {
    let config = WorldConfig::sized(size, seed);
    let plan = FaultPlan::draw_extended(seed, &config);
    World::new(config, plan).run()
}

/// Runs a history of given faults, with a protection switched off or none.
pub fn run_plan(
    mut config: WorldConfig,
    plan: FaultPlan,
    disabled_guard: Option<Guard>,
) -> Outcome {
    config.disabled_guard = disabled_guard;
    World::new(config, plan).run()
}
