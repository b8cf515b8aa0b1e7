//! One short run of the soak with a fixed seed. Long runs are started by hand: see
//! docs/DEVELOPING.md.

mod common;

use common::assert_clean_run;

/// Any seed will do. This one stops all routers one after the other while another is killed,
/// replaces upstreams one after the other while the store loses responses to writes and applies
/// them late, and has a router reload its settings while it stops.
const SEED: &str = "9001";
/// Length in seconds: 6 with faults, the rest for start and recovery.
const SECONDS: &str = "34";

#[test]
fn a_short_run_with_a_fixed_seed_breaks_no_promise() {
    let arguments = ["run", "--seed", SEED, "--seconds", SECONDS];
    assert_clean_run(&arguments, "soak-short-run");
}

/// A seed of which the plan broke two promises when a rejection that was sent again counted as proof.
const SPOILED_SEED: &str = "983401";
const SPOILED_SECONDS: &str = "60";
/// Requests per second, enough that the holder of a busy key rejects some.
const SPOILED_RATE: &str = "200";

/// Guards against requests that must not be repeated being refused although they ran, or running
/// twice, where upstreams spoil answers and reject what they can't queue.
#[test]
fn a_short_run_with_spoiled_answers_breaks_no_promise() {
    let arguments = [
        "run",
        "--spoil",
        "--seed",
        SPOILED_SEED,
        "--seconds",
        SPOILED_SECONDS,
        "--rate",
        SPOILED_RATE,
    ];
    assert_clean_run(&arguments, "soak-spoiled-answers");
}
