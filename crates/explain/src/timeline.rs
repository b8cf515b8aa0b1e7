//! Selection and ordering of log lines, with the state that the node assumed.

use crate::line::Line;
use std::collections::BTreeMap;
use std::fmt;

/// Events that change a node's assumed state.
const STATE_EVENTS: [&str; 14] = [
    "start",
    "stopping",
    "reload",
    "configuration_in_force",
    "granter_seen",
    "granter_here",
    "granter_ended",
    "assignment",
    "store_lost",
    "store_regained",
    "upstream_registered",
    "upstream_removed",
    "upstream_unconfirmed",
    "upstream_restarted",
];

/// A line of a timeline, with the state that the node assumed when it wrote the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// The line.
    pub line: Line,
    /// Latest events that set the relevant state of the node, newest first.
    pub state_events: Vec<Line>,
}

impl fmt::Display for TimelineEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = &self.line;
        writeln!(
            formatter,
            "{} {} {} {}",
            line.time_ms,
            line.node,
            line.event,
            line.details()
        )?;
        for state_event in &self.state_events {
            let age = line.time_ms.saturating_sub(state_event.time_ms);
            writeln!(
                formatter,
                "    believed for {age} ms: {} {}",
                state_event.event,
                state_event.details()
            )?;
        }
        Ok(())
    }
}

fn sorted_by_time(lines: &[Line]) -> Vec<&Line> {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by_key(|line| line.time_ms);
    sorted
}

/// Tracks the latest state events of each node while the lines are traversed in order of time.
#[derive(Default)]
struct NodeStates<'a> {
    by_subject: BTreeMap<(String, String), &'a Line>,
}

impl<'a> NodeStates<'a> {
    fn update(&mut self, line: &'a Line) {
        if !STATE_EVENTS.contains(&line.event.as_str()) {
            return;
        }
        if line.event == "start" {
            // A new process starts without state.
            self.by_subject.retain(|(node, _), _| *node != line.node);
        }
        let subject = (line.node.clone(), subject(line));
        self.by_subject.insert(subject, line);
    }

    /// Returns the state events relevant to a line: all except those of upstreams and
    /// services that the line does not name.
    fn relevant_to(&self, line: &Line, upstreams: &[String]) -> Vec<Line> {
        let service = line.get("service");
        let mut state_events: Vec<Line> = self
            .by_subject
            .iter()
            .filter(|((node, _), _)| *node == line.node)
            .filter(|(_, state_event)| match state_event.event.as_str() {
                "assignment" => state_event.get("service") == service,
                event if event.starts_with("upstream_") => state_event
                    .get("upstream")
                    .is_some_and(|id| upstreams.iter().any(|other| other == id)),
                _ => true,
            })
            .map(|(_, state_event)| (*state_event).clone())
            .collect();
        state_events.sort_by_key(|state_event| std::cmp::Reverse(state_event.time_ms));
        state_events
    }
}

/// Returns what a state event is about. A later event with the same subject replaces it.
fn subject(line: &Line) -> String {
    let kind = match line.event.as_str() {
        "store_lost" | "store_regained" => "store",
        "upstream_registered"
        | "upstream_removed"
        | "upstream_unconfirmed"
        | "upstream_restarted" => "upstream",
        "granter_here" | "granter_ended" => "granter_here",
        "start" | "stopping" | "reload" => "process",
        other => other,
    };
    let of = ["prefix", "upstream", "service"]
        .iter()
        .find_map(|name| line.get(name))
        .unwrap_or_default();
    format!("{kind} {of}")
}

/// Returns the lines of a request in order of time, with the node's assumed state at the
/// first and last line, and the events of its upstreams in between. If an upstream crashed
/// while handling it, or it was quarantined, the timeline also includes all events of its
/// nodes about requests with the same fingerprint.
pub fn request_timeline(lines: &[Line], request: &str) -> Vec<TimelineEntry> {
    let sorted = sorted_by_time(lines);
    let own: Vec<&Line> = sorted
        .iter()
        .copied()
        .filter(|line| line.get("request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let upstreams: Vec<String> = own
        .iter()
        .filter_map(|line| line.get("upstream").map(str::to_owned))
        .collect();
    let key = own.iter().find_map(|line| line.number("key"));
    let fingerprints = Fingerprints::of(&own);
    let mut states = NodeStates::default();
    let mut entries = Vec::new();
    for line in &sorted {
        let is_own = line.get("request") == Some(request);
        let during = (first.time_ms..=last.time_ms).contains(&line.time_ms);
        let meanwhile = during && !is_own && concerns(line, &upstreams, key);
        let is_related = meanwhile || fingerprints.match_event(line);
        if is_own || is_related {
            let is_first_or_last = is_own && (line == first || line == last);
            let state_events = if is_first_or_last {
                states.relevant_to(line, &upstreams)
            } else {
                Vec::new()
            };
            entries.push(TimelineEntry {
                line: (*line).clone(),
                state_events,
            });
        }
        states.update(line);
    }
    entries
}

/// The fingerprints of a request, and the nodes that handled it.
struct Fingerprints<'a> {
    fingerprints: Vec<&'a str>,
    nodes: Vec<&'a str>,
}

impl<'a> Fingerprints<'a> {
    fn of(own: &[&'a Line]) -> Self {
        let fields = ["content", "from_caller"];
        let values = own
            .iter()
            .flat_map(|line| fields.map(|field| line.get(field)));
        Self {
            fingerprints: values.flatten().collect(),
            nodes: own.iter().map(|line| line.node.as_str()).collect(),
        }
    }

    /// Returns whether a line is an event of one of the nodes about a request with the same
    /// fingerprint.
    fn match_event(&self, line: &Line) -> bool {
        const EVENTS: [&str; 4] = [
            "request_suspected",
            "request_tried",
            "request_kept_off",
            "request_cleared",
        ];
        let fingerprint = line.get("fingerprint");
        EVENTS.contains(&line.event.as_str())
            && fingerprint.is_some_and(|value| self.fingerprints.contains(&value))
            && self.nodes.contains(&line.node.as_str())
    }
}

/// Returns whether a line concerns the request's upstreams or key.
fn concerns(line: &Line, upstreams: &[String], key: Option<u64>) -> bool {
    let names = |field: &str| {
        line.get(field)
            .is_some_and(|id| upstreams.iter().any(|other| other == id))
    };
    match line.event.as_str() {
        "order" => names("holder") || key.is_some_and(|key| contains_key(line, key)),
        "store_lost" | "store_regained" | "granter_here" | "granter_ended" => true,
        event if event.starts_with("upstream_") => names("upstream"),
        _ => false,
    }
}

/// Returns whether the line's key range, `FIRST..LAST`, contains a key.
fn contains_key(line: &Line, key: u64) -> bool {
    let bounds = line.get("range").and_then(|range| range.split_once(".."));
    let Some((first, last)) = bounds else {
        return false;
    };
    let (Ok(first), Ok(last)) = (first.parse::<u64>(), last.parse::<u64>()) else {
        return false;
    };
    (first..=last).contains(&key)
}

/// Returns the ownership history of a key: its orders, the changes of the granter, and each
/// request that was sent to a different upstream than the previous one.
pub fn key_timeline(lines: &[Line], service: Option<&str>, key: u64) -> Vec<TimelineEntry> {
    let mut last_upstream: Option<String> = None;
    let mut entries = Vec::new();
    for line in sorted_by_time(lines) {
        let same_service = service.is_none() || line.get("service") == service;
        let is_relevant = match line.event.as_str() {
            "order" => same_service && contains_key(line, key),
            "granter_here" | "granter_ended" => true,
            "sent" if same_service && line.number("key") == Some(key) => {
                let upstream = line.get("upstream").map(str::to_owned);
                let changed = upstream != last_upstream;
                last_upstream = upstream;
                changed
            }
            "concluded" => same_service && line.number("key") == Some(key),
            _ => false,
        };
        if is_relevant {
            entries.push(TimelineEntry {
                line: line.clone(),
                state_events: Vec::new(),
            });
        }
    }
    entries
}
