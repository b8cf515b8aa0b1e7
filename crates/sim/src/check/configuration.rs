//! An accepted configuration takes effect in every zone within seconds and
//! never reverts to an older revision.
//!
//! Each confirmed declaration routes the probe pool to its own back end, so the
//! back end that a probe reaches identifies the revision in force at the node
//! that the probe was sent to. A node that rejects probes serves nothing,
//! which is allowed. A write reported to the operator as
//! having no effect must never be observed in force.

use super::requests::collect_requests;
use crate::record::{History, OperatorView, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum time from acceptance until a configuration is in force at every node.
const MAX_PROPAGATION_MICROS: u64 = 12_000_000;

struct ProbeResult {
    sent: u64,
    answered: u64,
    revision: u64,
}

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut violations = Vec::new();
    let accepted = accepted(history, &mut violations);
    violations.extend(rejected_writes_in_force(history));
    let by_node = probes_by_node(history, &accepted);
    for (node, probes) in &by_node {
        for probe in probes {
            let required = accepted
                .values()
                .filter(|(at, _)| at + MAX_PROPAGATION_MICROS <= probe.sent)
                .map(|(_, revision)| *revision)
                .max()
                .unwrap_or(0);
            if probe.revision < required {
                violations.push(format!(
                    "at {}: node {node} has revision {} in force, {required} was accepted",
                    probe.sent, probe.revision
                ));
            }
            let newest_before = probes
                .iter()
                .filter(|other| other.answered < probe.sent)
                .map(|other| other.revision)
                .max()
                .unwrap_or(0);
            if probe.revision < newest_before {
                violations.push(format!(
                    "at {}: node {node} went back from revision {newest_before} to {}",
                    probe.sent, probe.revision
                ));
            }
        }
    }
    (accepted.len().saturating_sub(1) as u64, violations)
}

/// Finds writes that were reported as having no effect but are in force.
fn rejected_writes_in_force(history: &History) -> Vec<String> {
    let rejected: BTreeSet<String> = history
        .records
        .iter()
        .filter_map(|timed| match &timed.record {
            Record::Confirmed {
                operation,
                view: OperatorView::Conflict | OperatorView::Unavailable,
            } => Some(format!("probe-{operation}")),
            _ => None,
        })
        .collect();
    let seen = history
        .records
        .iter()
        .filter_map(|timed| match &timed.record {
            Record::Effect { key, .. } if rejected.contains(key) => Some((timed.at, key)),
            _ => None,
        });
    seen.map(|(at, key)| format!("at {at}: {key} is in force and was called without effect"))
        .collect()
}

/// Returns the acceptance time and revision of each accepted write.
fn accepted(history: &History, violations: &mut Vec<String>) -> BTreeMap<u64, (u64, u64)> {
    let mut bases: BTreeMap<u64, u64> = BTreeMap::new();
    let mut accepted: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for timed in &history.records {
        match &timed.record {
            Record::ConfirmSent {
                operation, base, ..
            } => {
                bases.insert(*operation, *base);
            }
            Record::Confirmed {
                operation,
                view: OperatorView::InForce(revision),
            } => {
                let planned = bases.get(operation).copied().unwrap_or(0);
                if *revision != planned + 1 {
                    violations.push(format!(
                        "at {}: write {operation}, planned on {planned}, was accepted as {revision}",
                        timed.at
                    ));
                }
                let twice = accepted.values().any(|(_, other)| other == revision);
                if twice {
                    violations.push(format!("revision {revision} was accepted twice"));
                }
                accepted.insert(*operation, (timed.at, *revision));
            }
            _ => {}
        }
    }
    accepted
}

/// Groups the probes whose revision is known by node.
fn probes_by_node(
    history: &History,
    accepted: &BTreeMap<u64, (u64, u64)>,
) -> BTreeMap<usize, Vec<ProbeResult>> {
    let mut by_node: BTreeMap<usize, Vec<ProbeResult>> = BTreeMap::new();
    for request in collect_requests(history)
        .into_values()
        .filter(|request| request.probe)
    {
        let Some((_, marker)) = request.effects.first() else {
            continue;
        };
        let operation = marker
            .strip_prefix("probe-")
            .and_then(|text| text.parse().ok());
        let revision = operation.and_then(|operation: u64| accepted.get(&operation));
        if let Some((_, revision)) = revision {
            by_node.entry(request.node).or_default().push(ProbeResult {
                sent: request.sent,
                answered: request.answered_at(),
                revision: *revision,
            });
        }
    }
    by_node
}
