//! Timelines from the log lines of several nodes.

use beamtray_explain::{Line, key_timeline, request_timeline};

const LINES: &str = r#"
 -1.0 node-1 time=1000 level=INFO msg=start node=node-1
  0.0 node-1 time=1010 level=INFO msg=configuration_in_force routes=3 version=7
  0.0 node-1 time=1020 level=INFO msg=assignment sequence=4 epoch=2 service=keyed
  0.1 node-1 time=1100 level=INFO msg=sent key=40 epoch=2 sequence=4 upstream=u1 service=keyed request=abc
  0.2 node-2 time=1150 level=INFO msg=order reply="Released(Some(Handover(\"x y\")))" range=32..63 holder=u1 service=keyed kind=Release
  0.2 node-2 time=1160 level=INFO msg=order reply=Released range=64..99 holder=u9 service=keyed kind=Release
  0.3 node-1 time=1200 level=INFO msg=attempt_ended outcome=misdirected upstream=u1 request=abc
  0.3 node-1 time=1210 level=INFO msg=sent key=41 upstream=u1 service=keyed request=other
  0.4 node-1 time=1300 level=INFO msg=concluded outcome=refused reason=KeyUnheld key=40 service=keyed request=abc
not a line
"#;

fn lines() -> Vec<Line> {
    let lines = LINES.lines().rev();
    lines.filter_map(|text| Line::parse("-", text)).collect()
}

#[test]
fn quoted_values_are_read_whole() {
    let lines = lines();
    let released = lines.iter().find(|line| line.time_ms == 1150);
    let reply = released.and_then(|line| line.get("reply"));
    assert_eq!(reply, Some("Released(Some(Handover(\"x y\")))"));
}

#[test]
fn a_line_without_a_collector_gets_its_node_from_the_source() {
    let line = Line::parse("file.log", "time=5 level=INFO msg=stopped").expect("a line");
    assert_eq!(
        (line.node.as_str(), line.event.as_str()),
        ("file.log", "stopped")
    );
}

#[test]
fn request_timeline_is_ordered_and_has_related_events() {
    let timeline = request_timeline(&lines(), "abc");
    let events: Vec<(u64, &str)> = timeline
        .iter()
        .map(|entry| (entry.line.time_ms, entry.line.event.as_str()))
        .collect();
    let expected = [
        (1100, "sent"),
        (1150, "order"),
        (1200, "attempt_ended"),
        (1300, "concluded"),
    ];
    assert_eq!(events, expected);
    let state_events: Vec<&str> = timeline[0]
        .state_events
        .iter()
        .map(|state_event| state_event.event.as_str())
        .collect();
    assert_eq!(
        state_events,
        ["assignment", "configuration_in_force", "start"]
    );
    assert!(
        timeline[0]
            .to_string()
            .contains("believed for 80 ms: assignment")
    );
}

#[test]
fn key_timeline_has_orders_and_upstream_changes() {
    let timeline = key_timeline(&lines(), Some("keyed"), 40);
    let times: Vec<u64> = timeline.iter().map(|entry| entry.line.time_ms).collect();
    assert_eq!(times, [1100, 1150, 1300]);
}

#[test]
fn unknown_request_has_an_empty_timeline() {
    assert!(request_timeline(&lines(), "nobody").is_empty());
}

const POISON: &str = r#"
 0.1 node-1 time=1000 level=INFO msg=request_suspected ended=1 short=7 fingerprint=aa
 0.1 node-2 time=1001 level=INFO msg=request_suspected ended=1 short=7 fingerprint=aa
 0.2 node-1 time=2000 level=INFO msg=request_suspected ended=2 short=8 fingerprint=bb
 0.25 node-1 time=2500 level=INFO msg=request_tried outcome=ended fingerprint=aa
 0.26 node-1 time=2600 level=INFO msg=request_tried outcome=ended fingerprint=bb
 0.3 node-1 time=3000 level=WARN msg=request_kept_off for_s=120 ended=3 fingerprint=aa
 0.4 node-1 time=4000 level=INFO msg=concluded content=aa from_caller=cc outcome=refused reason=Quarantined service=pool request=late
"#;

/// The request's own line does not show why it was refused.
#[test]
fn quarantined_request_includes_events_of_its_fingerprint() {
    let lines: Vec<Line> = POISON
        .lines()
        .filter_map(|text| Line::parse("-", text))
        .collect();
    let timeline = request_timeline(&lines, "late");
    let times: Vec<u64> = timeline.iter().map(|entry| entry.line.time_ms).collect();
    assert_eq!(times, [1000, 2500, 3000, 4000]);
}
