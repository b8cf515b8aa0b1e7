//! Checks that the clients of nodes that are partitioned from all upstreams are served like those of
//! other nodes.

use super::{Checkers, Invariant};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the start of a partition until its nodes must serve their clients again.
pub const PARTITION_GRACE: Duration = Duration::from_millis(3_000);
/// Number of first attempts that may fail at partitioned nodes.
const MAX_FAILED: usize = 10;
/// Further first attempts that may fail there: one in this many of all.
const FAILED_ONE_IN: usize = 50;

/// First attempts of clients and how many of them were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Sent in that time.
    pub sent: usize,
    /// Of these, served.
    pub served: usize,
}

/// First attempts that were sent within a second of a history in which nodes were partitioned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionSecond {
    /// The second, from the start of the history.
    pub second: u64,
    /// At partitioned nodes.
    pub partitioned: Attempts,
    /// At the others.
    pub others: Attempts,
}

impl Attempts {
    fn failed(self) -> usize {
        self.sent - self.served
    }
}

/// A partition of nodes from all upstreams.
#[derive(Clone, Debug)]
struct Partition {
    nodes: Vec<usize>,
    begun: Time,
    /// From when its nodes must serve their clients.
    from: Time,
    until: Time,
    partitioned: Attempts,
    others: Attempts,
}

impl Partition {
    /// Whether clients at the partitioned nodes were served less than two thirds as often as those
    /// at the others, and more often not than is allowed.
    fn is_violated(&self) -> bool {
        let (partitioned, others) = (self.partitioned, self.others);
        let is_rarer = partitioned.served * others.sent * 3 < others.served * partitioned.sent * 2;
        let allowed = MAX_FAILED + (partitioned.sent + others.sent) / FAILED_ONE_IN;
        is_rarer && partitioned.failed() > allowed
    }
}

/// The partitions of a history.
#[derive(Clone, Debug, Default)]
pub(super) struct Partitions {
    all: Vec<Partition>,
    seconds: BTreeMap<u64, PartitionSecond>,
}

impl Partitions {
    /// Whether a node was partitioned at that time.
    fn is_partitioned(&self, at: Time, node: usize) -> bool {
        self.all.iter().any(|partition| {
            let begun = partition.begun <= at && at < partition.until;
            begun && partition.nodes.contains(&node)
        })
    }
}

impl Partitions {
    /// Counts a first attempt in its second, if any node was partitioned then.
    fn count(&mut self, sent: Time, is_partitioned: bool, served: bool) {
        let during = |one: &Partition| one.begun <= sent && sent < one.until;
        if !self.all.iter().any(during) {
            return;
        }
        let second = sent.since(Time::ZERO).as_secs();
        let counts = self.seconds.entry(second).or_default();
        counts.second = second;
        let attempts = match is_partitioned {
            true => &mut counts.partitioned,
            false => &mut counts.others,
        };
        attempts.sent += 1;
        attempts.served += usize::from(served);
    }
}

impl Checkers {
    /// First attempts while nodes were partitioned, by second.
    pub fn partition_seconds(&self) -> Vec<PartitionSecond> {
        self.partitions.seconds.values().copied().collect()
    }

    /// Records that nodes are partitioned from all upstreams from `at` to `until`.
    pub fn partitioned(&mut self, at: Time, until: Time, nodes: &[usize]) {
        self.partitions.all.push(Partition {
            nodes: nodes.to_vec(),
            begun: at,
            from: at + PARTITION_GRACE,
            until,
            partitioned: Attempts::default(),
            others: Attempts::default(),
        });
    }

    /// Records the final response to a first attempt that a client sent to a node at `sent`.
    pub fn first_attempt_ended(&mut self, sent: Time, node: usize, served: bool) {
        let is_partitioned = self.partitions.is_partitioned(sent, node);
        self.partitions.count(sent, is_partitioned, served);
        for partition in &mut self.partitions.all {
            if sent < partition.from || sent >= partition.until {
                continue;
            }
            let attempts = match partition.nodes.contains(&node) {
                true => &mut partition.partitioned,
                // In another partition at the same time, so it is none of the others.
                false if is_partitioned => continue,
                false => &mut partition.others,
            };
            attempts.sent += 1;
            attempts.served += usize::from(served);
        }
    }

    /// Checks all partitions at the end of a history.
    pub(super) fn check_partitions(&mut self, at: Time) {
        let violated = self.partitions.all.iter().filter(|one| one.is_violated());
        let texts: Vec<String> = violated
            .map(|one| {
                format!(
                    "{} of {} served at partitioned nodes, {} of {} at others",
                    one.partitioned.served,
                    one.partitioned.sent,
                    one.others.served,
                    one.others.sent
                )
            })
            .collect();
        for text in texts {
            self.record_violation(Invariant::PartitionedNodes, at, text);
        }
    }
}
