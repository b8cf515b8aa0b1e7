//! Election of the granter.

use beamtray_metastore::{
    Election, ElectionConfig, Epoch, GranterRecord, Item, LeaseId, LeaseTiming, Revision,
    StoreCall, StoreEra, StoreOutcome,
};
use beamtray_types::Time;
use std::time::Duration;

const TTL: Duration = Duration::from_millis(2_000);

fn config() -> ElectionConfig {
    ElectionConfig {
        granter_key: "granter".to_owned(),
        epoch_key: "epoch".to_owned(),
        node: "node".to_owned(),
        run: 7,
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        lease: LeaseTiming {
            ttl: TTL,
            renewal: Duration::from_millis(500),
        },
        candidacy_delay: Duration::from_millis(50),
    }
}

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn leased(lease: Option<u64>) -> StoreOutcome {
    StoreOutcome::Leased {
        lease: lease.map(LeaseId),
        ttl: TTL,
    }
}

fn item(key: &str, value: Vec<u8>, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value,
        revision: Revision::new(revision),
    }
}

/// A node that acquires the absent granter key at about 100 ms.
fn elected() -> Election {
    let mut election = Election::new(config());
    assert_eq!(election.poll(at(0), Some((None, None))), None);
    let call = election.poll(at(60), Some((None, None)));
    assert!(matches!(call, Some(StoreCall::GrantLease { .. })));
    election.handle(at(70), &leased(Some(1)));
    let call = election.poll(at(100), Some((None, None)));
    assert!(matches!(call, Some(StoreCall::Commit(_))));
    let revision = Revision::new(5);
    election.handle(at(110), &StoreOutcome::Committed { revision });
    election
}

#[test]
fn no_call_is_made_before_the_keys_are_known() {
    let mut election = Election::new(config());
    assert_eq!(election.poll(at(1_000), None), None);
}

#[test]
fn authority_ends_before_the_lease_can_expire_in_the_store() {
    let election = elected();
    // The lease was requested at 60 ms, so it expires in the store at 2,060 ms at the earliest.
    let authority = election
        .authority(at(120))
        .expect("the node is the granter");
    assert_eq!(authority.epoch, Epoch(1));
    assert!(authority.valid_until < at(2_060));
    assert!(election.authority(authority.valid_until).is_none());
}

#[test]
fn paused_granter_has_no_authority_when_it_resumes() {
    let election = elected();
    assert!(election.authority(at(9_000)).is_none());
}

#[test]
fn late_successful_renewal_restores_authority() {
    let mut election = elected();
    let call = election.poll(at(5_000), Some((None, None)));
    assert!(matches!(call, Some(StoreCall::KeepLease { .. })));
    election.handle(at(5_010), &leased(None));
    assert_eq!(
        election.authority(at(5_020)).map(|a| a.epoch),
        Some(Epoch(1))
    );
}

#[test]
fn expired_lease_ends_the_term() {
    let mut election = elected();
    election.poll(at(5_000), Some((None, None)));
    election.handle(at(5_010), &StoreOutcome::Absent);
    assert!(election.authority(at(5_020)).is_none());
}

#[test]
fn new_epoch_is_above_the_stored_one() {
    let mut election = Election::new(config());
    let epoch = item("epoch", borsh::to_vec(&Epoch(41)).expect("encodes"), 3);
    election.poll(at(0), Some((None, Some(&epoch))));
    election.poll(at(60), Some((None, Some(&epoch))));
    election.handle(at(70), &leased(Some(1)));
    let call = election.poll(at(100), Some((None, Some(&epoch))));
    let Some(StoreCall::Commit(transaction)) = call else {
        panic!("not a transaction: {call:?}");
    };
    assert_eq!(transaction.conditions[0].revision, Revision::new(0));
    assert_eq!(transaction.conditions[1].revision, Revision::new(3));
    let written: Epoch = borsh::from_slice(&transaction.writes[1].value).expect("an epoch");
    assert_eq!(written, Epoch(42));
}

#[test]
fn acquisition_with_a_lost_answer_is_recognized_in_the_store() {
    let mut election = Election::new(config());
    election.poll(at(0), Some((None, None)));
    election.poll(at(60), Some((None, None)));
    election.handle(at(70), &leased(Some(1)));
    election.poll(at(100), Some((None, None)));
    election.handle(at(1_000), &StoreOutcome::Unknown);
    assert!(election.authority(at(1_000)).is_none());
    let record = GranterRecord {
        node: "node".to_owned(),
        run: 7,
        epoch: Epoch(1),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
    };
    let seen = item("granter", borsh::to_vec(&record).expect("encodes"), 9);
    election.poll(at(1_010), Some((Some(&seen), None)));
    let authority = election
        .authority(at(1_020))
        .expect("the node is the granter");
    assert_eq!(authority.revision, Revision::new(9));
}

fn held_by(node: &str, port: u16) -> Item {
    let record = GranterRecord {
        node: node.to_owned(),
        run: 6,
        epoch: Epoch(4),
        peer_address: ([127, 0, 0, 1], port).into(),
    };
    item("granter", borsh::to_vec(&record).expect("encodes"), 9)
}

/// A previous run of the node has ended, and its authority with it, but its lease would keep
/// the granter key for two seconds. The key is replaced only at the revision that was seen.
#[test]
fn key_of_a_previous_run_is_replaced_at_once() {
    let mut election = Election::new(config());
    let seen = held_by("node", 7_000);
    let call = election.poll(at(500), Some((Some(&seen), None)));
    assert!(matches!(call, Some(StoreCall::GrantLease { .. })));
    assert!(election.authority(at(500)).is_none());
    election.handle(at(510), &leased(Some(1)));
    assert!(election.authority(at(510)).is_none());
    let call = election.poll(at(510), Some((Some(&seen), None)));
    let Some(StoreCall::Commit(transaction)) = call else {
        panic!("not a transaction: {call:?}");
    };
    let condition = &transaction.conditions[0];
    assert_eq!(condition.key, "granter");
    assert_eq!(condition.revision, Revision::new(9));
    assert!(election.authority(at(515)).is_none());
    let revision = Revision::new(12);
    election.handle(at(520), &StoreOutcome::Committed { revision });
    assert!(election.authority(at(520)).is_some());
}

/// A process with the same name at another address may still be running.
#[test]
fn key_of_a_node_at_another_address_is_not_replaced() {
    for seen in [held_by("node", 7_001), held_by("other", 7_000)] {
        let mut election = Election::new(config());
        assert_eq!(election.poll(at(500), Some((Some(&seen), None))), None);
        assert_eq!(election.poll(at(5_000), Some((Some(&seen), None))), None);
        assert!(election.authority(at(5_000)).is_none());
    }
}

#[test]
fn resigning_ends_authority_at_once() {
    let mut election = elected();
    let call = election.resign();
    assert!(matches!(call, Some(StoreCall::RevokeLease { .. })));
    assert!(election.authority(at(120)).is_none());
    assert_eq!(election.poll(at(10_000), Some((None, None))), None);
}

fn granter_item(run: u64, epoch: u64, revision: u64) -> Item {
    let record = GranterRecord {
        node: "node".to_owned(),
        run,
        epoch: Epoch(epoch),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
    };
    item(
        "granter",
        borsh::to_vec(&record).expect("encodes"),
        revision,
    )
}

/// Guards against a granter that continues its term after the store reverted to an older
/// state: another node may have been the granter since that state.
#[test]
fn new_era_ends_authority_and_the_key_is_reacquired_in_a_higher_term() {
    let mut election = elected();
    let era = StoreEra(3);
    election.begin_era(era);
    assert!(election.authority(at(130)).is_none());
    let granter = granter_item(7, 1, 2);
    let epoch = item("epoch", borsh::to_vec(&Epoch(1)).expect("encodes"), 2);
    let call = election.poll(at(200), Some((Some(&granter), Some(&epoch))));
    let Some(StoreCall::Commit(transaction)) = call else {
        panic!("not a transaction: {call:?}");
    };
    assert_eq!(transaction.conditions[0].revision, Revision::new(2));
    let revision = Revision::new(3);
    election.handle(at(210), &StoreOutcome::Committed { revision });
    let authority = election
        .authority(at(220))
        .expect("the node is the granter");
    assert_eq!(authority.epoch, Epoch::first_of(era));
    assert_eq!(authority.predecessor, Epoch(1));
}

/// Guards against an epoch that is used twice because the store lost its first use.
#[test]
fn epochs_of_an_era_are_above_those_of_earlier_eras() {
    let many = 60_000;
    for era in [0, 1, 2, 40, 9_000] {
        let last = Epoch::first_of(StoreEra(era)).0 + many;
        assert!(Epoch::first_of(StoreEra(era + 1)) > Epoch(last));
    }
    assert_eq!(Epoch::first_of(StoreEra(0)), Epoch(0));
}

/// Guards against a node that replaces another granter's key because it was the granter itself
/// before the store reverted.
#[test]
fn key_of_another_node_is_not_replaced_in_a_new_era() {
    let mut election = elected();
    election.begin_era(StoreEra(1));
    let record = GranterRecord {
        node: "other".to_owned(),
        run: 3,
        epoch: Epoch(1),
        peer_address: ([127, 0, 0, 2], 7_000).into(),
    };
    let granter = item("granter", borsh::to_vec(&record).expect("encodes"), 2);
    for millis in [200, 400, 1_000] {
        let call = election.poll(at(millis), Some((Some(&granter), None)));
        assert!(
            !matches!(call, Some(StoreCall::Commit(_))),
            "at {millis} ms"
        );
    }
}

/// Guards against a granter that waits for its own old lease to expire when the store reverts
/// again before the granter has reacquired its key.
#[test]
fn key_is_reacquired_at_once_after_two_new_eras() {
    let mut election = elected();
    election.begin_era(StoreEra(1));
    election.begin_era(StoreEra(2));
    let granter = granter_item(7, 1, 2);
    let epoch = item("epoch", borsh::to_vec(&Epoch(1)).expect("encodes"), 2);
    let call = election.poll(at(200), Some((Some(&granter), Some(&epoch))));
    assert!(matches!(call, Some(StoreCall::Commit(_))), "{call:?}");
}

// Guards against a successor that acts while orders of this node are still under way.
#[test]
fn a_node_that_steps_down_has_no_authority_and_revokes_its_lease_later() {
    let mut election = elected();
    let granter = item("granter", Vec::new(), 5);
    let delay = Duration::from_millis(500);
    election.step_down(at(200), delay);
    assert!(election.authority(at(200)).is_none());
    assert_eq!(election.poll(at(690), Some((Some(&granter), None))), None);
    let call = election.poll(at(700), Some((Some(&granter), None)));
    let lease = LeaseId(1);
    assert_eq!(call, Some(StoreCall::RevokeLease { lease }));
}

// Guards against a node that takes its own term up again after it stepped down.
#[test]
fn a_node_that_steps_down_waits_for_the_key_to_be_vacant() {
    let mut election = elected();
    let record = GranterRecord {
        node: "node".to_owned(),
        run: 7,
        epoch: Epoch(1),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
    };
    let granter = item("granter", borsh::to_vec(&record).expect("encodes"), 5);
    election.step_down(at(200), Duration::from_millis(500));
    for millis in (210..2_000).step_by(10) {
        election.poll(at(millis), Some((Some(&granter), None)));
        assert!(election.authority(at(millis)).is_none(), "{millis} ms");
    }
    election.handle(at(2_000), &StoreOutcome::Absent);
    election.poll(at(2_010), Some((None, None)));
    let call = election.poll(at(2_500), Some((None, None)));
    assert!(matches!(call, Some(StoreCall::GrantLease { .. })));
}
