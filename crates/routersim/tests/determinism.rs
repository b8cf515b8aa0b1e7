//! A history depends on its seed alone.

use beamtray_routersim::{
    Fault, FaultKind, FaultPlan, Outcome, Violation, WorldConfig, WorldSize, run_plan,
    run_seed_extended,
};
use std::time::Duration;

/// What differs when two histories differ in a single decision.
type Summary = (usize, usize, usize, Duration, Vec<Violation>);

fn summary(outcome: &Outcome) -> Summary {
    (
        outcome.requests,
        outcome.served,
        outcome.releases,
        outcome.work.processor_time,
        outcome.violations.clone(),
    )
}

/// Summaries of two runs; each map with a random order differs between them.
fn two_runs(run: fn() -> Outcome) -> (Summary, Summary) {
    let [first, second] = [(); 2].map(|()| std::thread::spawn(move || summary(&run())));
    (first.join().unwrap(), second.join().unwrap())
}

fn power_loss_of_many_nodes() -> Outcome {
    let loss = Fault::new(8_000, 2_000, FaultKind::PowerLoss { zone: 0 });
    let config = WorldConfig::sized(WorldSize::Loaded, 1);
    run_plan(config, FaultPlan { faults: vec![loss] }, None)
}

// Guards against decisions that depend on the random order of a map: a seed that violates an
// invariant once would not show it again.
#[test]
fn a_history_of_many_nodes_depends_on_its_seed_alone() {
    let (first, second) = two_runs(power_loss_of_many_nodes);
    assert_eq!(first, second);
}

// Guards against the same in histories of drawn faults.
#[test]
fn a_drawn_history_depends_on_its_seed_alone() {
    let (first, second) = two_runs(|| run_seed_extended(WorldSize::Drawn, 7));
    assert_eq!(first, second);
}
