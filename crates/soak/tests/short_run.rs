//! One short run of the soak with a fixed seed. Long runs are started by hand: see
//! docs/DEVELOPING.md.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Any seed does. This one stops all routers one after the other while another is killed,
/// and replaces upstreams one after the other while the store loses answers to writes that
/// it does late; a stopping router is told that its settings changed.
const SEED: &str = "9001";
/// Length in seconds: 6 of troubles, the rest for start and recovery.
const SECONDS: &str = "34";

/// The router's program lies beside the soak's. `cargo test --workspace` builds both.
fn router() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_beamtray-soak")).with_file_name("beamtray")
}

#[test]
fn a_short_run_with_a_fixed_seed_breaks_no_promise() {
    let router = router();
    assert!(
        router.exists(),
        "{} is not built: cargo build -p beamtray-node",
        router.display()
    );
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak-short-run");
    let run = Command::new(env!("CARGO_BIN_EXE_beamtray-soak"))
        .args(["run", "--seed", SEED, "--seconds", SECONDS, "--folder"])
        .arg(&folder)
        .output()
        .expect("the soak starts");
    let told = String::from_utf8_lossy(&run.stdout);
    let errors = String::from_utf8_lossy(&run.stderr);
    assert!(run.status.success(), "{told}{errors}");
}
