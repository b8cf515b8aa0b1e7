//! Copies that this node asks other nodes for.

use super::NodeCore;
use crate::core::message::Output;
use crate::core::views::ViewName;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// A question under way.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    from: SocketAddr,
    until: Time,
}

/// Questions under way: one for assignments and one for all other copies, so
/// that none waits for a large one and no copy comes twice over one link.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fetches {
    assignments: Option<Fetch>,
    others: Option<Fetch>,
}

impl Fetches {
    /// Notes that a node answered, or failed to.
    pub fn ended(&mut self, from: SocketAddr) {
        for slot in [&mut self.assignments, &mut self.others] {
            if slot.is_some_and(|fetch| fetch.from == from) {
                *slot = None;
            }
        }
    }
}

impl NodeCore {
    /// A holder that denies a key tells that the assignment here is old.
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

    /// Whether this node fetches from another one. As long as a relay of its own
    /// zone can be relied on, those of other zones are left to that relay: bytes
    /// between zones are dear.
    pub(super) fn fetches_from(&self, now: Time, from: SocketAddr) -> bool {
        let own = &self.config.control.record;
        let near = self.membership.relays().of_zone(&own.zone);
        let is_far = !near.contains(&from) && self.membership.relays().contains(&from);
        let relies_near = self.views.relays.any_of(now, near);
        !is_far || self.views.follows() || !relies_near
    }

    /// Asks another node for its copies, unless a question for such is under
    /// way.
    pub(super) fn fetch(&mut self, now: Time, from: SocketAddr, views: &[ViewName]) {
        let is_state = |view: &&ViewName| **view == ViewName::State;
        let (state, others): (Vec<&ViewName>, Vec<&ViewName>) = views.iter().partition(is_state);
        let timing = self.config.timing;
        for (views, wait) in [(state, timing.fetch), (others, timing.fetch_large)] {
            let views: Vec<ViewName> = views.into_iter().copied().collect();
            self.fetch_group(now, from, &views, wait);
        }
    }

    fn fetch_group(&mut self, now: Time, from: SocketAddr, views: &[ViewName], wait: Duration) {
        let slot = match views {
            [] => return,
            [ViewName::State] => &mut self.fetches.assignments,
            _ => &mut self.fetches.others,
        };
        if slot.is_some_and(|fetch| now < fetch.until) {
            return;
        }
        let until = now + wait;
        *slot = Some(Fetch { from, until });
        let request = self.views.request(views);
        self.outputs.push(Output::Ask(from, request, wait));
    }

    /// Asks the first relay of this zone for its copies once this node, which has
    /// just started, knows who it is. Where all nodes start together it would
    /// otherwise ask whichever relay it hears first, as all others do.
    pub(super) fn begin_with_relays(&mut self, now: Time) {
        if self.first_asked.is_some() || self.are_few() {
            return;
        }
        let mut relays = if self.is_relay() {
            Vec::new()
        } else {
            self.near_relays()
        };
        relays.reverse();
        self.first_asked = Some(relays);
        // What was asked of a relay that happened to be heard first may not come.
        self.fetches = Fetches::default();
        self.ask_next_relay(now);
    }

    fn ask_next_relay(&mut self, now: Time) {
        let relays = self.first_asked.as_mut();
        let next = relays.and_then(Vec::pop);
        if let Some(relay) = next.filter(|_| !self.views.is_ready()) {
            self.fetch(now, relay, &ViewName::ALL);
        }
    }

    /// Asks another relay for what is still missing.
    pub(super) fn not_answered(&mut self, now: Time, from: SocketAddr) {
        self.fetches.ended(from);
        self.views.relays.distrust(from);
        self.ask_next_relay(now);
        let lacking = self.views.lacking(now);
        let other = self.views.relays.trusted(now).next();
        if let Some(other) = other {
            self.fetch(now, other, &lacking);
        }
    }
}
