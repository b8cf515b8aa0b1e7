//! What a node knows, and how it notices that it does not hear.

use beamtray_catalog::DirectoryPolicy;
use beamtray_metastore::{Item, Revision, StoreCall, StoreEvent, StoreOutcome};
use beamtray_router::core::{OwnKeys, Snapshot, StoreContact, ViewHeads, ViewName, Views};
use beamtray_routersim::SimDialect;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn peer() -> SocketAddr {
    ([127, 0, 0, 1], 7_001).into()
}

fn views() -> Views {
    let policy = DirectoryPolicy {
        outage_grace: Duration::from_millis(500),
        reregistration_timeout: Duration::from_millis(1_600),
    };
    let dialect = Rc::new(SimDialect::default());
    Views::new(dialect, policy, Duration::from_secs(8))
}

/// All views but the nodes, which are read first.
fn others() -> Vec<ViewName> {
    let others = ViewName::ALL.into_iter();
    others.filter(|view| *view != ViewName::Members).collect()
}

/// Reads every view at revision 10 and begins to watch, as a relay does.
fn watching() -> Views {
    let mut views = views();
    let [members, others] = [vec![ViewName::Members], others()];
    for view in members.into_iter().chain(others) {
        let call = views.poll(at(0), view);
        assert!(matches!(call, Some(StoreCall::Range { .. })));
        let page = StoreOutcome::Page {
            items: Vec::new(),
            more: false,
            at: Revision::new(10),
        };
        views.handle(at(1), view, 0, page);
        views.follow(at(1), true);
    }
    for view in [ViewName::Operator, ViewName::Upstreams, ViewName::Members] {
        let call = views.poll(at(2), view);
        assert!(matches!(call, Some(StoreCall::Watch { .. })));
    }
    views
}

fn heads(upstreams: u64) -> ViewHeads {
    let mut latest = [Revision::new(0); ViewName::ALL.len()];
    latest[ViewName::Upstreams as usize] = Revision::new(upstreams);
    ViewHeads {
        latest,
        contact: None,
    }
}

/// Found by a hunt: a granter that had been frozen waited 8 s on a watch that
/// was dead, and sent to an upstream that drained meanwhile.
#[test]
fn a_watch_that_others_are_ahead_of_is_given_up() {
    let mut views = watching();
    views.heads(at(100), peer(), &heads(12));
    assert_eq!(views.poll(at(350), ViewName::Upstreams), None);
    views.heads(at(450), peer(), &heads(12));
    let call = views.poll(at(450), ViewName::Upstreams);
    assert!(matches!(call, Some(StoreCall::Watch { after, .. }) if after == Revision::new(10)));
}

#[test]
fn an_event_in_time_keeps_the_watch() {
    let mut views = watching();
    views.heads(at(100), peer(), &heads(12));
    let outcome = StoreOutcome::Events {
        events: vec![StoreEvent::Removed {
            key: "upstreams/x".to_owned(),
            revision: Revision::new(12),
        }],
        at: Revision::new(12),
    };
    views.handle(at(105), ViewName::Upstreams, 0, outcome);
    views.heads(at(500), peer(), &heads(12));
    views.heads(at(900), peer(), &heads(12));
    assert_eq!(views.replica(ViewName::Upstreams).generation(), 0);
}

#[test]
fn an_answer_to_a_call_that_was_given_up_is_ignored() {
    let mut views = watching();
    views.restart_all(at(100));
    let outcome = StoreOutcome::Events {
        events: Vec::new(),
        at: Revision::new(99),
    };
    views.handle(at(200), ViewName::Upstreams, 0, outcome);
    assert_eq!(
        views.replica(ViewName::Upstreams).mirror().revision(),
        Some(Revision::new(10))
    );
}

#[test]
fn lost_history_is_read_again() {
    let mut views = watching();
    views.handle(at(100), ViewName::Operator, 0, StoreOutcome::Compacted);
    let call = views.poll(at(101), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Range { .. })));
}

#[test]
fn assignments_are_watched_only_while_the_granter_is_silent() {
    let mut views = watching();
    views.granter_is_here(at(1_000));
    assert_eq!(views.poll(at(1_900), ViewName::State), None);
    let call = views.poll(at(2_100), ViewName::State);
    assert!(matches!(call, Some(StoreCall::Watch { prefix, .. }) if prefix == OwnKeys::STATE));
}

#[test]
fn another_nodes_copies_help_only_forward() {
    let mut ahead = watching();
    let item = Item {
        key: format!("{}x", OwnKeys::NODES),
        value: Vec::new(),
        revision: Revision::new(15),
    };
    let outcome = StoreOutcome::Events {
        events: vec![StoreEvent::Put(item)],
        at: Revision::new(15),
    };
    ahead.handle(at(100), ViewName::Members, 0, outcome);
    let mut behind = watching();
    let snapshots = ahead.answer(&behind.request(&ViewName::ALL));
    assert_eq!(snapshots.len(), 1);
    behind.adopt(at(200), snapshots);
    let members = |views: &Views| views.replica(ViewName::Members).mirror().revision();
    assert_eq!(members(&behind), Some(Revision::new(15)));
    assert!(ahead.answer(&behind.request(&ViewName::ALL)).is_empty());
    assert!(behind.answer(&ahead.request(&ViewName::ALL)).is_empty());
}

#[test]
fn of_the_granters_records_only_newer_ones_are_sent() {
    let record = |name: &str, revision| Item {
        key: format!("{}{name}", OwnKeys::STATE),
        value: Vec::new(),
        revision: Revision::new(revision),
    };
    let mut granter = watching();
    granter.wrote(at(100), record("one", 11));
    let mut other = watching();
    other.adopt(at(110), granter.answer(&other.request(&[ViewName::State])));
    granter.wrote(at(200), record("two", 12));
    let snapshots = granter.answer(&other.request(&[ViewName::State]));
    let keys: Vec<&str> = snapshots[0]
        .items
        .iter()
        .map(|item| item.key.as_str())
        .collect();
    assert_eq!(keys, [record("two", 12).key]);
    other.adopt(at(210), snapshots);
    assert_eq!(other.replica(ViewName::State).mirror().items().count(), 2);
}

/// Found on a day: a node that had been frozen gave each new watch up before
/// the slow store had answered it, and served by an old configuration for 4 s.
#[test]
fn a_node_with_a_dead_watch_asks_the_node_that_is_ahead() {
    let mut views = watching();
    assert!(views.heads(at(100), peer(), &heads(12)).is_empty());
    assert!(views.heads(at(350), peer(), &heads(12)).is_empty());
    let lacking = views.heads(at(450), peer(), &heads(12));
    assert_eq!(lacking, [ViewName::Upstreams]);
}

/// Found on a day: a version of 2170 routes took longer through a narrow link
/// than the node waited before it asked again, so that none ever came whole.
#[test]
fn a_new_watch_is_given_time() {
    let mut views = watching();
    views.heads(at(100), peer(), &heads(12));
    views.heads(at(450), peer(), &heads(12));
    let begun = views.replica(ViewName::Upstreams).generation();
    for millis in (500..1_600).step_by(100) {
        views.heads(at(millis), peer(), &heads(12));
    }
    let after = views.replica(ViewName::Upstreams).generation();
    assert_eq!(begun, after);
}

fn relay_heads(upstreams: u64, age_ms: u64) -> ViewHeads {
    let contact = StoreContact::new(Duration::from_millis(age_ms), None);
    ViewHeads {
        contact: Some(contact),
        ..heads(upstreams)
    }
}

#[test]
fn a_node_relies_on_a_relay_only_while_the_relay_reaches_the_store() {
    let mut views = watching();
    views.heads(at(1_000), peer(), &relay_heads(10, 100));
    views.follow(at(1_010), false);
    assert!(!views.follows());
    // The relay was last answered 0.1 s before it said so.
    views.follow(at(1_890), false);
    assert!(!views.follows());
    views.follow(at(1_910), false);
    assert!(views.follows());
    // A relay that is heard but has lost the store is not relied on.
    views.heads(at(2_000), peer(), &relay_heads(10, 1_200));
    views.follow(at(2_010), false);
    assert!(views.follows());
    views.heads(at(2_100), peer(), &relay_heads(10, 50));
    views.follow(at(2_110), false);
    assert!(!views.follows());
}

#[test]
fn a_node_that_relies_on_a_relay_fetches_what_it_lacks() {
    let mut views = watching();
    views.heads(at(1_000), peer(), &relay_heads(10, 100));
    views.follow(at(1_010), false);
    let lacking = views.heads(at(1_100), peer(), &relay_heads(12, 100));
    assert_eq!(lacking, [ViewName::Upstreams]);
    assert_eq!(views.poll(at(1_200), ViewName::Upstreams), None);
}

/// Found by a hunt: while watches heard nothing a new configuration was written,
/// and a watch that ended just then told a revision beyond it. From there on
/// nothing was missing, and the node served by the old one.
#[test]
fn a_watch_that_ends_without_events_proves_nothing() {
    let mut views = watching();
    let outcome = StoreOutcome::Events {
        events: Vec::new(),
        at: Revision::new(20),
    };
    views.handle(at(8_000), ViewName::Operator, 0, outcome);
    let call = views.poll(at(8_001), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Watch { after, .. }) if after == Revision::new(10)));
}

/// Found on grown days: a slow node gave each watch up before it answered, and
/// so never heard of anything.
#[test]
fn the_late_answer_of_a_watch_that_was_given_up_on_is_taken() {
    let mut views = watching();
    views.restart_all(at(400));
    let item = Item {
        key: OwnKeys::node("late"),
        value: Vec::new(),
        revision: Revision::new(12),
    };
    let late = StoreOutcome::Events {
        events: vec![StoreEvent::Put(item)],
        at: Revision::new(12),
    };
    views.handle(at(500), ViewName::Members, 0, late);
    let mirror = views.replica(ViewName::Members).mirror();
    assert_eq!(mirror.revision(), Some(Revision::new(12)));
    // The watch that was sent instead is still under way.
    assert!(views.poll(at(500), ViewName::Members).is_some());
    assert!(views.poll(at(510), ViewName::Members).is_none());
}

/// Where many nodes start together, each reading of who there is costs a call; the
/// relay has it anyway.
#[test]
fn a_node_that_hears_a_relay_gets_the_nodes_from_it() {
    let mut views = views();
    let mut heads = heads(12);
    heads.contact = Some(StoreContact::new(Duration::from_millis(10), None));
    views.heads(at(0), peer(), &heads);
    views.follow(at(1), false);
    assert_eq!(views.poll(at(1), ViewName::Members), None);
    let lacking = views.heads(at(2), peer(), &heads);
    assert_eq!(lacking, [ViewName::Upstreams]);
    views.heads(at(900), peer(), &heads);
    let call = views.poll(at(1_001), ViewName::Members);
    assert!(matches!(call, Some(StoreCall::Range { .. })), "{call:?}");
}

fn upstream(revision: u64) -> Item {
    Item {
        key: "upstreams/x".to_owned(),
        value: Vec::new(),
        revision: Revision::new(revision),
    }
}

/// Found on a day of weak machines (CONFIG), and by its symptoms in a hunt: a relay whose
/// watch had lost its history read the store again, took another node's copy meanwhile,
/// and dropped what it had read, but for its revision. It lacked a configuration then that
/// it believed to have, until the next one came.
#[test]
fn a_reading_that_is_dropped_counts_for_nothing() {
    let mut views = watching();
    views.handle(at(100), ViewName::Upstreams, 0, StoreOutcome::Compacted);
    let call = views.poll(at(200), ViewName::Upstreams);
    assert!(matches!(call, Some(StoreCall::Range { .. })));
    let copy = Snapshot {
        view: ViewName::Upstreams,
        at: Revision::new(12),
        items: Vec::new(),
        removals: Vec::new(),
        is_whole: true,
    };
    views.adopt(at(210), vec![copy]);
    let page = StoreOutcome::Page {
        items: vec![upstream(15)],
        more: false,
        at: Revision::new(15),
    };
    views.handle(at(300), ViewName::Upstreams, 0, page);
    let replica = views.replica(ViewName::Upstreams);
    let has_it = replica.mirror().get("upstreams/x").is_some();
    assert_eq!(has_it, !replica.lacks(Revision::new(15)));
}

#[test]
fn the_first_page_of_a_reading_that_fails_counts_for_nothing() {
    let mut views = watching();
    views.handle(at(100), ViewName::Upstreams, 0, StoreOutcome::Compacted);
    views.poll(at(200), ViewName::Upstreams);
    let page = StoreOutcome::Page {
        items: vec![upstream(15)],
        more: true,
        at: Revision::new(15),
    };
    views.handle(at(300), ViewName::Upstreams, 0, page);
    views.poll(at(310), ViewName::Upstreams);
    views.handle(at(400), ViewName::Upstreams, 0, StoreOutcome::Unknown);
    assert!(views.replica(ViewName::Upstreams).lacks(Revision::new(15)));
}

/// Found by a hunt (CONFIG): watches heard nothing for a second in which a configuration
/// was written, then the history was dropped and they were cut. The next watch from the
/// same revision waited for 5 s, until the next configuration, to learn of that.
#[test]
fn after_a_watch_was_cut_the_store_is_read_again() {
    let mut views = watching();
    views.handle(at(100), ViewName::Operator, 0, StoreOutcome::Unknown);
    let call = views.poll(at(2_000), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Range { .. })), "{call:?}");
}

/// The answer to a lease renewal may tell of the dead path before the watch does.
#[test]
fn after_the_path_was_dead_the_store_is_read_again() {
    let mut views = watching();
    views.restart_all(at(100));
    let call = views.poll(at(110), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Range { .. })), "{call:?}");
}

#[test]
fn a_watch_that_was_refused_is_tried_again() {
    let mut views = watching();
    views.handle(at(100), ViewName::Operator, 0, StoreOutcome::Refused);
    let call = views.poll(at(2_000), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Watch { .. })), "{call:?}");
}

/// Found by simulation: a granter stood still while its path to the store was cut, so no
/// call of its own failed, and later took over as a relay with the watches from before. A
/// configuration reached nobody for 4 s.
#[test]
fn a_node_that_follows_the_store_again_trusts_no_older_watch() {
    let mut views = watching();
    views.heads(at(100), peer(), &relay_heads(10, 0));
    views.follow(at(200), false);
    assert!(!views.follows());
    views.follow(at(2_000), true);
    for view in [ViewName::Operator, ViewName::Upstreams, ViewName::Members] {
        let call = views.poll(at(2_001), view);
        assert!(matches!(call, Some(StoreCall::Watch { .. })), "{view:?}");
    }
}

/// Found by a hunt: a watch that began just after the others were cut, while the store
/// dropped its history, heard nothing for 25 s; 20 upstreams drained meanwhile.
#[test]
fn the_first_watches_after_a_reading_are_short() {
    let mut views = watching();
    let mut waits = Vec::new();
    views.restart_all(at(100));
    for millis in [100, 110, 700, 1_900] {
        let call = views.poll(at(millis), ViewName::Upstreams);
        let outcome = match call {
            Some(StoreCall::Range { .. }) => StoreOutcome::Page {
                items: Vec::new(),
                more: false,
                at: Revision::new(20),
            },
            Some(StoreCall::Watch { wait, .. }) => {
                waits.push(wait.as_millis());
                StoreOutcome::Events {
                    events: Vec::new(),
                    at: Revision::new(20),
                }
            }
            other => panic!("{other:?}"),
        };
        let generation = views.replica(ViewName::Upstreams).generation();
        views.handle(at(millis + 5), ViewName::Upstreams, generation, outcome);
    }
    assert_eq!(waits, [500, 1_000, 2_000]);
}
