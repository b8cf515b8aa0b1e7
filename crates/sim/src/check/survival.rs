//! An acknowledged assignment survives.
//!
//! An assignment is acknowledged once a server holds a grant under its fence.
//! From then on nobody may be granted any of it under a lower fence, unless
//! all nodes were lost in between: what was agreed on after the last checkpoint
//! is exposed to that loss, and is counted apart by the measures.

use crate::record::{History, Record, ServerRun};
use beamtray_types::{Fence, SliceRange};
use std::collections::BTreeMap;

struct Acknowledged {
    fence: Fence,
    server: ServerRun,
}

pub(super) fn check(history: &History) -> (u64, Vec<String>) {
    let mut known: BTreeMap<(u64, u64), Acknowledged> = BTreeMap::new();
    let mut losses = 0;
    let mut violations = Vec::new();
    for timed in &history.records {
        let at = timed.at;
        match &timed.record {
            Record::AllNodesLost => known.clear(),
            Record::NodeEnded { .. } => losses += u64::from(!known.is_empty()),
            Record::Holds {
                server,
                until,
                slices,
            } if *until > at => {
                for slice in slices {
                    let later = known.iter().find(|((first, last), acknowledged)| {
                        let range = SliceRange {
                            first: *first,
                            last: *last,
                        };
                        acknowledged.fence > slice.fence
                            && acknowledged.server.server != server.server
                            && range.overlaps(&slice.range)
                    });
                    if let Some((_, acknowledged)) = later {
                        violations.push(format!(
                            "at {at}: {server:?} is granted {} under {} after {:?} had it under {}",
                            slice.range, slice.fence, acknowledged.server, acknowledged.fence
                        ));
                    }
                    let (fence, server) = (slice.fence, *server);
                    let key = (slice.range.first, slice.range.last);
                    let newer = known.get(&key).is_none_or(|old| old.fence <= fence);
                    if newer {
                        known.insert(key, Acknowledged { fence, server });
                    }
                }
            }
            _ => {}
        }
    }
    (losses, violations)
}
