//! Which of two incarnations of one name counts.

use beamtray_catalog::{
    Directory, DirectoryChange, DirectoryPolicy, REINSTATEMENT_DELAY, StartTimestamp, UpstreamId,
    UpstreamName, UpstreamRecord, UpstreamState,
};
use beamtray_types::Time;
use quickcheck::quickcheck;
use std::net::SocketAddr;
use std::time::Duration;

const POLICY: DirectoryPolicy = DirectoryPolicy {
    outage_grace: Duration::from_millis(500),
    reregistration_timeout: Duration::from_millis(1_600),
};
/// How late a dead writer's entry may still come.
const LATE: u64 = 6_000;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 8_000).into()
}

fn born(millis: u64) -> UpstreamId {
    UpstreamId::with_start("u", StartTimestamp(millis))
}

fn record(id: UpstreamId) -> UpstreamRecord {
    UpstreamRecord {
        id,
        service: "service".into(),
        address: address(),
        zone: "zone".into(),
        slots: 2,
        state: UpstreamState::Ready,
        warm_up_left: Duration::ZERO,
    }
}

fn directory() -> Directory {
    Directory::new(POLICY)
}

/// Whom the directory holds.
fn held(directory: &Directory) -> Vec<UpstreamId> {
    let held = directory.iter();
    held.map(|one| one.record.id.clone()).collect()
}

#[test]
fn a_restart_takes_the_place_of_the_one_before() {
    let mut directory = directory();
    directory.register(at(0), record(born(100)));
    let changes = directory.register(at(1_000), record(born(200)));
    let restarted = DirectoryChange::Restarted {
        earlier: born(100),
        later: born(200),
        address: address(),
    };
    assert_eq!(
        changes,
        [
            DirectoryChange::Removed(born(100)),
            restarted,
            DirectoryChange::Registered(born(200), UpstreamState::Ready),
        ]
    );
    assert_eq!(held(&directory), [born(200)]);
}

#[test]
fn a_clock_that_stepped_back_keeps_no_restart_out() {
    let mut directory = directory();
    directory.register(at(0), record(born(900)));
    directory.register(at(1_000), record(born(200)));
    assert_eq!(held(&directory), [born(200)]);
}

#[test]
fn a_late_write_changes_nothing_also_after_the_registration_vanished() {
    let mut directory = directory();
    directory.register(at(0), record(born(100)));
    directory.handle_missing(at(3_000), &[born(100).name]);
    assert_eq!(held(&directory), []);
    let restarted = directory.register(at(3_500), record(born(200)));
    assert!(restarted.iter().any(|change| matches!(
        change,
        DirectoryChange::Restarted { earlier, .. } if *earlier == born(100)
    )));
    assert_eq!(directory.register(at(5_000), record(born(100))), []);
    assert_eq!(directory.expire(at(6_000)), []);
    directory.register(at(6_100), record(born(200)));
    directory.expire(at(20_000));
    assert_eq!(held(&directory), [born(200)]);
}

/// A node that knew neither of them sees a late write after the living one's entry.
#[test]
fn an_entry_that_stands_is_of_the_one_that_lives() {
    let mut directory = directory();
    let (living, dead) = (born(200), born(100));
    directory.register(at(0), record(living.clone()));
    directory.register(at(100), record(dead.clone()));
    assert_eq!(held(&directory), [dead]);
    directory.register(at(1_100), record(living.clone()));
    let stands = at(1_100) + REINSTATEMENT_DELAY;
    assert_eq!(directory.expire(stands - Duration::from_millis(1)), []);
    let changes = directory.expire(stands + Duration::from_secs(1));
    assert!(!changes.is_empty());
    assert_eq!(held(&directory), [living]);
}

#[test]
fn a_late_entry_that_vanishes_again_is_not_believed() {
    let mut directory = directory();
    directory.register(at(0), record(born(100)));
    directory.register(at(1_000), record(born(200)));
    directory.register(at(2_000), record(born(100)));
    directory.handle_missing(at(5_000), &[born(100).name]);
    directory.expire(at(30_000));
    assert_eq!(held(&directory), []);
}

#[test]
fn who_was_found_gone_is_one_incarnation() {
    let mut directory = directory();
    directory.register(at(0), record(born(100)));
    directory.confirm_gone(at(1_000), &born(100));
    directory.register(at(1_500), record(born(100)));
    assert_eq!(held(&directory), []);
    directory.register(at(2_000), record(born(200)));
    assert_eq!(held(&directory), [born(200)]);
}

#[test]
fn without_a_birth_a_name_is_one_incarnation() {
    let mut directory = directory();
    let unborn = UpstreamId::from("u");
    directory.register(at(0), record(unborn.clone()));
    directory.handle_missing(at(1_000), &[UpstreamName("u".to_owned())]);
    let changes = directory.register(at(2_000), record(unborn.clone()));
    let registered = DirectoryChange::Registered(unborn.clone(), UpstreamState::Ready);
    assert_eq!(changes, [registered]);
    directory.confirm_gone(at(3_000), &unborn);
    directory.register(at(4_000), record(unborn));
    assert_eq!(held(&directory), []);
}

quickcheck! {
    /// Incarnations follow one another, each writes each second while it lives, and each
    /// may leave one write that comes late: whoever lives is held within a second of its
    /// first entry, and from then on.
    fn the_living_one_is_held(births: Vec<u8>, late: Vec<Option<u16>>) -> bool {
        const LIFE: u64 = 8_000;
        let mut births = births;
        births.sort_unstable_by_key(|birth| birth.reverse_bits());
        births.dedup();
        let mut writes = Vec::new();
        for (number, birth) in births.iter().enumerate() {
            let from = number as u64 * LIFE;
            writes.extend((from..from + LIFE).step_by(1_000).map(|time| (time, number, *birth)));
            if let Some(Some(after)) = late.get(number) {
                let time = from + LIFE + u64::from(*after) % LATE + 1;
                writes.push((time, number, *birth));
            }
        }
        writes.sort_unstable();
        let mut directory = directory();
        for (time, _, birth) in writes {
            directory.expire(at(time));
            directory.register(at(time), record(born(birth.into())));
            let living = births[(time / LIFE) as usize % births.len()];
            let is_over = time >= births.len() as u64 * LIFE;
            if !is_over && held(&directory) != [born(living.into())] {
                return false;
            }
        }
        true
    }
}
