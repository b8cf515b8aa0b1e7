//! Runs of the soak that once broke a promise, played with their plans and judged as the soak
//! judges all runs. Long runs are started by hand: see docs/DEVELOPING.md.

mod common;

use common::assert_clean_run;

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../soak/regressions.toml");

fn regression_is_clean(seed: &str) {
    let arguments = ["regressions", "--seed", seed, "--file", FILE];
    assert_clean_run(&arguments, "soak-regressions");
}

/// An upstream stood still for 6.5 s, woke, and took keys under an older token while another
/// upstream was at work on them.
#[test]
fn an_upstream_that_stood_still_takes_no_keys_that_went_on() {
    regression_is_clean("510021");
}

/// The same after a pause that is longer than any wait for an order that may lie: a grant is
/// not sent to a process that does not read.
#[test]
fn an_upstream_that_stood_still_for_long_takes_no_keys_that_went_on() {
    regression_is_clean("510022");
}

/// Routers that were stopped in turn while keys had no granter sent more repeats than their
/// service allows in ten seconds.
#[test]
fn routers_stopped_in_turn_keep_the_budget_of_repeats() {
    regression_is_clean("620201");
}

/// Next to nothing was served after the troubles of this plan.
#[test]
fn requests_are_served_again_after_the_troubles() {
    regression_is_clean("740301");
}
