//! A draining back end receives no new requests after a few seconds.
//!
//! From 3 s after a declaration that drains a server is accepted, no request may
//! reach that server until an operator submits a declaration that does not drain
//! it.

use crate::record::{History, OperatorView, Record};
use std::collections::BTreeMap;

/// Maximum time from acceptance until a drain takes effect, in microseconds.
const MAX_DRAIN_DELAY_MICROS: u64 = 3_000_000;

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut drained_by_operation: BTreeMap<u64, &Vec<usize>> = BTreeMap::new();
    let mut drained_since: BTreeMap<usize, u64> = BTreeMap::new();
    let mut exercised = 0;
    let mut violations = Vec::new();
    for timed in &history.records {
        let at = timed.at;
        match &timed.record {
            Record::ConfirmSent {
                operation, drained, ..
            } => {
                drained_by_operation.insert(*operation, drained);
                drained_since.retain(|server, _| drained.contains(server));
            }
            Record::Confirmed {
                operation,
                view: OperatorView::InForce(_),
            } => {
                for server in drained_by_operation
                    .get(operation)
                    .into_iter()
                    .flat_map(|all| all.iter())
                {
                    drained_since.entry(*server).or_insert_with(|| {
                        exercised += 1;
                        at
                    });
                }
            }
            Record::Arrived { server, name } => {
                let drained = drained_since.get(&server.server);
                if drained.is_some_and(|drained_since| at > drained_since + MAX_DRAIN_DELAY_MICROS)
                {
                    violations.push(format!(
                        "at {at}: {name} reached {server:?}, drained since {}",
                        drained_since[&server.server]
                    ));
                }
            }
            _ => {}
        }
    }
    (exercised, violations)
}
