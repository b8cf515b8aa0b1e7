//! Request counts per slice, recorded at the gates.

use beamtray_ownership::ControlState;
use beamtray_types::{KeyHash, ServiceName};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;

/// Number of requests for one slice since the last report.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct SliceCount {
    /// Service of the slice.
    pub service: ServiceName,
    /// Lowest hash of the slice.
    pub first: u64,
    /// Number of requests.
    pub count: u64,
    /// Hash that received the majority of the requests, if there is one.
    pub hot_hash: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Counter {
    count: u64,
    candidate: u64,
    votes: u64,
}

/// Counts requests per slice.
///
/// The Boyer-Moore majority vote algorithm finds a hash with the majority of a
/// slice's requests in constant space. Only a majority hash is a reason to
/// split a slice, so less frequent ones need not be found.
#[derive(Clone, Debug, Default)]
pub struct LoadCounter {
    counters: BTreeMap<ServiceName, BTreeMap<u64, Counter>>,
}

impl LoadCounter {
    /// Counts one request for `hash`.
    pub fn record(&mut self, state: &ControlState, service: &ServiceName, hash: KeyHash) {
        let Some((range, _)) = state
            .services
            .get(service)
            .and_then(|table| table.find(hash))
        else {
            return;
        };
        if !self.counters.contains_key(service) {
            self.counters.insert(service.clone(), BTreeMap::new());
        }
        if let Some(slices) = self.counters.get_mut(service) {
            slices.entry(range.first).or_default().record(hash);
        }
    }

    /// Returns and resets the counts.
    pub fn take(&mut self) -> Vec<SliceCount> {
        let counters = std::mem::take(&mut self.counters);
        let mut counts = Vec::new();
        for (service, slices) in counters {
            for (first, counter) in slices {
                counts.push(SliceCount {
                    service: service.clone(),
                    first,
                    count: counter.count,
                    hot_hash: counter.majority(),
                });
            }
        }
        counts
    }
}

impl Counter {
    fn record(&mut self, hash: KeyHash) {
        self.count += 1;
        if self.candidate == hash.0 {
            self.votes += 1;
        } else if self.votes == 0 {
            self.candidate = hash.0;
            self.votes = 1;
        } else {
            self.votes -= 1;
        }
    }

    /// Returns the candidate if it is likely to have the majority. A majority
    /// hash always ends as the candidate; a vote count well above chance
    /// indicates that the candidate is one.
    fn majority(&self) -> Option<u64> {
        let likely = self.votes * 4 > self.count && self.count >= 8;
        likely.then_some(self.candidate)
    }
}
