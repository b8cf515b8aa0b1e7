//! Rates that upstreams name: whom this node tells of them, whom it asks for permits, and
//! what it lends itself.
//!
//! Where there are few nodes each tells all. Where there are many each tells the relays, and
//! these tell the nodes of their zones, and those that have just started. A node that missed
//! the word learns of the rate from its first answer, and a lender from the question.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{LimitWord, PermitRequest, UpstreamHash};
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two tellings: an upstream may name another rate with each answer.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Rates in one datagram, 17 bytes each.
const LIMITS_PER_DATAGRAM: usize = 60;

impl NodeCore {
    /// Passes on what became known of rates.
    pub(super) fn poll_rate_limits(&mut self, now: Time) {
        for notice in self.dispatcher.take_limit_notices() {
            let id = self.registered_as(notice.upstream());
            self.outputs.push(Output::RateLimit(id, notice));
        }
        if now < self.limits_due_at {
            return;
        }
        let words = self.dispatcher.take_untold_limits(now);
        if words.is_empty() {
            return;
        }
        self.limits_due_at = now + SEND_INTERVAL;
        let audience = self.broadcast_targets();
        self.send_limits(&words, &audience);
    }

    fn registered_as(&self, upstream: UpstreamHash) -> Option<UpstreamId> {
        let mut ids = self.views.directory.iter().map(|one| &one.record.id);
        ids.find(|id| UpstreamHash::of(id) == upstream).cloned()
    }

    fn send_limits(&mut self, words: &[LimitWord], audience: &[SocketAddr]) {
        if audience.is_empty() {
            return;
        }
        for part in words.chunks(LIMITS_PER_DATAGRAM) {
            let datagram = Datagram::RateLimits(part.to_vec());
            self.outputs.push(Output::Send(datagram, audience.to_vec()));
        }
    }

    /// Tells nodes that have just started all that is known, so that they don't send at full
    /// pace up to their first answers.
    pub(super) fn update_started_nodes(&mut self, now: Time, mut started: Vec<SocketAddr>) {
        if !self.is_small_deployment() {
            let is_relay = self.is_relay();
            started.retain(|address| is_relay && self.membership.is_same_zone(address));
        }
        let words = self.dispatcher.limit_words(now);
        self.send_limits(&words, &started);
        self.send_leaving_to_started(&started);
    }

    /// Takes other nodes' words; as a relay of many, passes on what was news.
    pub(super) fn handle_limits(&mut self, now: Time, words: &[LimitWord]) {
        let mut news = Vec::new();
        for word in words {
            if self.dispatcher.limit_told(now, word) {
                news.extend(self.dispatcher.limit_word(now, word.upstream));
            }
        }
        let audience = self.forward_targets();
        self.send_limits(&news, &audience);
    }

    /// Asks a lender for permits. One that has no entry any more is not heard from, and
    /// counts as silent.
    pub(super) fn request_permits(&mut self, request: PermitRequest) {
        let lender = self.membership.address(request.lender);
        let datagram = Datagram::PermitRequest(request);
        self.outputs
            .push(Output::Send(datagram, lender.into_iter().collect()));
    }

    /// As a lender: answers a question for permits.
    pub(super) fn lend_permits(&mut self, now: Time, from: SocketAddr, request: &PermitRequest) {
        let reply = self.dispatcher.lend_permits(now, request);
        let datagram = Datagram::PermitReply(reply);
        self.outputs.push(Output::Send(datagram, vec![from]));
    }
}
