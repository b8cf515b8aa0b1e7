//! Snapshot requests to other nodes.

use super::NodeCore;
use crate::core::message::Output;
use crate::core::views::ViewName;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a request for large snapshots is taken to be under way. Its end is reported, so this only
/// bounds the harm of a report that is lost.
const MAX_SNAPSHOT_FETCH: Duration = Duration::from_secs(30);

/// A pending request.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    from: SocketAddr,
    until: Time,
}

/// Pending requests: at most one for assignments and one for all other views, so that assignments
/// don't wait for a large snapshot and no snapshot is sent twice over one link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fetches {
    assignments: Option<Fetch>,
    others: Option<Fetch>,
}

impl Fetches {
    /// Clears the request to a node that answered or failed to answer.
    pub fn ended(&mut self, from: SocketAddr) {
        for slot in [&mut self.assignments, &mut self.others] {
            if slot.is_some_and(|fetch| fetch.from == from) {
                *slot = None;
            }
        }
    }
}

impl NodeCore {
    /// Fetches assignments from the granter after a holder rejected a key, since the assignment
    /// known here is outdated.
    pub(super) fn fetch_from_granter(&mut self, now: Time) {
        let own = self.config.control.record.peers;
        let granter = self
            .views
            .granter
            .as_ref()
            .map(|granter| granter.peer_address);
        if let Some(granter) = granter.filter(|granter| *granter != own) {
            self.fetch(now, granter, &[ViewName::State]);
        }
    }

    /// Whether this node fetches from the given node. While it can rely on a relay of its own zone,
    /// fetching from relays of other zones is left to that relay: traffic between zones is
    /// expensive.
    pub(super) fn fetches_from(&self, now: Time, from: SocketAddr) -> bool {
        let own = &self.config.control.record;
        let near = self.membership.relays().in_zone(&own.zone);
        let is_far = !near.contains(&from) && self.membership.relays().contains(&from);
        let relies_near = self.views.relays.any_fresh_of(now, near);
        !is_far || self.views.follows_store() || !relies_near
    }

    /// Requests snapshots from another node, unless such a request is already pending.
    pub(super) fn fetch(&mut self, now: Time, from: SocketAddr, views: &[ViewName]) {
        let is_state = |view: &&ViewName| **view == ViewName::State;
        let (state, others): (Vec<&ViewName>, Vec<&ViewName>) = views.iter().partition(is_state);
        let timing = self.config.timing;
        let wait = timing.assignment_fetch_timeout;
        self.fetch_group(now, from, &collect(state), wait, wait);
        let silence = timing.snapshot_fetch_timeout;
        self.fetch_group(now, from, &collect(others), silence, MAX_SNAPSHOT_FETCH);
    }

    fn fetch_group(
        &mut self,
        now: Time,
        from: SocketAddr,
        views: &[ViewName],
        silence: Duration,
        longest: Duration,
    ) {
        let slot = match views {
            [] => return,
            [ViewName::State] => &mut self.fetches.assignments,
            _ => &mut self.fetches.others,
        };
        if slot.is_some_and(|fetch| now < fetch.until) {
            return;
        }
        let until = now + longest;
        *slot = Some(Fetch { from, until });
        let request = self.views.request(views);
        self.outputs
            .push(Output::FetchSnapshots(from, request, silence));
    }

    /// After startup, requests snapshots from the first relay of this zone as soon as the relays
    /// are known. If all nodes start together, they would otherwise all ask whichever relay is
    /// heard first.
    pub(super) fn query_startup_relays(&mut self, now: Time) {
        if self.startup_relays.is_some() || self.is_small_deployment() {
            return;
        }
        let mut relays = if self.is_relay() {
            Vec::new()
        } else {
            self.zone_relays()
        };
        relays.reverse();
        self.startup_relays = Some(relays);
        // A request already sent to whichever relay was heard first may go unanswered.
        self.fetches = Fetches::default();
        self.query_next_relay(now);
    }

    fn query_next_relay(&mut self, now: Time) {
        let relays = self.startup_relays.as_mut();
        let next = relays.and_then(Vec::pop);
        if let Some(relay) = next.filter(|_| !self.views.is_ready()) {
            self.fetch(now, relay, &ViewName::ALL);
        }
    }

    /// Asks another relay for the views that are still missing.
    pub(super) fn snapshots_unavailable(&mut self, now: Time, from: SocketAddr) {
        self.fetches.ended(from);
        self.views.relays.forget(from);
        self.query_next_relay(now);
        let lacking = self.views.lacking(now);
        let other = self.views.relays.fresh(now).next();
        if let Some(other) = other {
            self.fetch(now, other, &lacking);
        }
    }
}

fn collect(views: Vec<&ViewName>) -> Vec<ViewName> {
    views.into_iter().copied().collect()
}
