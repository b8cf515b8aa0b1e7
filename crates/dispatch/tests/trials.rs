//! Suspected requests are tried by one run at a time, by permits that one node lends.

mod common;

use beamtray_dispatch::{
    AttemptHash, Fingerprint, NodeHash, Quarantine, Suspicion, TrialOutcome, TrialReport,
    TrialRequest, UpstreamHash,
};
use common::*;

/// Two nodes and the one that lends to both.
struct Lending {
    lender: Quarantine,
    numbers: u32,
}

impl Lending {
    /// The lender knows of so many runs that ended with one upstream.
    fn after(runs: u32) -> Self {
        let mut lender = Quarantine::default();
        for run in 0..runs {
            lender.merge(at(1), ended(1, run, false));
        }
        Self { lender, numbers: 0 }
    }

    /// Whether a node gets the permit for a trial that takes a second at most; its number.
    fn ask(&mut self, millis: u64, node: &str) -> Option<u32> {
        self.numbers += 1;
        let request = TrialRequest {
            fingerprint: BAD,
            node: NodeHash::of(node),
            number: self.numbers,
            timeout_ms: 1_000,
            known: vec![ended(1, 0, false)],
        };
        let reply = self.lender.lend_permit(at(millis), &request);
        reply.is_lent.then_some(self.numbers)
    }

    fn report(&mut self, millis: u64, node: &str, number: u32, outcome: TrialOutcome) {
        let is_ended = outcome == TrialOutcome::UpstreamTerminated;
        let end = is_ended.then(|| ended(100 + number, 0, true));
        let report = TrialReport {
            fingerprint: BAD,
            node: NodeHash::of(node),
            number,
            outcome,
            known: end.into_iter().collect(),
        };
        self.lender.handle_trial_report(at(millis), &report);
    }
}

const BAD: Fingerprint = Fingerprint(7);

/// A run of the request ended with that upstream.
fn ended(upstream: u32, run: u32, is_trial: bool) -> Suspicion {
    Suspicion {
        attempt: AttemptHash(run),
        is_trial,
        fingerprint: BAD,
        upstream: UpstreamHash(upstream),
        is_cleared: false,
    }
}

#[test]
fn a_permit_is_lent_once_until_its_outcome_is_told() {
    let mut lending = Lending::after(1);
    let first = lending.ask(100, "a").expect("it is lent");
    assert_eq!(lending.ask(101, "b"), None);
    lending.report(150, "a", first, TrialOutcome::Unused);
    assert!(lending.ask(151, "b").is_some());
}

/// Of the runs of one upstream none was alone, so one trial tells whether it was the cause.
#[test]
fn after_three_runs_a_trial_that_ends_its_upstream_is_the_last_for_a_while() {
    let mut lending = Lending::after(3);
    let number = lending.ask(100, "a").expect("three may be bystanders");
    lending.report(150, "a", number, TrialOutcome::UpstreamTerminated);
    assert_eq!(lending.ask(151, "b"), None);
    assert_eq!(lending.ask(119_000, "b"), None);
    let number = lending.ask(121_000, "b").expect("it is tried again");
    lending.report(121_050, "b", number, TrialOutcome::UpstreamTerminated);
    assert_eq!(lending.ask(1_900_000, "a"), None);
    let number = lending.ask(1_930_000, "a").expect("and once more");
    lending.report(1_930_050, "a", number, TrialOutcome::UpstreamTerminated);
    assert_eq!(lending.ask(80_000_000, "a"), None, "not within a day");
}

#[test]
fn a_trial_of_which_nothing_is_heard_is_no_success() {
    let mut lending = Lending::after(1);
    assert!(lending.ask(100, "a").is_some());
    assert_eq!(lending.ask(2_050, "b"), None, "its time is not over");
    assert_eq!(
        lending.ask(2_150, "b"),
        None,
        "it may have ended its upstream"
    );
    assert_eq!(lending.ask(3_050, "b"), None);
    let second = lending.ask(3_200, "b").expect("after a pause");
    lending.report(3_300, "b", second, TrialOutcome::Unknown);
    assert_eq!(lending.ask(11_200, "a"), None, "the pause grows");
    assert!(lending.ask(11_400, "a").is_some());
}

#[test]
fn what_is_answered_three_times_with_a_failure_is_cleared() {
    let mut lending = Lending::after(2);
    for millis in [100, 200, 300] {
        let number = lending.ask(millis, "a").expect("it is lent");
        lending.report(millis + 50, "a", number, TrialOutcome::Answered);
    }
    assert_eq!(lending.lender.counts(at(400)), (0, 0));
}
