//! The cases of the review, each named after what it guards. They run the release build of the
//! router and the stand-ins that `review/build.sh` builds, and pass once the fault is gone.

use std::path::Path;
use std::process::Command;

/// Runs the script of a case and fails unless the rule held.
fn assert_held(case: u32) {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("{case}/run.sh"));
    let status = Command::new("bash").arg(&script).status();
    let code = status.ok().and_then(|status| status.code());
    assert_eq!(
        code,
        Some(0),
        "case {case}: 1 is a broken rule, 2 a case that could not run"
    );
}

#[test]
fn unsafe_request_runs_once_beside_surplus_rejection() {
    assert_held(1);
}

#[test]
fn configuration_takes_force_after_lost_watch_answers() {
    assert_held(2);
}

#[test]
fn planned_stop_waits_for_answers_being_read() {
    assert_held(3);
}
