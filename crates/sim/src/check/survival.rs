//! An acknowledged assignment survives.
//!
//! An assignment is acknowledged once a server holds a grant under its fence.
//! From then on, a leader of the same generation must not grant any part of it
//! to another server under a lower fence. A generation ends only with the loss of
//! a majority of its voters, which can lose entries committed after the last
//! checkpoint; [`rolled_back_grants`] counts the grants affected by such a loss.

use crate::record::{History, Record, ServerRun};
use beamtray_types::{Fence, SliceRange};
use std::collections::BTreeMap;

struct Acknowledged {
    fence: Fence,
    server: ServerRun,
    generation: u64,
}

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let (losses, violations, _) = scan(history);
    (losses, violations)
}

/// Counts grants with a lower fence than an acknowledged assignment, issued
/// because a new generation started from an older checkpoint.
pub fn rolled_back_grants(history: &History) -> u64 {
    scan(history).2
}

fn scan(history: &History) -> (u64, Vec<String>, u64) {
    let mut known: BTreeMap<(u64, u64), Acknowledged> = BTreeMap::new();
    let mut losses = 0;
    let mut rolled_back_grants = 0;
    let mut violations = Vec::new();
    for timed in &history.records {
        let at = timed.at;
        match &timed.record {
            Record::NodeEnded { .. } => losses += u64::from(!known.is_empty()),
            Record::Holds {
                server,
                generation,
                until,
                slices,
            } if *until > at => {
                for slice in slices {
                    let conflict = known.iter().find(|((first, last), acknowledged)| {
                        let range = SliceRange {
                            first: *first,
                            last: *last,
                        };
                        acknowledged.fence > slice.fence
                            && acknowledged.server.server != server.server
                            && range.overlaps(&slice.range)
                    });
                    let newer_generation =
                        conflict.is_some_and(|(_, known)| known.generation < *generation);
                    rolled_back_grants += u64::from(newer_generation);
                    if let Some((_, acknowledged)) = conflict.filter(|_| !newer_generation) {
                        violations.push(format!(
                            "at {at}: {server:?} is granted {} under {} after {:?} had it under {}",
                            slice.range, slice.fence, acknowledged.server, acknowledged.fence
                        ));
                    }
                    let (fence, server) = (slice.fence, *server);
                    let key = (slice.range.first, slice.range.last);
                    let generation = *generation;
                    let newer = known
                        .get(&key)
                        .is_none_or(|old| old.fence <= fence || old.generation < generation);
                    if newer {
                        let acknowledged = Acknowledged {
                            fence,
                            server,
                            generation,
                        };
                        known.insert(key, acknowledged);
                    }
                }
            }
            _ => {}
        }
    }
    (losses, violations, rolled_back_grants)
}
