//! A copy of a prefix never goes back.

use beamtray_metastore::{Item, Mirror, MirrorChange, Revision, StoreEvent};
use quickcheck::quickcheck;

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: key.to_owned(),
        value: vec![revision as u8],
        revision: Revision(revision),
    }
}

#[test]
fn an_older_reading_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision(10), vec![item("a", 9)]);
    assert!(mirror.replace(Revision(8), vec![item("a", 3)]).is_empty());
    assert_eq!(mirror.get("a").map(|item| item.revision), Some(Revision(9)));
}

#[test]
fn a_page_read_early_does_not_undo_what_a_watch_told() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision(10), vec![item("a", 9)]);
    mirror.apply(Revision(12), vec![StoreEvent::Put(item("a", 12))]);
    mirror.replace(Revision(13), vec![item("a", 9)]);
    assert_eq!(
        mirror.get("a").map(|item| item.revision),
        Some(Revision(12))
    );
}

#[test]
fn a_removal_that_is_older_than_the_item_is_ignored() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision(10), vec![item("a", 10)]);
    let removed = StoreEvent::Removed {
        key: "a".to_owned(),
        revision: Revision(7),
    };
    assert!(mirror.apply(Revision(11), vec![removed]).is_empty());
    assert!(mirror.get("a").is_some());
}

#[test]
fn a_reading_tells_what_is_absent() {
    let mut mirror = Mirror::default();
    mirror.replace(Revision(1), vec![item("a", 1), item("b", 1)]);
    let changes = mirror.replace(Revision(2), vec![item("b", 1)]);
    assert_eq!(changes, [MirrorChange::Absent("a".to_owned())]);
}

quickcheck! {
    fn the_revision_never_falls(steps: Vec<(u8, bool)>) -> bool {
        let mut mirror = Mirror::default();
        let mut last = None;
        steps.into_iter().all(|(revision, whole)| {
            let at = Revision(revision.into());
            if whole {
                mirror.replace(at, vec![item("a", revision.into())]);
            } else {
                mirror.apply(at, vec![StoreEvent::Put(item("a", revision.into()))]);
            }
            let rose = mirror.at() >= last;
            last = mirror.at();
            rose
        })
    }
}
