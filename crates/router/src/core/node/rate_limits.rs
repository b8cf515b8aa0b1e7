//! Exchange of rate limits announced by upstreams, and requesting and issuing of permits.
//!
//! In a small deployment, each node informs all others. In a large one, each node informs the
//! relays, which inform the nodes of their zones, including newly started ones. A node that missed
//! the message learns of the rate limit from the upstream's first response to it, and an issuer
//! from the first permit request.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{PermitRequest, RateLimitUpdate, UpstreamHash};
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum interval between messages, since an upstream may announce a different rate in each
/// response.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of rate limits per datagram, at 17 bytes each.
const LIMITS_PER_DATAGRAM: usize = 60;

impl NodeCore {
    /// Publishes new information on rate limits.
    pub(super) fn poll_rate_limits(&mut self, now: Time) {
        for notice in self.dispatcher.take_rate_limit_events() {
            let id = self.registered_as(notice.upstream());
            self.outputs.push(Output::RateLimit(id, notice));
        }
        if now < self.limits_due_at {
            return;
        }
        let limits = self.dispatcher.take_rate_limit_updates(now);
        if limits.is_empty() {
            return;
        }
        self.limits_due_at = now + SEND_INTERVAL;
        let audience = self.broadcast_targets();
        self.send_limits(&limits, &audience);
    }

    fn registered_as(&self, upstream: UpstreamHash) -> Option<UpstreamId> {
        let mut ids = self.views.directory.iter().map(|one| &one.record.id);
        ids.find(|id| UpstreamHash::of(id) == upstream).cloned()
    }

    fn send_limits(&mut self, limits: &[RateLimitUpdate], audience: &[SocketAddr]) {
        if audience.is_empty() {
            return;
        }
        for part in limits.chunks(LIMITS_PER_DATAGRAM) {
            let datagram = Datagram::RateLimits(part.to_vec());
            self.outputs.push(Output::Send(datagram, audience.to_vec()));
        }
    }

    /// Sends everything known to newly started nodes, so that they don't send requests at the full
    /// rate until their first responses.
    pub(super) fn update_started_nodes(&mut self, now: Time, mut started: Vec<SocketAddr>) {
        if !self.is_small_deployment() {
            let is_relay = self.is_relay();
            started.retain(|address| is_relay && self.membership.is_same_zone(address));
        }
        let limits = self.dispatcher.rate_limit_updates(now);
        self.send_limits(&limits, &started);
        self.send_leaving_to_started(&started);
    }

    /// Handles rate limits reported by another node; as a relay in a large deployment, forwards
    /// those that are new.
    pub(super) fn handle_limits(&mut self, now: Time, limits: &[RateLimitUpdate]) {
        let mut news = Vec::new();
        for limit in limits {
            if self.dispatcher.apply_rate_limit_update(now, limit) {
                news.extend(self.dispatcher.rate_limit_update(now, limit.upstream));
            }
        }
        let audience = self.forward_targets();
        self.send_limits(&news, &audience);
    }

    /// Requests permits from an issuer. An issuer that is no longer registered can't be reached and
    /// counts as silent.
    pub(super) fn request_permits(&mut self, request: PermitRequest) {
        let issuer = self.membership.address(request.issuer);
        let datagram = Datagram::PermitRequest(request);
        self.outputs
            .push(Output::Send(datagram, issuer.into_iter().collect()));
    }

    /// As an issuer, answers a permit request.
    pub(super) fn issue_permits(&mut self, now: Time, from: SocketAddr, request: &PermitRequest) {
        let reply = self.dispatcher.issue_permits(now, request);
        let datagram = Datagram::PermitReply(reply);
        self.outputs.push(Output::Send(datagram, vec![from]));
    }
}
