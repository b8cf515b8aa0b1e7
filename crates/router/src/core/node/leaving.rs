//! Propagation of upstreams' shutdown announcements.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::net::SocketAddr;

/// Maximum number of upstreams per datagram.
const UPSTREAMS_PER_DATAGRAM: usize = 20;

impl NodeCore {
    /// Handles an upstream's own shutdown announcement and forwards it, so that the granter moves
    /// its keys and other nodes need not get a response of their own first.
    pub(super) fn handle_leaving(&mut self, now: Time, upstream: UpstreamId) {
        if !self.note_leaving(now, &upstream) {
            return;
        }
        let audience = self.broadcast_targets();
        self.send_leaving(&[upstream], &audience);
    }

    /// Handles announcements reported by another node; as a relay in a large deployment, forwards
    /// those that are new.
    pub(super) fn handle_leaving_notice(&mut self, now: Time, upstreams: &[UpstreamId]) {
        let news = upstreams.iter();
        let news = news.filter(|upstream| self.note_leaving(now, upstream));
        let news: Vec<UpstreamId> = news.cloned().collect();
        let audience = self.forward_targets();
        self.send_leaving(&news, &audience);
    }

    fn note_leaving(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        let is_news = self.config.accept_leaving_notices && self.views.mark_leaving(now, upstream);
        if is_news {
            self.apply_view_changes(now);
        }
        is_news
    }

    /// Informs newly started nodes of upstreams that are shutting down.
    pub(super) fn send_leaving_to_started(&mut self, started: &[SocketAddr]) {
        let leaving: Vec<UpstreamId> = self.views.directory.leaving().cloned().collect();
        self.send_leaving(&leaving, started);
    }

    fn send_leaving(&mut self, upstreams: &[UpstreamId], audience: &[SocketAddr]) {
        if audience.is_empty() {
            return;
        }
        for part in upstreams.chunks(UPSTREAMS_PER_DATAGRAM) {
            let datagram = Datagram::UpstreamsLeaving(part.to_vec());
            self.outputs.push(Output::Send(datagram, audience.to_vec()));
        }
    }
}
