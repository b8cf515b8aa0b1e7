//! Upstreams that say in their answers that they leave: whom this node tells.

use super::NodeCore;
use crate::core::message::{Datagram, Output};
use beamtray_catalog::UpstreamId;
use beamtray_types::Time;
use std::net::SocketAddr;

/// Upstreams in one datagram.
const UPSTREAMS_A_DATAGRAM: usize = 20;

impl NodeCore {
    /// Takes an upstream's own word that it leaves, and passes it on: the granter moves its
    /// keys, and other nodes need no answer of their own.
    pub(super) fn heard_leaving(&mut self, now: Time, upstream: UpstreamId) {
        if !self.note_leaving(now, &upstream) {
            return;
        }
        let audience = self.news_audience();
        self.tell_leaving(&[upstream], &audience);
    }

    /// Takes another node's words; as a relay of many, passes on what was news.
    pub(super) fn take_leaving(&mut self, now: Time, upstreams: &[UpstreamId]) {
        let told = upstreams.iter();
        let news = told.filter(|upstream| self.note_leaving(now, upstream));
        let news: Vec<UpstreamId> = news.cloned().collect();
        let audience = self.passed_on_to();
        self.tell_leaving(&news, &audience);
    }

    fn note_leaving(&mut self, now: Time, upstream: &UpstreamId) -> bool {
        let is_news = self.config.hears_leaving && self.views.says_it_leaves(now, upstream);
        if is_news {
            self.viewed(now);
        }
        is_news
    }

    /// Tells nodes that have just started which upstreams leave.
    pub(super) fn tell_started_of_leaving(&mut self, started: &[SocketAddr]) {
        let leaving: Vec<UpstreamId> = self.views.directory.leaving().cloned().collect();
        self.tell_leaving(&leaving, started);
    }

    fn tell_leaving(&mut self, upstreams: &[UpstreamId], audience: &[SocketAddr]) {
        if audience.is_empty() {
            return;
        }
        for part in upstreams.chunks(UPSTREAMS_A_DATAGRAM) {
            let datagram = Datagram::Leaving(part.to_vec());
            self.outputs.push(Output::Send(datagram, audience.to_vec()));
        }
    }
}
