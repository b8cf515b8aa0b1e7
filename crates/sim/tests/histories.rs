//! Random histories and recorded traces satisfy every invariant, and a seed
//! determines its history.

use beamtray_sim::check::Invariant;
use beamtray_sim::explore::{ALL_FAULTS, Exploration};
use beamtray_sim::replay::Trace;
use beamtray_sim::scenario::Scenario;
use beamtray_sim::world::World;

const SEEDS: u64 = 120;
const THREADS: usize = 8;

fn exploration(faults: &[&str]) -> Exploration {
    Exploration {
        first_seed: 1,
        seeds: SEEDS,
        declaration: None,
        faults: faults.iter().map(|kind| (*kind).to_owned()).collect(),
        without: None,
        threads: THREADS,
    }
}

#[test]
fn every_point_holds_in_random_histories_and_is_put_to_the_test() {
    let summary = exploration(&[ALL_FAULTS]).run();
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    for invariant in Invariant::ALL {
        let exercised = summary.invariants[&invariant].exercised_seeds;
        let name = invariant.as_str();
        assert!(
            exercised * 10 >= SEEDS,
            "{name} was stressed in {exercised} seeds only"
        );
    }
}

#[test]
fn nothing_is_refused_when_nothing_fails() {
    let summary = exploration(&[]).run();
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert_eq!(summary.invariants[&Invariant::RefusedNotRun].exercised, 0);
}

#[test]
fn one_seed_gives_one_history() {
    let digest = |seed| {
        World::new(Scenario::random(seed, None, &|_| true))
            .run()
            .digest()
    };
    for seed in 1..=5 {
        assert_eq!(digest(seed), digest(seed), "seed {seed}");
    }
    assert_ne!(digest(1), digest(2));
}

#[test]
fn every_trace_replays_to_its_stated_outcomes() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the traces are there") {
        let path = entry.expect("a readable folder").path();
        let text = std::fs::read_to_string(&path).expect("a readable trace");
        let trace = Trace::parse(&text).expect("a valid trace");
        let differences = trace.replay();
        assert!(
            differences.is_empty(),
            "{}: {differences:?}",
            path.display()
        );
        count += 1;
    }
    assert!(count >= 7, "{count} traces");
}

#[test]
fn a_trace_with_another_outcome_is_objected_to() {
    let text = concat!(
        r#"{"scenario":{"about":"calm","seed":1,"per_second":0,"held_up_share":0.0}}"#,
        "\n",
        r#"{"request":{"at_millis":8000,"name":"t","node":0,"service":"accounts","key":"k","transfer":true}}"#,
        "\n",
        r#"{"expect-request":{"name":"t","outcome":"not-run","effects":0}}"#,
        "\n"
    );
    let differences = Trace::parse(text).expect("a valid trace").replay();
    assert_eq!(
        differences,
        ["line 3: t: outcome is complete, stated not-run"]
    );
}
