//! Runs of the soak that once broke a promise, played with their plans and judged as the soak
//! judges all runs. Long runs are started by hand: see docs/DEVELOPING.md.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The router's program lies beside the soak's. `cargo test --workspace` builds both.
fn router() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_beamtray-soak")).with_file_name("beamtray")
}

fn plays_clean(seed: &str) {
    let router = router();
    assert!(
        router.exists(),
        "{} is not built: cargo build -p beamtray-node",
        router.display()
    );
    let regressions = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../soak/regressions.toml");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak-regressions");
    let run = Command::new(env!("CARGO_BIN_EXE_beamtray-soak"))
        .args(["regressions", "--seed", seed, "--file"])
        .arg(&regressions)
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("the soak starts");
    let told = String::from_utf8_lossy(&run.stdout);
    let errors = String::from_utf8_lossy(&run.stderr);
    assert!(run.status.success(), "{told}{errors}");
}

/// An upstream stood still for 6.5 s, woke, and took keys under an older token while another
/// upstream was at work on them.
#[test]
fn an_upstream_that_stood_still_takes_no_keys_that_went_on() {
    plays_clean("510021");
}

/// The same after a pause that is longer than any wait for an order that may lie: a grant is
/// not sent to a process that does not read.
#[test]
fn an_upstream_that_stood_still_for_long_takes_no_keys_that_went_on() {
    plays_clean("510022");
}

/// Routers that were stopped in turn while keys had no granter sent more repeats than their
/// service allows in ten seconds.
#[test]
fn routers_stopped_in_turn_keep_the_budget_of_repeats() {
    plays_clean("620201");
}

/// Next to nothing was served after the troubles of this plan.
#[test]
fn requests_are_served_again_after_the_troubles() {
    plays_clean("740301");
}
