//! Puts lines in order and adds what the node believed.

use crate::line::Line;
use std::collections::BTreeMap;
use std::fmt;

/// Events that change what a node believes.
const BELIEFS: [&str; 14] = [
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

/// One line of a story, with what the node believed when it wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimelineEntry {
    /// The line.
    pub line: Line,
    /// Beliefs that bear on it, newest first.
    pub beliefs: Vec<Line>,
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
        for belief in &self.beliefs {
            let age = line.time_ms.saturating_sub(belief.time_ms);
            writeln!(
                formatter,
                "    believed for {age} ms: {} {}",
                belief.event,
                belief.details()
            )?;
        }
        Ok(())
    }
}

fn in_order(lines: &[Line]) -> Vec<&Line> {
    let mut ordered: Vec<&Line> = lines.iter().collect();
    ordered.sort_by_key(|line| line.time_ms);
    ordered
}

/// The newest beliefs of each node, as lines are passed in order.
#[derive(Default)]
struct Believed<'a> {
    by_subject: BTreeMap<(String, String), &'a Line>,
}

impl<'a> Believed<'a> {
    fn take(&mut self, line: &'a Line) {
        if !BELIEFS.contains(&line.event.as_str()) {
            return;
        }
        if line.event == "start" {
            // A new process knows nothing.
            self.by_subject.retain(|(node, _), _| *node != line.node);
        }
        let subject = (line.node.clone(), subject(line));
        self.by_subject.insert(subject, line);
    }

    /// What bears on a line: everything but upstreams and services that the
    /// line does not name.
    fn about(&self, line: &Line, upstreams: &[String]) -> Vec<Line> {
        let service = line.get("service");
        let mut beliefs: Vec<Line> = self
            .by_subject
            .iter()
            .filter(|((node, _), _)| *node == line.node)
            .filter(|(_, belief)| match belief.event.as_str() {
                "assignment" => belief.get("service") == service,
                event if event.starts_with("upstream_") => belief
                    .get("upstream")
                    .is_some_and(|id| upstreams.iter().any(|other| other == id)),
                _ => true,
            })
            .map(|(_, belief)| (*belief).clone())
            .collect();
        beliefs.sort_by_key(|belief| std::cmp::Reverse(belief.time_ms));
        beliefs
    }
}

/// What a belief is about; a newer one about the same replaces it.
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

/// The lines of a request in order, with beliefs at its first and last line,
/// and what happened to its upstreams meanwhile. Where an upstream ended under it, or it
/// was kept off, also what its node knew of requests that say the same, at any time.
pub fn request_timeline(lines: &[Line], request: &str) -> Vec<TimelineEntry> {
    let ordered = in_order(lines);
    let own: Vec<&Line> = ordered
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
    let sayings = Sayings::of(&own);
    let mut believed = Believed::default();
    let mut entries = Vec::new();
    for line in &ordered {
        let is_own = line.get("request") == Some(request);
        let during = (first.time_ms..=last.time_ms).contains(&line.time_ms);
        let meanwhile = during && !is_own && bears_on(line, &upstreams, key);
        let bears = meanwhile || sayings.are_told_of(line);
        if is_own || bears {
            let at_end = is_own && (line == first || line == last);
            let beliefs = if at_end {
                believed.about(line, &upstreams)
            } else {
                Vec::new()
            };
            entries.push(TimelineEntry {
                line: (*line).clone(),
                beliefs,
            });
        }
        believed.take(line);
    }
    entries
}

/// The fingerprints of a request, and the nodes that it came to.
struct Sayings<'a> {
    fingerprints: Vec<&'a str>,
    nodes: Vec<&'a str>,
}

impl<'a> Sayings<'a> {
    fn of(own: &[&'a Line]) -> Self {
        let fields = ["content", "from_caller"];
        let told = own
            .iter()
            .flat_map(|line| fields.map(|field| line.get(field)));
        Self {
            fingerprints: told.flatten().collect(),
            nodes: own.iter().map(|line| line.node.as_str()).collect(),
        }
    }

    /// Whether a line tells what such a node knew of requests that say the same.
    fn are_told_of(&self, line: &Line) -> bool {
        const EVENTS: [&str; 4] = [
            "request_suspected",
            "request_tried",
            "request_kept_off",
            "request_cleared",
        ];
        let fingerprint = line.get("fingerprint");
        EVENTS.contains(&line.event.as_str())
            && fingerprint.is_some_and(|one| self.fingerprints.contains(&one))
            && self.nodes.contains(&line.node.as_str())
    }
}

/// Whether a line of another request's time tells of the same upstream or key.
fn bears_on(line: &Line, upstreams: &[String], key: Option<u64>) -> bool {
    let names = |field: &str| {
        line.get(field)
            .is_some_and(|id| upstreams.iter().any(|other| other == id))
    };
    match line.event.as_str() {
        "order" => names("holder") || key.is_some_and(|key| covers(line, key)),
        "store_lost" | "store_regained" | "granter_here" | "granter_ended" => true,
        event if event.starts_with("upstream_") => names("upstream"),
        _ => false,
    }
}

/// Whether the line's range of keys, `FIRST..LAST`, covers a key.
fn covers(line: &Line, key: u64) -> bool {
    let bounds = line.get("range").and_then(|range| range.split_once(".."));
    let Some((first, last)) = bounds else {
        return false;
    };
    let (Ok(first), Ok(last)) = (first.parse::<u64>(), last.parse::<u64>()) else {
        return false;
    };
    (first..=last).contains(&key)
}

/// Who held a key: its orders, the granters, and each request that went to
/// another upstream than the one before.
pub fn key_timeline(lines: &[Line], service: Option<&str>, key: u64) -> Vec<TimelineEntry> {
    let mut last_upstream: Option<String> = None;
    let mut entries = Vec::new();
    for line in in_order(lines) {
        let same_service = service.is_none() || line.get("service") == service;
        let tells = match line.event.as_str() {
            "order" => same_service && covers(line, key),
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
        if tells {
            entries.push(TimelineEntry {
                line: line.clone(),
                beliefs: Vec::new(),
            });
        }
    }
    entries
}
