//! Which terms of earlier granters a process that is still alive has observed.
//!
//! Invariant: a term that no live process is known to have observed counts as lost with all
//! processes, and its successor assumes that grants were in flight. Without this a holder that
//! could not be reached executed such a grant after its keys had gone to another one. Without
//! the answers of other nodes a granter that restarts, and is elected again, would wait 15 s
//! for each upstream that ended meanwhile.
//!
//! A process observes a term when it receives the announcement of its granter. That the store
//! names the granter is no observation: it does so for some time after the granter has ended.
//! Nor is the observation of a later term, whose granter may have started after the loss.

use super::Control;
use beamtray_metastore::Epoch;
use beamtray_types::Time;
use std::time::Duration;

/// Interval at which a granter announces its term.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of observed terms that are remembered.
const MAX_OBSERVED_TERMS: usize = 16;
/// Interval of queries while no node has answered.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a granter queries. After that, keys of unresponsive holders may move anyway.
const MAX_QUERY_TIME: Duration = Duration::from_secs(15);

/// The search of a term for a process that observed the preceding one.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObserverQuery {
    /// The preceding term.
    predecessor: Epoch,
    next_at: Time,
    until: Time,
}

impl ObserverQuery {
    pub(super) fn new(now: Time, predecessor: Epoch) -> Self {
        Self {
            predecessor,
            next_at: now,
            until: now + MAX_QUERY_TIME,
        }
    }
}

impl Control {
    /// Records that a live process has observed a term: this one, or another one that says so.
    pub fn observe_term(&mut self, epoch: Epoch) {
        self.observed_terms.insert(epoch);
        while self.observed_terms.len() > MAX_OBSERVED_TERMS {
            self.observed_terms.pop_first();
        }
        let Some(term) = &mut self.term else {
            return;
        };
        if term
            .observer_query
            .is_none_or(|query| query.predecessor != epoch)
        {
            return;
        }
        term.observer_query = None;
        for grants in term.grants.iter_mut().flat_map(|all| all.values_mut()) {
            grants.granter.rule_out_grants_in_flight();
        }
    }

    /// Whether a live process is known to have observed the term.
    pub fn has_observed(&self, epoch: Epoch) -> bool {
        self.observed_terms.contains(&epoch)
    }

    /// The own term, if it is to be announced now.
    pub fn poll_term_announcement(&mut self, now: Time) -> Option<Epoch> {
        let authority = self.election.authority(now)?;
        let term = self.term.as_mut()?;
        if now < term.announced_at {
            return None;
        }
        term.announced_at = now + ANNOUNCEMENT_INTERVAL;
        Some(authority.epoch)
    }

    /// The term that other nodes are to be asked about now.
    pub fn poll_observer_query(&mut self, now: Time) -> Option<Epoch> {
        self.election.authority(now)?;
        let query = self.term.as_mut()?.observer_query.as_mut()?;
        if now < query.next_at || now >= query.until {
            return None;
        }
        query.next_at = now + QUERY_INTERVAL;
        Some(query.predecessor)
    }
}
