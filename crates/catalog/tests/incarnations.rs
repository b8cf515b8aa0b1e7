//! Which of several incarnations of a name is the current one.

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
/// Maximum delay of a write by an upstream that has terminated.
const MAX_WRITE_DELAY_MILLIS: u64 = 6_000;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 8_000).into()
}

fn incarnation(millis: u64) -> UpstreamId {
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

/// Ids of the registered upstreams.
fn registered_ids(directory: &Directory) -> Vec<UpstreamId> {
    let registered_ids = directory.iter();
    registered_ids.map(|one| one.record.id.clone()).collect()
}

#[test]
fn restart_replaces_the_previous_incarnation() {
    let mut directory = directory();
    directory.register(at(0), record(incarnation(100)));
    let changes = directory.register(at(1_000), record(incarnation(200)));
    let restarted = DirectoryChange::Restarted {
        earlier: incarnation(100),
        later: incarnation(200),
        address: address(),
    };
    assert_eq!(
        changes,
        [
            DirectoryChange::Removed(incarnation(100)),
            restarted,
            DirectoryChange::Registered(incarnation(200), UpstreamState::Ready),
        ]
    );
    assert_eq!(registered_ids(&directory), [incarnation(200)]);
}

#[test]
fn restart_is_accepted_after_the_clock_stepped_back() {
    let mut directory = directory();
    directory.register(at(0), record(incarnation(900)));
    directory.register(at(1_000), record(incarnation(200)));
    assert_eq!(registered_ids(&directory), [incarnation(200)]);
}

#[test]
fn late_write_is_ignored_after_the_registration_was_missing() {
    let mut directory = directory();
    directory.register(at(0), record(incarnation(100)));
    directory.handle_missing(at(3_000), &[incarnation(100).name]);
    assert_eq!(registered_ids(&directory), []);
    let restarted = directory.register(at(3_500), record(incarnation(200)));
    assert!(restarted.iter().any(|change| matches!(
        change,
        DirectoryChange::Restarted { earlier, .. } if *earlier == incarnation(100)
    )));
    assert_eq!(directory.register(at(5_000), record(incarnation(100))), []);
    assert_eq!(directory.expire(at(6_000)), []);
    directory.register(at(6_100), record(incarnation(200)));
    directory.expire(at(20_000));
    assert_eq!(registered_ids(&directory), [incarnation(200)]);
}

/// A node that knows neither incarnation sees a late write of the terminated one after the entry of
/// the live one.
#[test]
fn persistent_entry_reinstates_its_incarnation() {
    let mut directory = directory();
    let (live, terminated) = (incarnation(200), incarnation(100));
    directory.register(at(0), record(live.clone()));
    directory.register(at(100), record(terminated.clone()));
    assert_eq!(registered_ids(&directory), [terminated]);
    directory.register(at(1_100), record(live.clone()));
    let reinstated_at = at(1_100) + REINSTATEMENT_DELAY;
    assert_eq!(
        directory.expire(reinstated_at - Duration::from_millis(1)),
        []
    );
    let changes = directory.expire(reinstated_at + Duration::from_secs(1));
    assert!(!changes.is_empty());
    assert_eq!(registered_ids(&directory), [live]);
}

#[test]
fn late_entry_that_disappears_is_not_reinstated() {
    let mut directory = directory();
    directory.register(at(0), record(incarnation(100)));
    directory.register(at(1_000), record(incarnation(200)));
    directory.register(at(2_000), record(incarnation(100)));
    directory.handle_missing(at(5_000), &[incarnation(100).name]);
    directory.expire(at(30_000));
    assert_eq!(registered_ids(&directory), []);
}

#[test]
fn removal_applies_to_one_incarnation() {
    let mut directory = directory();
    directory.register(at(0), record(incarnation(100)));
    directory.confirm_terminated(at(1_000), &incarnation(100));
    directory.register(at(1_500), record(incarnation(100)));
    assert_eq!(registered_ids(&directory), []);
    directory.register(at(2_000), record(incarnation(200)));
    assert_eq!(registered_ids(&directory), [incarnation(200)]);
}

#[test]
fn name_without_start_timestamp_is_one_incarnation() {
    let mut directory = directory();
    let without_start = UpstreamId::from("u");
    directory.register(at(0), record(without_start.clone()));
    directory.handle_missing(at(1_000), &[UpstreamName("u".to_owned())]);
    let changes = directory.register(at(2_000), record(without_start.clone()));
    let registered = DirectoryChange::Registered(without_start.clone(), UpstreamState::Ready);
    assert_eq!(changes, [registered]);
    directory.confirm_terminated(at(3_000), &without_start);
    directory.register(at(4_000), record(without_start));
    assert_eq!(registered_ids(&directory), []);
}

quickcheck! {
    /// Incarnations follow one another, each writes every second while it is live, and each
    /// may leave one late write: the live incarnation is registered as of its first entry
    /// and remains so.
    fn live_incarnation_is_registered(starts: Vec<u8>, late: Vec<Option<u16>>) -> bool {
        const LIFETIME_MILLIS: u64 = 8_000;
        let mut starts = starts;
        starts.sort_unstable_by_key(|start| start.reverse_bits());
        starts.dedup();
        let mut writes = Vec::new();
        for (number, start) in starts.iter().enumerate() {
            let from = number as u64 * LIFETIME_MILLIS;
            writes.extend((from..from + LIFETIME_MILLIS).step_by(1_000).map(|time| (time, number, *start)));
            if let Some(Some(after)) = late.get(number) {
                let time = from + LIFETIME_MILLIS + u64::from(*after) % MAX_WRITE_DELAY_MILLIS + 1;
                writes.push((time, number, *start));
            }
        }
        writes.sort_unstable();
        let mut directory = directory();
        for (time, _, start) in writes {
            directory.expire(at(time));
            directory.register(at(time), record(incarnation(start.into())));
            let live = starts[(time / LIFETIME_MILLIS) as usize % starts.len()];
            let is_over = time >= starts.len() as u64 * LIFETIME_MILLIS;
            if !is_over && registered_ids(&directory) != [incarnation(live.into())] {
                return false;
            }
        }
        true
    }
}
