//! The revision of a mirror never decreases.

use beamtray_metastore::{Item, Mirror, MirrorChange, Revision, StoreEra, StoreEvent};
use quickcheck::{Gen, QuickCheck, quickcheck};

const SEED: u64 = 20_261_202;

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: vec![revision as u8],
        revision: Revision::new(revision),
    }
}

#[test]
fn older_snapshot_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(10), vec![item("a", 9)]);
    assert!(
        mirror
            .replace(Revision::new(8), vec![item("a", 3)])
            .is_empty()
    );
    assert_eq!(
        mirror.get("a").map(|item| item.revision),
        Some(Revision::new(9))
    );
}

#[test]
fn stale_page_does_not_undo_a_watch_event() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(10), vec![item("a", 9)]);
    mirror.apply(Revision::new(12), vec![StoreEvent::Put(item("a", 12))]);
    mirror.replace(Revision::new(13), vec![item("a", 9)]);
    assert_eq!(
        mirror.get("a").map(|item| item.revision),
        Some(Revision::new(12))
    );
}

#[test]
fn removal_older_than_the_item_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(10), vec![item("a", 10)]);
    let removed = StoreEvent::Removed {
        key: "a".to_owned(),
        revision: Revision::new(7),
    };
    assert!(mirror.apply(Revision::new(11), vec![removed]).is_empty());
    assert!(mirror.get("a").is_some());
}

#[test]
fn snapshot_reports_absent_keys() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(1), vec![item("a", 1), item("b", 1)]);
    let changes = mirror.replace(Revision::new(2), vec![item("b", 1)]);
    assert_eq!(changes, [MirrorChange::Absent("a".to_owned())]);
}

quickcheck! {
    fn revision_never_decreases(steps: Vec<(u8, bool)>) -> bool {
        let mut mirror = Mirror::default();
        let mut last = None;
        steps.into_iter().all(|(revision, is_snapshot)| {
            let at = Revision::new(revision.into());
            if is_snapshot {
                mirror.replace(at, vec![item("a", revision.into())]);
            } else {
                mirror.apply(at, vec![StoreEvent::Put(item("a", revision.into()))]);
            }
            let did_not_decrease = mirror.revision() >= last;
            last = mirror.revision();
            did_not_decrease
        })
    }
}

/// Applying the delta of a newer mirror to an older one makes them equal.
#[test]
fn delta_brings_an_older_mirror_up_to_date() {
    fn catches_up(before: Vec<(u8, bool)>, after: Vec<(u8, bool)>) -> bool {
        let mut ahead = Mirror::default();
        ahead.replace(Revision::new(1), Vec::new());
        let mut revision = 1;
        let mut step = |mirror: &mut Mirror, (key, present): (u8, bool)| {
            revision += 1;
            let key = format!("{}", key % 8);
            let event = match present {
                true => StoreEvent::Put(item(&key, revision)),
                false => StoreEvent::Removed {
                    key,
                    revision: Revision::new(revision),
                },
            };
            mirror.apply(Revision::new(revision), vec![event]);
        };
        before.into_iter().for_each(|one| step(&mut ahead, one));
        let mut behind = ahead.clone();
        after.into_iter().for_each(|one| step(&mut ahead, one));
        let since = behind.revision().expect("read");
        let delta = ahead.delta(since).expect("remembered");
        let removed = delta.absent.into_iter().map(|removal| StoreEvent::Removed {
            key: removal.key,
            revision: removal.revision,
        });
        let events = removed.chain(delta.present.into_iter().map(StoreEvent::Put));
        behind.apply(ahead.revision().expect("read"), events.collect());
        behind.items().eq(ahead.items())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(50, SEED))
        .quickcheck(catches_up as fn(Vec<(u8, bool)>, Vec<(u8, bool)>) -> bool);
}

#[test]
fn mirror_without_the_removals_returns_no_delta() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(10), Vec::new());
    assert!(mirror.delta(Revision::new(9)).is_none());
    assert!(mirror.delta(Revision::new(10)).is_some());
    for revision in 0..1_100 {
        let key = format!("{revision}");
        let put = 11 + 2 * revision;
        let removed = StoreEvent::Removed {
            key: key.clone(),
            revision: Revision::new(put + 1),
        };
        mirror.apply(Revision::new(put), vec![StoreEvent::Put(item(&key, put))]);
        mirror.apply(Revision::new(put + 1), vec![removed]);
    }
    assert!(mirror.delta(Revision::new(10)).is_none());
    assert!(mirror.delta(mirror.revision().expect("read")).is_some());
}

fn later(number: u64) -> Revision {
    Revision {
        era: StoreEra(1),
        number,
    }
}

fn item_at(key: &str, revision: Revision) -> Item {
    Item {
        key: key.to_owned(),
        value: Vec::new(),
        revision,
    }
}

/// Guards against a mirror that rejects snapshots of a store restored from an older copy,
/// because their revision numbers are lower.
#[test]
fn snapshot_of_a_later_era_replaces_higher_revision_numbers() {
    let mut mirror = Mirror::default();
    let old = vec![
        item_at("a", Revision::new(80)),
        item_at("b", Revision::new(90)),
    ];
    mirror.replace(Revision::new(100), old);
    let changes = mirror.replace(later(60), vec![item_at("a", later(55))]);
    assert_eq!(mirror.revision(), Some(later(60)));
    assert!(changes.contains(&MirrorChange::Absent("b".to_owned())));
    assert!(changes.contains(&MirrorChange::Present(item_at("a", later(55)))));
    let late = mirror.replace(Revision::new(120), vec![item_at("c", Revision::new(110))]);
    assert!(late.is_empty(), "a late snapshot of the previous era");
}

/// Guards against events that are applied to a state of the store that the mirror never had.
#[test]
fn events_of_another_era_are_ignored_before_a_snapshot() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(100), vec![item_at("a", Revision::new(80))]);
    let put = StoreEvent::Put(item_at("c", later(101)));
    assert!(mirror.apply(later(101), vec![put]).is_empty());
    assert_eq!(mirror.revision(), Some(Revision::new(100)));
}

/// Guards against a delta that is computed for another node's mirror of an earlier era.
#[test]
fn no_delta_is_returned_across_eras() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision::new(100), vec![item_at("a", Revision::new(80))]);
    mirror.replace(later(60), vec![item_at("a", later(55))]);
    assert!(mirror.delta(Revision::new(100)).is_none());
    assert!(mirror.delta(later(60)).is_some());
}
