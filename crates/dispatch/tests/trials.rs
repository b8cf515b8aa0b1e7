//! Trials of suspected requests, one at a time, with permits issued by one node.

mod common;

use beamtray_dispatch::{
    AttemptHash, Fingerprint, NodeHash, Quarantine, Suspicion, TrialOutcome, TrialReport,
    TrialRequest, UpstreamHash,
};
use common::*;

/// The issuer of trial permits.
struct TrialIssuer {
    quarantine: Quarantine,
    numbers: u32,
}

impl TrialIssuer {
    /// The issuer knows of `runs` attempts that ended with the termination of one upstream.
    fn after(attempts: u32) -> Self {
        let mut quarantine = Quarantine::default();
        for attempt in 0..attempts {
            quarantine.merge(at(1), terminated(1, attempt, false));
        }
        Self {
            quarantine,
            numbers: 0,
        }
    }

    /// Asks for a permit for a trial that takes at most a second; returns its number if it was
    /// issued.
    fn ask(&mut self, millis: u64, node: &str) -> Option<u32> {
        self.numbers += 1;
        let request = TrialRequest {
            fingerprint: SUSPECTED,
            node: NodeHash::of(node),
            number: self.numbers,
            timeout_ms: 1_000,
            known: vec![terminated(1, 0, false)],
        };
        let reply = self.quarantine.issue_permit(at(millis), &request);
        reply.is_issued.then_some(self.numbers)
    }

    fn report(&mut self, millis: u64, node: &str, number: u32, outcome: TrialOutcome) {
        let is_terminated = outcome == TrialOutcome::UpstreamTerminated;
        let termination = is_terminated.then(|| terminated(100 + number, 0, true));
        let report = TrialReport {
            fingerprint: SUSPECTED,
            node: NodeHash::of(node),
            number,
            outcome,
            known: termination.into_iter().collect(),
        };
        self.quarantine.handle_trial_report(at(millis), &report);
    }
}

const SUSPECTED: Fingerprint = Fingerprint(7);

/// An attempt of the request that ended with the termination of an upstream.
fn terminated(upstream: u32, attempt: u32, is_trial: bool) -> Suspicion {
    Suspicion {
        attempt: AttemptHash(attempt),
        is_trial,
        fingerprint: SUSPECTED,
        upstream: UpstreamHash(upstream),
        is_cleared: false,
    }
}

#[test]
fn a_permit_is_issued_once_until_its_outcome_is_reported() {
    let mut issuer = TrialIssuer::after(1);
    let first = issuer.ask(100, "a").expect("the permit is issued");
    assert_eq!(issuer.ask(101, "b"), None);
    issuer.report(150, "a", first, TrialOutcome::Unused);
    assert!(issuer.ask(151, "b").is_some());
}

/// All suspected attempts were at one upstream and none was a trial, so a single trial tells
/// whether the request was the cause.
#[test]
fn a_trial_that_terminates_its_upstream_after_three_attempts_starts_a_quarantine() {
    let mut issuer = TrialIssuer::after(3);
    let number = issuer
        .ask(100, "a")
        .expect("all three attempts may be bystanders");
    issuer.report(150, "a", number, TrialOutcome::UpstreamTerminated);
    assert_eq!(issuer.ask(151, "b"), None);
    assert_eq!(issuer.ask(119_000, "b"), None);
    let number = issuer.ask(121_000, "b").expect("a second trial is allowed");
    issuer.report(121_050, "b", number, TrialOutcome::UpstreamTerminated);
    assert_eq!(issuer.ask(1_900_000, "a"), None);
    let number = issuer
        .ask(1_930_000, "a")
        .expect("a third trial is allowed");
    issuer.report(1_930_050, "a", number, TrialOutcome::UpstreamTerminated);
    assert_eq!(issuer.ask(80_000_000, "a"), None, "no trial within a day");
}

#[test]
fn a_trial_without_a_reported_outcome_is_not_a_success() {
    let mut issuer = TrialIssuer::after(1);
    assert!(issuer.ask(100, "a").is_some());
    assert_eq!(
        issuer.ask(2_050, "b"),
        None,
        "the trial may still be running"
    );
    assert_eq!(
        issuer.ask(2_150, "b"),
        None,
        "the trial may have terminated its upstream"
    );
    assert_eq!(issuer.ask(3_050, "b"), None);
    let second = issuer
        .ask(3_200, "b")
        .expect("a trial is allowed after the delay");
    issuer.report(3_300, "b", second, TrialOutcome::Unknown);
    assert_eq!(issuer.ask(11_200, "a"), None, "the delay grows");
    assert!(issuer.ask(11_400, "a").is_some());
}

#[test]
fn three_failure_responses_to_trials_clear_a_request() {
    let mut issuer = TrialIssuer::after(2);
    for millis in [100, 200, 300] {
        let number = issuer.ask(millis, "a").expect("the permit is issued");
        issuer.report(millis + 50, "a", number, TrialOutcome::Answered);
    }
    assert_eq!(issuer.quarantine.counts(at(400)), (0, 0));
}
