//! One short run of the soak with a fixed seed. Long runs are started by hand: see
//! docs/DEVELOPING.md.

mod common;

use common::assert_clean_run;

/// Any seed does. This one stops all routers one after the other while another is killed,
/// and replaces upstreams one after the other while the store loses answers to writes that
/// it does late; a stopping router is told that its settings changed.
const SEED: &str = "9001";
/// Length in seconds: 6 of troubles, the rest for start and recovery.
const SECONDS: &str = "34";

#[test]
fn a_short_run_with_a_fixed_seed_breaks_no_promise() {
    let arguments = ["run", "--seed", SEED, "--seconds", SECONDS];
    assert_clean_run(&arguments, "soak-short-run");
}
