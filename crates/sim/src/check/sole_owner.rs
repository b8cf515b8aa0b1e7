//! A key has at most one owning server at any instant.
//!
//! A server run owns the granted slices until the grant expires by the server's
//! clock, another set of slices replaces them, or the run ends. No two runs may
//! own the same hash at once, and no request may take effect for a key that
//! another run owns.

use crate::record::{History, Record, ServerRun};
use beamtray_ownership::GrantedSlice;
use beamtray_types::{KeyHash, SliceRange};
use std::collections::BTreeMap;

struct Holding<'a> {
    until: u64,
    slices: &'a [GrantedSlice],
}

impl Holding<'_> {
    fn covers(&self, at: u64, hash: KeyHash) -> bool {
        at < self.until && self.slices.iter().any(|slice| slice.range.contains(hash))
    }
}

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut holdings: BTreeMap<ServerRun, Holding> = BTreeMap::new();
    let mut last_owner: BTreeMap<u64, ServerRun> = BTreeMap::new();
    let mut changes = 0;
    let mut violations = Vec::new();
    for timed in &history.records {
        let at = timed.at;
        match &timed.record {
            Record::Holds {
                server,
                until,
                slices,
                ..
            } => {
                for slice in slices {
                    let previous = last_owner.insert(slice.range.first, *server);
                    changes += u64::from(previous.is_some_and(|previous| previous != *server));
                    if let Some(other) = overlap(&holdings, at, *server, slice.range) {
                        violations.push(format!(
                            "at {at}: {server:?} is granted {} while {other:?} holds it",
                            slice.range
                        ));
                    }
                }
                let until = *until;
                holdings.insert(*server, Holding { until, slices });
            }
            Record::ServerEnded { server } => {
                holdings.remove(server);
            }
            Record::Effect {
                server,
                name,
                key,
                fence: Some(_),
            } => {
                let hash = KeyHash::of(key);
                let other = holdings
                    .iter()
                    .find(|(run, holding)| *run != server && holding.covers(at, hash));
                if let Some((other, _)) = other {
                    violations.push(format!(
                        "at {at}: {name} took effect for {key} at {server:?} while {other:?} owns it"
                    ));
                }
            }
            _ => {}
        }
    }
    (changes, violations)
}

fn overlap(
    holdings: &BTreeMap<ServerRun, Holding>,
    at: u64,
    server: ServerRun,
    range: SliceRange,
) -> Option<ServerRun> {
    let mut others = holdings.iter().filter(|(run, _)| **run != server);
    let found = others.find(|(_, holding)| {
        at < holding.until
            && holding
                .slices
                .iter()
                .any(|slice| slice.range.overlaps(&range))
    });
    found.map(|(run, _)| *run)
}
