//! State of an upstream that restarts under the same name.

mod common;

use beamtray_catalog::{Directory, DirectoryPolicy, StartTimestamp, UpstreamId, UpstreamRecord};
use beamtray_dispatch::{
    AttemptHash, AttemptOutcome, Conclusion, Dispatcher, Fingerprint, NotExecuted, Quarantine,
    SpeedRecord, Suspicion, Ticket, UnknownCause, UpstreamHash, UpstreamSpeed,
};
use common::*;
use std::time::Duration;

fn born(birth: u64) -> UpstreamId {
    UpstreamId::with_start("only", StartTimestamp(birth))
}

fn registration(birth: u64) -> UpstreamRecord {
    UpstreamRecord {
        id: born(birth),
        warm_up_left: Duration::from_secs(3),
        ..record("only", "pool", "here", 8_000)
    }
}

/// A directory with one upstream.
fn directory() -> Directory {
    let mut directory = Directory::new(DirectoryPolicy {
        outage_grace: Duration::from_millis(500),
        reregistration_timeout: Duration::from_millis(1_600),
    });
    directory.register(at(0), registration(1));
    directory
}

fn send(node: &mut Dispatcher, directory: &Directory, millis: u64) -> Option<UpstreamId> {
    node.apply_directory(at(millis), directory);
    let admitted = node.admit(at(millis), Ticket(millis), &head("/order/1", None));
    admitted.expect("it is admitted");
    forwarded(node.poll(at(millis), directory)).map(|forward| forward.upstream)
}

#[test]
fn a_new_incarnation_is_not_paused_for_earlier_failures() {
    let mut directory = directory();
    let mut node = dispatcher();
    for millis in [100, 101, 102] {
        if send(&mut node, &directory, millis).is_some() {
            let refused = AttemptOutcome::NotExecuted(NotExecuted::ConnectionRefused);
            node.attempt_ended(at(millis), Ticket(millis), refused);
        }
    }
    assert_eq!(send(&mut node, &directory, 103), None, "it is paused");
    directory.register(at(104), registration(2));
    assert_eq!(send(&mut node, &directory, 105), Some(born(2)));
}

#[test]
fn a_new_incarnation_warms_up_and_has_unknown_speed() {
    let mut directory = directory();
    let mut node = dispatcher();
    let (first, second) = (UpstreamHash::of(&born(1)), UpstreamHash::of(&born(2)));
    node.restore_speeds(&SpeedRecord {
        upstreams: vec![UpstreamSpeed {
            upstream: first,
            slowness: 3.0,
        }],
        ..SpeedRecord::default()
    });
    node.apply_directory(at(10), &directory);
    assert_eq!(node.speeds().slowness(first), 3.0);
    directory.register(at(9_000), registration(2));
    node.apply_directory(at(9_001), &directory);
    assert_eq!(node.speeds().slowness(first), 1.0);
    assert_eq!(node.speeds().slowness(second), 1.0);
    let restarted = directory.get(&born(2)).expect("it is registered");
    assert_eq!(restarted.warm_at, at(12_000));
}

/// A connection that is closed leaves it unknown whether the request was executed, even if the
/// upstream has already restarted.
#[test]
fn a_request_in_flight_at_the_previous_incarnation_has_an_unknown_outcome() {
    let mut directory = directory();
    let mut node = dispatcher();
    assert_eq!(send(&mut node, &directory, 100), Some(born(1)));
    directory.register(at(110), registration(2));
    node.apply_directory(at(110), &directory);
    let broken = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
    let ending = node.attempt_ended(at(120), Ticket(100), broken);
    let unknown = Conclusion::Unknown(UnknownCause::BrokenOff);
    assert_eq!(ending.map(|ending| ending.conclusion), Some(unknown));
    assert!(forwarded(node.poll(at(121), &directory)).is_none());
}

/// The termination of each incarnation counts separately.
#[test]
fn a_request_is_suspected_for_each_terminated_incarnation() {
    let mut quarantine = Quarantine::default();
    let fingerprint = Fingerprint(7);
    for birth in 1..=3 {
        quarantine.merge(
            at(birth),
            Suspicion {
                fingerprint,
                upstream: UpstreamHash::of(&born(birth)),
                attempt: AttemptHash(birth as u32),
                is_trial: false,
                is_cleared: false,
            },
        );
    }
    assert_eq!(quarantine.suspicions_of(fingerprint).len(), 3);
}
