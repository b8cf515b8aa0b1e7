//! The event log of a history.

use beamtray_routersim::{
    Fault, FaultKind, FaultPlan, LoggedEvent, Outcome, WorldConfig, run_plan,
};

fn history(logs_events: bool) -> Outcome {
    let faults = vec![
        Fault::new(7_000, 4_000, FaultKind::OrdersLate { percent: 40 }),
        Fault::new(9_000, 1_500, FaultKind::StoreGoesBack { back_ms: 2_000 }),
        Fault::new(9_500, 1_000, FaultKind::NodeKill { node: None }),
    ];
    let config = WorldConfig {
        logs_events,
        ..WorldConfig::drawn(3)
    };
    run_plan(config, FaultPlan { faults }, None)
}

/// Guards against a log that changes the history which it is to explain.
#[test]
fn a_logged_history_is_the_one_without_a_log() {
    let (logged, plain) = (history(true), history(false));
    assert!(plain.events.is_empty());
    assert_eq!(logged.violations, plain.violations);
    assert_eq!(
        (logged.requests, logged.served, logged.releases),
        (plain.requests, plain.served, plain.releases)
    );
}

/// Guards against delayed orders that no log shows: a violation names only the last of them.
#[test]
fn a_log_shows_each_step_of_a_delayed_order() {
    let events = history(true).events;
    let delayed = events.iter().find_map(|entry| match &entry.event {
        LoggedEvent::OrderDelayed { order, .. } => Some((entry.at, order.call)),
        _ => None,
    });
    let (delayed_at, call) = delayed.expect("an order is delayed");
    let sent = events.iter().any(|entry| {
        let is_sent =
            matches!(&entry.event, LoggedEvent::OrderSent { order, .. } if order.call == call);
        is_sent && entry.at < delayed_at
    });
    let executed = events.iter().any(|entry| {
        let is_late = matches!(
            &entry.event,
            LoggedEvent::OrderExecuted { order, is_late: true, .. } if order.call == call
        );
        is_late && entry.at > delayed_at
    });
    assert!(sent && executed);
    let has = |wanted: fn(&LoggedEvent) -> bool| events.iter().any(|entry| wanted(&entry.event));
    assert!(has(|event| matches!(
        event,
        LoggedEvent::StoreRolledBack { .. }
    )));
    assert!(has(|event| matches!(event, LoggedEvent::NodeEnded(_))));
    assert!(has(|event| matches!(
        event,
        LoggedEvent::Term { epoch: Some(_), .. }
    )));
    assert!(has(|event| matches!(
        event,
        LoggedEvent::FaultEnded(FaultKind::OrdersLate { .. })
    )));
    assert!(events.windows(2).all(|pair| pair[0].at <= pair[1].at));
}
