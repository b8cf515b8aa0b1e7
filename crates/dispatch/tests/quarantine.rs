//! Requests under which upstreams end.

mod common;

use beamtray_catalog::{Directory, UpstreamId};
use beamtray_dispatch::{
    AttemptOutcome, Conclusion, Decision, Dispatcher, Fingerprint, Fingerprints, Quarantine,
    RefusalReason, RequestContent, RunHash, Suspicion, Ticket, UnknownCause, UpstreamHash,
};
use beamtray_sharding::ShardKey;
use common::*;
use quickcheck::quickcheck;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

const BROKEN_OFF: AttemptOutcome = AttemptOutcome::Unknown(UnknownCause::BrokenOff);
const HERE: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const ELSEWHERE: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

fn content(target: &str) -> RequestContent<'_> {
    RequestContent {
        method: "POST",
        host: "host",
        target,
        key: None,
        body: b"body",
    }
}

fn fingerprints(target: &str) -> Fingerprints {
    Fingerprints::of(&content(target), HERE)
}

/// A node, and the only upstream of a service, which is another incarnation each time.
struct Deployment {
    node: Dispatcher,
    directory: Directory,
    upstream: UpstreamId,
}

impl Deployment {
    fn new() -> Self {
        let mut directory = directory();
        directory.confirm_gone(at(0), &UpstreamId::from("near".to_owned()));
        Self {
            node: dispatcher(),
            directory,
            upstream: UpstreamId::from("far".to_owned()),
        }
    }

    fn restart_upstream(&mut self, millis: u64) {
        self.directory.confirm_gone(at(millis), &self.upstream);
        let id = format!("life-{millis}");
        let record = record(&id, "pool", "here", 9_000);
        self.directory.register(at(millis), record);
        self.upstream = UpstreamId::from(id);
    }

    /// What becomes of a request that comes.
    fn come(&mut self, millis: u64, target: &str) -> Vec<Decision> {
        self.restart_upstream(millis);
        let mut head = head("/order/1", None);
        head.fingerprints = fingerprints(target);
        let admitted = self.node.admit(at(millis), Ticket(millis), &head);
        admitted.expect("it is admitted");
        self.decide(millis)
    }

    /// What is decided now; the node lends the permits that it asks for.
    fn decide(&mut self, millis: u64) -> Vec<Decision> {
        let mut decisions = self.node.poll(at(millis), &self.directory);
        for decision in std::mem::take(&mut decisions) {
            let Decision::AskTrial(request) = decision else {
                decisions.push(decision);
                continue;
            };
            let quarantine = self.node.quarantine_mut();
            let reply = quarantine.lend(at(millis), &request);
            quarantine.trial_answered(at(millis), &reply);
            decisions.extend(self.node.poll(at(millis), &self.directory));
        }
        let quarantine = self.node.quarantine_mut();
        for report in quarantine.take_trial_reports("node") {
            quarantine.take_trial_report(at(millis), &report);
        }
        decisions
    }

    /// Sends a request whose attempt ends that way 20 ms later.
    fn send(&mut self, millis: u64, target: &str, outcome: AttemptOutcome) {
        let decisions = self.come(millis, target);
        assert!(forwarded(decisions).is_some(), "{target} is sent");
        self.node.ended(at(millis + 20), Ticket(millis), outcome);
    }

    /// The upstream ends under the request.
    fn end_under(&mut self, millis: u64, target: &str) {
        self.send(millis, target, BROKEN_OFF);
        let doubted = self.node.take_doubted();
        assert_eq!(doubted.len(), 1);
        let hash = UpstreamHash::of(&doubted[0].upstream);
        let quarantine = self.node.quarantine_mut();
        quarantine.take_untold();
        quarantine.upstream_ended(at(millis + 21), hash);
        assert_eq!(quarantine.take_untold().len(), 2);
    }

    /// Two ends are known from other nodes.
    fn told_of_two(&mut self, target: &str) {
        for upstream in [901, 902] {
            for fingerprint in fingerprints(target).both() {
                let told = suspicion(fingerprint.0, upstream);
                self.node.quarantine_mut().learn(at(1), told);
            }
        }
    }
}

fn refusal(decisions: Vec<Decision>) -> Option<(RefusalReason, Duration)> {
    match concluded(decisions) {
        Some(Conclusion::Refused {
            reason,
            retry_after,
        }) => Some((reason, retry_after)),
        _ => None,
    }
}

#[test]
fn a_request_that_ended_three_upstreams_is_refused_at_once() {
    let mut deployment = Deployment::new();
    deployment.told_of_two("bad");
    deployment.end_under(100, "bad");
    let (reason, retry_after) = refusal(deployment.come(1_000, "bad")).expect("it is refused");
    assert_eq!(reason, RefusalReason::Quarantined);
    assert!(retry_after > Duration::from_secs(100), "{retry_after:?}");
    assert!(forwarded(deployment.come(1_001, "other")).is_some());
}

/// From the first end on one request at a time shows whether it ends another upstream.
#[test]
fn a_suspected_request_is_not_sent_by_two_at_a_time() {
    let mut deployment = Deployment::new();
    deployment.end_under(100, "bad");
    let sent = [1_000, 1_001, 1_002].map(|millis| forwarded(deployment.come(millis, "bad")));
    assert!(sent.into_iter().flatten().count() <= 1);
}

/// A popular read was at an upstream that ended: others that say the same wait for one of
/// them, and go as soon as it is answered.
#[test]
fn a_success_lets_all_that_waited_go() {
    let mut deployment = Deployment::new();
    deployment.end_under(100, "popular");
    assert!(forwarded(deployment.come(1_000, "popular")).is_some());
    let mut head = head("/order/1", None);
    head.fingerprints = fingerprints("popular");
    for ticket in [1, 2] {
        let admitted = deployment.node.admit(at(1_001), Ticket(ticket), &head);
        admitted.expect("it is admitted");
    }
    assert!(deployment.decide(1_002).is_empty());
    let success = AttemptOutcome::Answered { success: true };
    deployment.node.ended(at(1_050), Ticket(1_000), success);
    let sent = deployment.decide(1_051);
    assert_eq!(sent.len(), 2);
    assert!(matches!(sent[1], Decision::Forward(..)));
}

#[test]
fn what_waits_too_long_for_a_trial_is_refused() {
    let mut deployment = Deployment::new();
    deployment.end_under(100, "bad");
    assert!(forwarded(deployment.come(1_000, "bad")).is_some());
    assert!(deployment.come(1_001, "bad").is_empty());
    let (reason, retry_after) = refusal(deployment.decide(1_090)).expect("it is refused");
    assert_eq!(reason, RefusalReason::Quarantined);
    assert!(retry_after < Duration::from_secs(1), "{retry_after:?}");
}

/// One that waits for a slot while others that say the same end upstreams is not sent.
#[test]
fn a_request_that_waits_is_refused_when_it_becomes_known() {
    let mut node = dispatcher();
    let mut head = head("/order/1", None);
    head.fingerprints = fingerprints("bad");
    node.admit(at(50), Ticket(1), &head)
        .expect("it is admitted");
    for upstream in 1..=3 {
        let told = suspicion(fingerprints("bad").from_caller.0, upstream);
        node.quarantine_mut().learn(at(51), told);
    }
    let (reason, _) = refusal(node.poll(at(52), &directory())).expect("it is refused");
    assert_eq!(reason, RefusalReason::Quarantined);
}

/// It was at the upstreams when they ended, and is not what ended them.
#[test]
fn a_request_that_was_answered_between_is_not_kept_off() {
    let mut deployment = Deployment::new();
    deployment.told_of_two("bystander");
    deployment.send(100, "bystander", AttemptOutcome::Answered { success: true });
    deployment.end_under(200, "bystander");
    assert!(forwarded(deployment.come(1_000, "bystander")).is_some());
}

/// What reads the same from another caller may be something else.
#[test]
fn a_success_for_one_caller_does_not_clear_another() {
    let of = |caller| Fingerprints::of(&content("same"), caller);
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        for fingerprint in of(HERE).both() {
            let suspicion = Suspicion {
                fingerprint,
                upstream: UpstreamHash(upstream),
                run: RunHash(1),
                is_trial: false,
                is_cleared: false,
            };
            quarantine.learn(at(1), suspicion);
        }
    }
    assert!(quarantine.remaining(at(2), of(ELSEWHERE)).is_some());
    for upstream in 1..=3 {
        let cleared = Suspicion {
            fingerprint: of(ELSEWHERE).content,
            upstream: UpstreamHash(upstream),
            run: RunHash(1),
            is_trial: false,
            is_cleared: true,
        };
        quarantine.learn(at(3), cleared);
    }
    assert!(quarantine.remaining(at(4), of(ELSEWHERE)).is_none());
    assert!(quarantine.remaining(at(4), of(HERE)).is_some());
}

#[test]
fn a_connection_that_breaks_off_alone_suspects_nobody() {
    let mut deployment = Deployment::new();
    for millis in [100, 200, 300, 400] {
        deployment.send(millis, "unlucky", BROKEN_OFF);
        for doubted in deployment.node.take_doubted() {
            let hash = UpstreamHash::of(&doubted.upstream);
            deployment.node.quarantine_mut().upstream_lives(hash);
            deployment
                .node
                .quarantine_mut()
                .upstream_ended(at(millis + 30), hash);
        }
    }
    assert!(deployment.node.quarantine_mut().take_untold().is_empty());
}

/// The end of its connection got lost on the way.
#[test]
fn a_request_that_got_no_answer_is_suspected_if_the_upstream_ended() {
    let mut deployment = Deployment::new();
    deployment.told_of_two("bad");
    let silent = AttemptOutcome::Unknown(UnknownCause::TimedOut);
    deployment.send(100, "bad", silent);
    let doubted = deployment.node.take_doubted();
    assert_eq!(doubted.len(), 1);
    let hash = UpstreamHash::of(&doubted[0].upstream);
    deployment
        .node
        .quarantine_mut()
        .upstream_ended(at(900), hash);
    assert!(refusal(deployment.come(1_000, "bad")).is_some());
}

/// An upstream that is full answers nobody; it is tried once a second.
#[test]
fn an_upstream_that_leaves_many_unanswered_is_doubted_once_a_second() {
    let mut deployment = Deployment::new();
    let mut tried = 0;
    for millis in (0..2_000).step_by(50) {
        let mut head = head("/order/1", None);
        head.fingerprints = fingerprints("slow");
        let admitted = deployment.node.admit(at(millis), Ticket(millis), &head);
        admitted.expect("it is admitted");
        let decisions = deployment.node.poll(at(millis), &deployment.directory);
        if forwarded(decisions).is_some() {
            let silent = AttemptOutcome::Unknown(UnknownCause::TimedOut);
            deployment
                .node
                .ended(at(millis + 20), Ticket(millis), silent);
            tried += deployment.node.take_doubted().len();
        }
    }
    assert!((1..=2).contains(&tried), "{tried} times");
}

/// It is tried again after a while, and kept off for longer if it does the same.
#[test]
fn each_further_end_doubles_the_time_for_which_it_is_kept_off() {
    let mut deployment = Deployment::new();
    deployment.told_of_two("bad");
    deployment.end_under(100, "bad");
    assert!(refusal(deployment.come(119_000, "bad")).is_some());
    deployment.end_under(121_000, "bad");
    let (_, retry_after) = refusal(deployment.come(122_000, "bad")).expect("it is refused");
    assert!(retry_after > Duration::from_secs(230), "{retry_after:?}");
}

fn suspicion(fingerprint: u64, upstream: u32) -> Suspicion {
    Suspicion {
        fingerprint: Fingerprint(fingerprint),
        upstream: UpstreamHash(upstream),
        run: RunHash(1),
        is_trial: false,
        is_cleared: false,
    }
}

#[test]
fn memory_is_bounded_and_keeps_the_most_suspected() {
    let mut quarantine = Quarantine::default();
    for upstream in 1..=3 {
        quarantine.learn(at(1), suspicion(7, upstream));
    }
    for fingerprint in 100..10_100 {
        quarantine.learn(at(2), suspicion(fingerprint, 9));
    }
    let (suspected, kept_off) = quarantine.counts(at(3));
    assert!(suspected <= 4_096, "{suspected} are remembered");
    assert_eq!(kept_off, 1);
}

#[test]
fn each_part_of_the_content_counts() {
    let first = content("/a");
    let of = |content: RequestContent<'_>| Fingerprints::of(&content, HERE).content;
    let others = [
        RequestContent {
            method: "PUT",
            ..first
        },
        RequestContent {
            host: "other",
            ..first
        },
        RequestContent {
            target: "/b",
            ..first
        },
        RequestContent {
            key: Some(ShardKey(0)),
            ..first
        },
        RequestContent {
            body: b"other",
            ..first
        },
        RequestContent {
            target: "/ab",
            body: b"ody",
            ..first
        },
    ];
    for other in others {
        assert_ne!(of(other), of(first), "{other:?}");
    }
    let elsewhere = Fingerprints::of(&first, ELSEWHERE);
    assert_eq!(elsewhere.content, of(first));
    assert_ne!(
        elsewhere.from_caller,
        Fingerprints::of(&first, HERE).from_caller
    );
}

quickcheck! {
    /// In whatever order, and however often, nodes hear of things, they know the same.
    fn what_is_known_does_not_depend_on_the_order(told: Vec<(u8, u8, u8, bool)>) -> bool {
        let suspicions: Vec<Suspicion> = told
            .iter()
            .map(|(fingerprint, upstream, run, is_cleared)| Suspicion {
                fingerprint: Fingerprint(u64::from(fingerprint % 3)),
                upstream: UpstreamHash(u32::from(upstream % 6)),
                run: RunHash(u32::from(run % 5)),
                is_trial: run % 5 == 4,
                is_cleared: *is_cleared,
            })
            .collect();
        let mut one = Quarantine::default();
        let mut other = Quarantine::default();
        for suspicion in &suspicions {
            one.learn(at(1), *suspicion);
        }
        for suspicion in suspicions.iter().rev().chain(&suspicions) {
            other.learn(at(1), *suspicion);
        }
        one.record() == other.record()
    }
}
