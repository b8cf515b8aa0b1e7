//! The cases of the second review, one test each: it runs the script of the case and asserts that
//! the rule held. Build before: the product, and `review/build-2.sh`.

use std::path::Path;
use std::process::Command;

/// Runs the script of a case from the root of the repository.
fn rule_holds(case: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let status = Command::new("bash")
        .arg(format!("review/{case}/run.sh"))
        .current_dir(root)
        .status()
        .expect("the script starts");
    assert_eq!(status.code(), Some(0), "1: the rule was broken, 2: not run");
}

#[test]
fn keys_are_not_given_away_by_a_surplus_answer_to_a_probe() {
    rule_holds("4");
}

#[test]
fn requests_are_answered_whatever_time_keep_alive_tells() {
    rule_holds("5");
}

#[test]
fn unanswered_grants_of_standbys_delay_the_next_holder() {
    rule_holds("6");
}

#[test]
fn a_grant_in_flight_at_the_end_of_its_granter_delays_the_next_holder() {
    rule_holds("7");
}

#[test]
fn clients_get_no_change_of_protocol_for_an_answer() {
    rule_holds("8");
}
