//! Soak runs that once violated a guarantee, repeated with their plans and checked like all
//! other runs. Long runs are started by hand: see docs/DEVELOPING.md.

mod common;

use common::assert_clean_run;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../soak/regressions.toml");

fn regression_is_clean(seed: &str) {
    let arguments = ["regressions", "--seed", seed, "--file", FILE];
    assert_clean_run(&arguments, "soak-regressions");
}

/// An upstream that was suspended for 6.5 s accepted keys under an older token after it was
/// resumed, while another upstream executed requests on them.
#[test]
fn an_upstream_that_stood_still_takes_no_keys_that_went_on() {
    regression_is_clean("510021");
}

/// The same after a suspension longer than routers consider an unacknowledged order possibly
/// delivered: a grant must not be sent to a process that does not read.
#[test]
fn an_upstream_that_stood_still_for_long_takes_no_keys_that_went_on() {
    regression_is_clean("510022");
}

/// An upstream that was suspended for 14.7 s accepted keys under the tokens of a granter that was
/// killed while the store was silent, after another upstream had got them.
#[test]
fn an_upstream_that_stood_still_takes_no_keys_of_a_granter_lost_with_the_store() {
    regression_is_clean("780011");
}

/// Routers stopped one after the other while keys had no granter sent more retries than the
/// budget of their service allows in ten seconds.
#[test]
fn routers_stopped_in_turn_keep_the_budget_of_repeats() {
    regression_is_clean("620201");
}

/// Almost no requests were served after the faults of this plan.
#[test]
fn requests_are_served_again_after_the_troubles() {
    regression_is_clean("740301");
}

const SPOILED_PLAN: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../soak/spoiled-answers.toml"
);

/// Guards against too few requests being served after many faults beside spoiled answers.
#[test]
fn requests_are_served_again_beside_spoiled_answers() {
    let arguments = [
        "run",
        "--spoil",
        "--size",
        "medium",
        "--rate",
        "250",
        "--seed",
        "984064",
        "--plan",
        SPOILED_PLAN,
    ];
    assert_clean_run(&arguments, "soak-served-again-beside-spoiled-answers");
}
