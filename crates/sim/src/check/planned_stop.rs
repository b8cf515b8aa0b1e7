//! A planned stop of a server, back end or node interrupts no request in flight.
//!
//! Requests in flight when the stop is requested must receive a complete response
//! or be rejected as not executed. Requests that overlap another fault are
//! excluded.

use super::requests::{Request, collect_requests};
use crate::record::{History, Record};
use std::collections::{BTreeMap, BTreeSet};

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let requests = collect_requests(history);
    let faults: Vec<(u64, u64)> = history
        .records
        .iter()
        .filter_map(|timed| match &timed.record {
            Record::Fault { until, what } if !is_stop(what) => Some((timed.at, *until)),
            _ => None,
        })
        .collect();
    let killed: BTreeSet<(usize, u64)> = history
        .records
        .iter()
        .filter_map(|timed| match timed.record {
            Record::NodeEnded {
                node,
                run,
                planned: false,
            } => Some((node, run)),
            _ => None,
        })
        .collect();
    let mut exercised = 0;
    let mut violations = Vec::new();
    for timed in &history.records {
        let at = timed.at;
        let interrupted: BTreeMap<&str, &Request> = match &timed.record {
            Record::NodeStops { node, run } if !killed.contains(&(*node, *run)) => {
                exercised += 1;
                let at_node = |request: &Request| {
                    (request.node, request.node_run) == (*node, *run) && request.sent <= at
                };
                in_flight(&requests, at, at_node)
            }
            Record::ServerStops { server } => {
                exercised += 1;
                let at_server = |request: &Request| {
                    let mut arrivals = request.arrivals.iter();
                    arrivals.any(|(arrived, run)| run == server && *arrived <= at)
                };
                in_flight(&requests, at, at_server)
            }
            _ => continue,
        };
        for (name, request) in interrupted {
            let until = request.answered_at();
            let disturbed = faults
                .iter()
                .any(|(from, to)| *from <= until && request.sent <= to + 5_000_000);
            if request.is_uncertain() && !disturbed {
                violations.push(format!("at {at}: a planned stop cut off {name}"));
            }
        }
    }
    (exercised, violations)
}

fn in_flight<'a>(
    requests: &'a BTreeMap<&'a str, Request>,
    at: u64,
    matches_target: impl Fn(&Request) -> bool,
) -> BTreeMap<&'a str, &'a Request> {
    requests
        .iter()
        .filter(|(_, request)| matches_target(request) && request.answered_at() > at)
        .map(|(name, request)| (*name, request))
        .collect()
}

fn is_stop(what: &str) -> bool {
    what.starts_with("StopNode") || what.starts_with("StopServer") || what.starts_with("HotKey")
}
