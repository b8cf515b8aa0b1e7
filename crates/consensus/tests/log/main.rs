//! Tests of the replicated log with blocked links, paused members and
//! membership changes.

mod harness;

use beamtray_consensus::{Membership, Role, Snapshot};
use beamtray_types::{LogIndex, Member};
use harness::{Group, member};
use quickcheck::{Gen, QuickCheck, TestResult};
use std::time::Duration;

const CONVERGENCE_TIME: Duration = Duration::from_secs(3);

fn group_with_leader(count: u32, seed: u64) -> Group {
    let mut group = Group::new(count, seed, true);
    group.run(CONVERGENCE_TIME);
    assert!(group.leader().is_some(), "a leader is elected");
    group
}

fn others(group: &Group, than: Member) -> Vec<Member> {
    let all = group.members.keys().copied();
    all.filter(|member| *member != than).collect()
}

#[test]
fn commands_are_applied_in_order_by_every_member() {
    let mut group = group_with_leader(3, 1);
    for command in 0..20 {
        assert!(group.propose(command).is_some());
    }
    group.run(CONVERGENCE_TIME);
    let expected: Vec<u8> = (0..20).collect();
    for node in 1..=3 {
        assert_eq!(group.commands(member(node)), expected);
    }
}

#[test]
fn isolated_leader_commits_nothing_and_rejoins() {
    let mut group = group_with_leader(3, 2);
    let old = group.leader().expect("a leader");
    group.isolate(old);
    group
        .members
        .get_mut(&old)
        .expect("a member")
        .propose(group.now, vec![9])
        .expect("it leads");
    group.run(CONVERGENCE_TIME);
    assert!(!group.commands(old).contains(&9));
    let new = group.leader().expect("the majority elects another");
    assert_ne!(new, old);
    group.propose(1);
    group.blocked_links.clear();
    group.run(CONVERGENCE_TIME);
    assert_eq!(group.commands(old), vec![1]);
    assert!(group.agrees());
}

#[test]
fn lease_of_paused_leader_expires() {
    let mut group = group_with_leader(3, 3);
    let old = group.leader().expect("a leader");
    group.paused.insert(old);
    group.run(CONVERGENCE_TIME);
    assert!(!group.members[&old].has_lease(group.now));
    assert_ne!(group.leader(), Some(old));
}

/// Guards against two leaders with a lease at the same time. If the link
/// between the leader and another voter fails, that voter starts an election;
/// without vote withholding, the third voter grants its vote while the old
/// lease is still valid.
#[test]
fn withholding_votes_prevents_concurrent_leases() {
    let leases_overlap = |withhold: bool, seed: u64| {
        let mut group = Group::new(3, seed, withhold);
        group.run(CONVERGENCE_TIME);
        let Some(leader) = group.leader() else {
            return false;
        };
        let other = others(&group, leader)[0];
        group.block_link(leader, other);
        group.run(CONVERGENCE_TIME);
        group.concurrent_leases.is_some()
    };
    assert!(
        (1..=20).any(|seed| leases_overlap(false, seed)),
        "concurrent leases must occur without vote withholding"
    );
    assert!(
        (1..=100).all(|seed| !leases_overlap(true, seed)),
        "concurrent leases must not occur with vote withholding"
    );
}

#[test]
fn leadership_transfer_keeps_the_log_contiguous() {
    let mut group = group_with_leader(3, 4);
    group.propose(1);
    group.run(Duration::from_millis(200));
    let old = group.leader().expect("a leader");
    let successor = others(&group, old)[0];
    let now = group.now;
    let raft = group.members.get_mut(&old).expect("a member");
    raft.transfer_leadership(now, successor).expect("it leads");
    assert!(
        !raft.has_lease(now),
        "a transfer ends the lease immediately"
    );
    group.run(Duration::from_millis(400));
    assert_eq!(group.members[&successor].role(), Role::Leader);
    group.propose(2);
    group.run(CONVERGENCE_TIME);
    assert_eq!(group.commands(old), vec![1, 2]);
}

#[test]
fn learner_catches_up_by_snapshot_and_becomes_voter() {
    let mut group = group_with_leader(3, 5);
    for command in 0..5 {
        group.propose(command);
        group.run(Duration::from_millis(200));
    }
    let leader = group.leader().expect("a leader");
    let now = group.now;
    let raft = group.members.get_mut(&leader).expect("a member");
    raft.compact(raft.commit_index(), vec![42]);
    let learner = member(4);
    let learners = Membership {
        voters: raft.membership().voters.clone(),
        learners: [learner].into(),
    };
    raft.propose_membership(now, learners)
        .expect("a learner joins");
    group.start(learner, Snapshot::default());
    group.run(CONVERGENCE_TIME);
    let raft = group.members.get_mut(&leader).expect("a member");
    assert_eq!(raft.match_index(learner), Some(raft.last_index()));
    let mut voters = raft.membership().voters.clone();
    voters.insert(learner);
    let now = group.now;
    raft.propose_membership(now, Membership::of_voters(voters))
        .expect("it gets a vote");
    group.run(CONVERGENCE_TIME);
    assert!(group.members[&learner].is_voter());
    assert!(group.agrees());
}

#[test]
fn membership_change_of_two_voters_is_refused() {
    let mut group = group_with_leader(5, 6);
    let leader = group.leader().expect("a leader");
    let now = group.now;
    let raft = group.members.get_mut(&leader).expect("a member");
    let fewer = Membership::of_voters([member(1), member(2), member(3)]);
    assert!(raft.propose_membership(now, fewer).is_err());
}

#[test]
fn single_voter_commits_without_replies() {
    let mut group = group_with_leader(1, 7);
    group.propose(1);
    group.run(Duration::from_millis(100));
    assert_eq!(group.commands(member(1)), vec![1]);
    assert!(group.members[&member(1)].commit_index() > LogIndex(1));
}

/// Fixed seed, so that every run generates the same cases.
const SEED: u64 = 20_261_202;
const SIZE: usize = 60;

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

/// There is one leader per term, one lease at a time and the same entries on
/// all members, for any sequence of blocked links and pauses.
#[test]
fn safety_holds_with_blocked_links_and_pauses() {
    fn holds(seed: u64, script: Vec<(u8, u8, u8)>) -> TestResult {
        if script.len() > 12 {
            return TestResult::discard();
        }
        let mut group = Group::new(3, seed % 1_000, true);
        group.run(Duration::from_secs(2));
        for (number, (action, one, other)) in script.into_iter().enumerate() {
            let one = member(u32::from(one % 3) + 1);
            let other = member(u32::from(other % 3) + 1);
            match action % 5 {
                0 => group.block_link(one, other),
                1 => {
                    group.blocked_links.insert((one, other));
                }
                2 => {
                    group.paused.insert(one);
                }
                3 => {
                    group.paused.remove(&one);
                    group.blocked_links.clear();
                }
                _ => {
                    group.propose(number as u8);
                }
            }
            group.run(Duration::from_millis(u64::from(action) * 8));
        }
        let one_leader = group.leaders.values().all(|leaders| leaders.len() == 1);
        TestResult::from_bool(one_leader && group.concurrent_leases.is_none() && group.agrees())
    }
    checker().quickcheck(holds as fn(u64, Vec<(u8, u8, u8)>) -> TestResult);
}

/// After an isolated member is reconnected, the group commits a command on all
/// members.
#[test]
fn group_recovers_after_isolation() {
    fn recovers(seed: u64, isolated: u8) -> bool {
        let mut group = Group::new(3, seed % 1_000, true);
        group.run(Duration::from_secs(2));
        group.isolate(member(u32::from(isolated % 3) + 1));
        group.run(Duration::from_secs(3));
        group.blocked_links.clear();
        group.run(Duration::from_secs(3));
        let proposed = group.propose(7).is_some();
        group.run(Duration::from_secs(2));
        proposed && (1..=3).all(|node| group.commands(member(node)).contains(&7))
    }
    checker().quickcheck(recovers as fn(u64, u8) -> bool);
}
