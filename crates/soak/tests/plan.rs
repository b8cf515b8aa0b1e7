//! Generation and serialization of fault plans.

use beamtray_soak::{Plan, Size, load_regressions};
use std::path::Path;
use std::time::Duration;

const TROUBLED: Duration = Duration::from_secs(40);

#[test]
fn the_same_seed_gives_the_same_plan() {
    assert_eq!(
        Plan::draw(5, TROUBLED, Size::SMALL),
        Plan::draw(5, TROUBLED, Size::SMALL)
    );
    assert_ne!(
        Plan::draw(5, TROUBLED, Size::SMALL),
        Plan::draw(6, TROUBLED, Size::SMALL)
    );
}

#[test]
fn a_plan_lies_within_its_time_and_gets_shorter_by_one() {
    let plan = Plan::draw(9, TROUBLED, Size::SMALL);
    let latest = plan.faults.iter().map(|fault| fault.at_ms).max();
    assert!(latest.is_some_and(|at| at < TROUBLED.as_millis() as u64));
    assert_eq!(plan.without(0).faults, plan.faults[1..]);
}

#[test]
fn a_plan_is_read_as_it_was_written() {
    let plan = Plan::draw(11, TROUBLED, Size::SMALL);
    let text = toml::to_string(&plan).expect("plain data");
    assert_eq!(toml::from_str::<Plan>(&text).expect("just written"), plan);
}

#[test]
fn the_regressions_can_be_read() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../soak/regressions.toml");
    let regressions = load_regressions(&file).expect("well formed");
    assert!(regressions.iter().all(|one| !one.cause.is_empty()));
}
