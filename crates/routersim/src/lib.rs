//! Model checking of the router by simulation: real cores of several nodes,
//! an emulated store and emulated upstreams on one virtual clock, faults drawn
//! from a seed, and checkers that see only what clients, upstreams and the
//! store see.

mod check;
mod dialect;
mod fault;
mod guard;
mod world;

pub use check::{Checkers, Holder, OtherHolder, Promise, Taking, Violation};
pub use dialect::SimDialect;
pub use fault::{CutFrom, Fault, FaultPlan, Trouble};
pub use guard::Guard;
pub use world::{GiveUp, Outcome, SuspicionCosts, World, WorldConfig, WorldSize, usual_settings};

/// Runs the history of a seed in a world of that size.
pub fn explore(size: WorldSize, seed: u64) -> Outcome {
    let config = WorldConfig::sized(size, seed);
    let plan = FaultPlan::draw(seed, &config);
    World::new(config, plan).run()
}

/// The same with further kinds of trouble: see [`FaultPlan::draw_further`].
pub fn explore_further(size: WorldSize, seed: u64) -> Outcome {
    let config = WorldConfig::sized(size, seed);
    let plan = FaultPlan::draw_further(seed, &config);
    World::new(config, plan).run()
}

/// Runs a history of given faults, with a protection switched off or none.
pub fn play(mut config: WorldConfig, plan: FaultPlan, off: Option<Guard>) -> Outcome {
    config.off = off;
    World::new(config, plan).run()
}
