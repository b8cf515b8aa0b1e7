//! Per-request view of the history.

use crate::record::{CallerView, History, Record, ServerRun};
use std::collections::BTreeMap;

/// The events of one request, from sending to the final response.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub(crate) sent: u64,
    pub(crate) node: usize,
    pub(crate) node_run: u64,
    pub(crate) repeatable: bool,
    pub(crate) probe: bool,
    pub(crate) after_faults: bool,
    pub(crate) arrivals: Vec<(u64, ServerRun)>,
    pub(crate) effects: Vec<(u64, String)>,
    pub(crate) answers: Vec<(u64, CallerView)>,
}

impl Request {
    /// The final response, if any.
    pub(crate) fn answer(&self) -> Option<&CallerView> {
        self.answers.first().map(|(_, view)| view)
    }

    /// Time of the final response, or `u64::MAX` if there is none.
    pub(crate) fn answered_at(&self) -> u64 {
        self.answers.first().map_or(u64::MAX, |(at, _)| *at)
    }

    /// Whether the caller cannot tell if the request was executed.
    pub(crate) fn is_uncertain(&self) -> bool {
        matches!(
            self.answer(),
            None | Some(CallerView::Unknown { .. } | CallerView::NoAnswer)
        )
    }
}

/// Collects the events of all requests, keyed by request name.
pub(crate) fn collect_requests(history: &History) -> BTreeMap<&str, Request> {
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    for timed in &history.records {
        match &timed.record {
            Record::Sent {
                name,
                node,
                node_run,
                repeatable,
                probe,
                after_faults,
            } => {
                let request = requests.entry(name).or_default();
                request.sent = timed.at;
                request.node = *node;
                request.node_run = *node_run;
                request.repeatable = *repeatable;
                request.probe = *probe;
                request.after_faults = *after_faults;
            }
            Record::Arrived { server, name } => {
                let request = requests.entry(name).or_default();
                request.arrivals.push((timed.at, *server));
            }
            Record::Effect { name, key, .. } => {
                let request = requests.entry(name).or_default();
                request.effects.push((timed.at, key.clone()));
            }
            Record::Answered { name, view } => {
                let request = requests.entry(name).or_default();
                request.answers.push((timed.at, view.clone()));
            }
            _ => {}
        }
    }
    requests
}
