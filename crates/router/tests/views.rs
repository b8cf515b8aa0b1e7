//! A node's views of the store, and how it detects that it is missing changes.

use beamtray_catalog::DirectoryPolicy;
use beamtray_metastore::{Item, Revision, StoreCall, StoreEvent, StoreOutcome};
use beamtray_router::core::{LatestRevisions, RouterKeys, Snapshot, StoreContact, ViewName, Views};
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

/// All views but the members, which are read first.
fn others() -> Vec<ViewName> {
    let others = ViewName::ALL.into_iter();
    others.filter(|view| *view != ViewName::Members).collect()
}

/// Views that were read at revision 10 and are being watched, as on a relay.
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

fn heads(upstreams: u64) -> LatestRevisions {
    let mut latest = [Revision::new(0); ViewName::ALL.len()];
    latest[ViewName::Upstreams as usize] = Revision::new(upstreams);
    LatestRevisions {
        latest,
        contact: None,
    }
}

/// Guards against dead watches: a granter that had been paused waited 8 s on one, and sent
/// requests to an upstream that was draining meanwhile.
#[test]
fn a_watch_that_lags_behind_other_nodes_is_restarted() {
    let mut views = watching();
    views.handle_revisions(at(100), peer(), &heads(12));
    assert_eq!(views.poll(at(350), ViewName::Upstreams), None);
    views.handle_revisions(at(450), peer(), &heads(12));
    let call = views.poll(at(450), ViewName::Upstreams);
    assert!(matches!(call, Some(StoreCall::Watch { after, .. }) if after == Revision::new(10)));
}

#[test]
fn an_event_in_time_keeps_the_watch() {
    let mut views = watching();
    views.handle_revisions(at(100), peer(), &heads(12));
    let outcome = StoreOutcome::Events {
        events: vec![StoreEvent::Removed {
            key: "upstreams/x".to_owned(),
            revision: Revision::new(12),
        }],
        at: Revision::new(12),
    };
    views.handle(at(105), ViewName::Upstreams, 0, outcome);
    views.handle_revisions(at(500), peer(), &heads(12));
    views.handle_revisions(at(900), peer(), &heads(12));
    assert_eq!(views.replica(ViewName::Upstreams).generation(), 0);
}

#[test]
fn an_answer_to_an_abandoned_call_is_ignored() {
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
fn the_store_is_read_again_after_lost_history() {
    let mut views = watching();
    views.handle(at(100), ViewName::Operator, 0, StoreOutcome::Compacted);
    let call = views.poll(at(101), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Range { .. })));
}

#[test]
fn assignments_are_watched_only_while_the_granter_is_silent() {
    let mut views = watching();
    views.note_own_granter(at(1_000));
    assert_eq!(views.poll(at(1_900), ViewName::State), None);
    let call = views.poll(at(2_100), ViewName::State);
    assert!(matches!(call, Some(StoreCall::Watch { prefix, .. }) if prefix == RouterKeys::STATE));
}

#[test]
fn copies_of_another_node_are_adopted_only_if_newer() {
    let mut ahead = watching();
    let item = Item {
        key: format!("{}x", RouterKeys::NODES),
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
        key: format!("{}{name}", RouterKeys::STATE),
        value: Vec::new(),
        revision: Revision::new(revision),
    };
    let mut granter = watching();
    granter.record_own_write(at(100), record("one", 11));
    let mut other = watching();
    other.adopt(at(110), granter.answer(&other.request(&[ViewName::State])));
    granter.record_own_write(at(200), record("two", 12));
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

/// Guards against restarting each watch before the slow store could answer it: a node that had
/// been paused did so and used an outdated configuration for 4 s.
#[test]
fn a_node_with_a_dead_watch_asks_the_node_that_is_ahead() {
    let mut views = watching();
    assert!(
        views
            .handle_revisions(at(100), peer(), &heads(12))
            .is_empty()
    );
    assert!(
        views
            .handle_revisions(at(350), peer(), &heads(12))
            .is_empty()
    );
    let lacking = views.handle_revisions(at(450), peer(), &heads(12));
    assert_eq!(lacking, [ViewName::Upstreams]);
}

/// Guards against restarting a watch while its answer is in transfer: a configuration of 2170
/// routes took longer over a slow link than the node waited before it asked again, so no
/// answer ever arrived completely.
#[test]
fn a_new_watch_is_not_restarted_at_once() {
    let mut views = watching();
    views.handle_revisions(at(100), peer(), &heads(12));
    views.handle_revisions(at(450), peer(), &heads(12));
    let begun = views.replica(ViewName::Upstreams).generation();
    for millis in (500..1_600).step_by(100) {
        views.handle_revisions(at(millis), peer(), &heads(12));
    }
    let after = views.replica(ViewName::Upstreams).generation();
    assert_eq!(begun, after);
}

fn relay_heads(upstreams: u64, age_ms: u64) -> LatestRevisions {
    let contact = StoreContact::new(Duration::from_millis(age_ms), None);
    LatestRevisions {
        contact: Some(contact),
        ..heads(upstreams)
    }
}

#[test]
fn a_node_relies_on_a_relay_only_while_the_relay_reaches_the_store() {
    let mut views = watching();
    views.handle_revisions(at(1_000), peer(), &relay_heads(10, 100));
    views.follow(at(1_010), false);
    assert!(!views.follows_store());
    // The store last answered the relay 0.1 s before the relay's report.
    views.follow(at(1_890), false);
    assert!(!views.follows_store());
    views.follow(at(1_910), false);
    assert!(views.follows_store());
    // A relay that sends reports but has lost the store is not relied on.
    views.handle_revisions(at(2_000), peer(), &relay_heads(10, 1_200));
    views.follow(at(2_010), false);
    assert!(views.follows_store());
    views.handle_revisions(at(2_100), peer(), &relay_heads(10, 50));
    views.follow(at(2_110), false);
    assert!(!views.follows_store());
}

#[test]
fn a_node_that_relies_on_a_relay_fetches_what_it_lacks() {
    let mut views = watching();
    views.handle_revisions(at(1_000), peer(), &relay_heads(10, 100));
    views.follow(at(1_010), false);
    let lacking = views.handle_revisions(at(1_100), peer(), &relay_heads(12, 100));
    assert_eq!(lacking, [ViewName::Upstreams]);
    assert_eq!(views.poll(at(1_200), ViewName::Upstreams), None);
}

/// Guards against skipping revisions: while the watches received nothing, a new configuration
/// was written, and a watch that ended just then reported a revision beyond it. From then on
/// nothing seemed to be missing, and the node used the old configuration.
#[test]
fn a_watch_that_ends_without_events_does_not_advance_the_revision() {
    let mut views = watching();
    let outcome = StoreOutcome::Events {
        events: Vec::new(),
        at: Revision::new(20),
    };
    views.handle(at(8_000), ViewName::Operator, 0, outcome);
    let call = views.poll(at(8_001), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Watch { after, .. }) if after == Revision::new(10)));
}

/// Guards against a slow node that abandons each watch before it answers, and so never learns
/// of any change.
#[test]
fn a_late_answer_of_an_abandoned_watch_is_applied() {
    let mut views = watching();
    views.restart_all(at(400));
    let item = Item {
        key: RouterKeys::node("late"),
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
    // The watch that replaced it is still in progress.
    assert!(views.poll(at(500), ViewName::Members).is_some());
    assert!(views.poll(at(510), ViewName::Members).is_none());
}

/// Guards against needless calls when many nodes start together: each read of the members
/// costs a call, and the relay has them anyway.
#[test]
fn a_node_that_hears_a_relay_gets_the_nodes_from_it() {
    let mut views = views();
    let mut heads = heads(12);
    heads.contact = Some(StoreContact::new(Duration::from_millis(10), None));
    views.handle_revisions(at(0), peer(), &heads);
    views.follow(at(1), false);
    assert_eq!(views.poll(at(1), ViewName::Members), None);
    let lacking = views.handle_revisions(at(2), peer(), &heads);
    assert_eq!(lacking, [ViewName::Upstreams]);
    views.handle_revisions(at(900), peer(), &heads);
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

/// Guards against an outdated configuration at a relay with little processor time. Its watch
/// had lost its history, so it read the store again, adopted another node's copy meanwhile,
/// and discarded what it had read but kept the revision. It lacked a configuration that it
/// considered known until the next one arrived.
#[test]
fn a_discarded_read_does_not_advance_the_revision() {
    let mut views = watching();
    views.handle(at(100), ViewName::Upstreams, 0, StoreOutcome::Compacted);
    let call = views.poll(at(200), ViewName::Upstreams);
    assert!(matches!(call, Some(StoreCall::Range { .. })));
    let copy = Snapshot {
        view: ViewName::Upstreams,
        at: Revision::new(12),
        items: Vec::new(),
        removals: Vec::new(),
        is_full: true,
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
    assert_eq!(has_it, !replica.is_behind(Revision::new(15)));
}

#[test]
fn the_first_page_of_a_failed_read_does_not_advance_the_revision() {
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
    assert!(
        views
            .replica(ViewName::Upstreams)
            .is_behind(Revision::new(15))
    );
}

/// Guards against an outdated configuration after lost history. The watches received nothing
/// for a second in which a configuration was written; then the history was discarded and they
/// were cut. The next watch from the same revision reported that only after 5 s, with the next
/// configuration.
#[test]
fn after_a_watch_was_cut_the_store_is_read_again() {
    let mut views = watching();
    views.handle(at(100), ViewName::Operator, 0, StoreOutcome::Unknown);
    let call = views.poll(at(2_000), ViewName::Operator);
    assert!(matches!(call, Some(StoreCall::Range { .. })), "{call:?}");
}

/// The answer to a lease renewal may reveal the broken path before the watch does.
#[test]
fn after_a_broken_path_the_store_is_read_again() {
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

/// Guards against relying on watches from before a pause: a granter was paused while its path
/// to the store was cut, so no call of its own failed, and later took over as a relay with the
/// old watches. A configuration reached no node for 4 s.
#[test]
fn a_node_that_follows_the_store_again_starts_new_watches() {
    let mut views = watching();
    views.handle_revisions(at(100), peer(), &relay_heads(10, 0));
    views.follow(at(200), false);
    assert!(!views.follows_store());
    views.follow(at(2_000), true);
    for view in [ViewName::Operator, ViewName::Upstreams, ViewName::Members] {
        let call = views.poll(at(2_001), view);
        assert!(matches!(call, Some(StoreCall::Watch { .. })), "{view:?}");
    }
}

/// Guards against a long watch that receives nothing: it was started just after the others
/// were cut, while the store discarded its history, and stayed silent for 25 s, in which 20
/// upstreams drained.
#[test]
fn the_first_watches_after_a_read_are_short() {
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
