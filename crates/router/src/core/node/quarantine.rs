//! Exchange of suspected poison requests, those that crash upstreams, between nodes.
//!
//! A client that retries reaches a different node, so each node sees only one or two of the
//! crashes. All nodes must learn of each crash within the usual time for messages between connected
//! nodes. In a small deployment, each node informs all others. In a large one, each node informs
//! the relays, which inform the nodes of their zones; the granter, which receives them as a relay,
//! stores them for nodes that missed the messages.

use super::NodeCore;
use crate::core::membership::Audience;
use crate::core::message::{Datagram, Liveness, Output};
use crate::core::views::ViewNotice;
use beamtray_catalog::{DirectoryChange, UpstreamId};
use beamtray_dispatch::{Suspicion, UpstreamHash};
use beamtray_types::Time;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// How often each suspicion is sent: on a link that loses one datagram in ten, all of them are lost
/// once in ten thousand times.
const SEND_COUNT: u32 = 4;
/// Interval between datagrams; all suspicions are sent well within a second.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// The same after new suspicions: the first is sent immediately, and those that follow soon after
/// share a datagram. If each had its own, there would be as many datagrams as requests in flight at
/// the crashed upstreams.
const NEWS_SEND_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of suspicions per datagram, at 18 bytes each.
const SUSPICIONS_PER_DATAGRAM: usize = 60;
/// Maximum number of queued suspicions. The loss of a zone leaves thousands, nearly all against
/// innocent requests; the least urgent ones are dropped.
const MAX_QUEUED: usize = 2_000;
/// Suspicions of a request with at least this many known suspicions are urgent, and sent before
/// others.
const URGENT_COUNT: usize = 2;

/// The recipients of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspicionAudience {
    /// Nodes that combine the observations of single nodes.
    Collectors,
    /// All nodes of this zone.
    Zone,
}

#[derive(Clone, Copy, Debug)]
struct QueuedSuspicion {
    suspicion: Suspicion,
    audience: SuspicionAudience,
    sends_left: u32,
}

/// Suspicions waiting to be sent.
#[derive(Debug, Default)]
pub(super) struct SuspicionQueue {
    queue: VecDeque<QueuedSuspicion>,
    due: Time,
    sent_at: Option<Time>,
}

impl SuspicionQueue {
    /// Queues a suspicion, ahead of all others if `is_urgent`. After the loss of a zone, sending
    /// the suspicions against innocent requests takes seconds.
    fn add(&mut self, suspicion: Suspicion, audience: SuspicionAudience, is_urgent: bool) {
        let news = QueuedSuspicion {
            suspicion,
            audience,
            sends_left: SEND_COUNT,
        };
        if is_urgent {
            self.queue.push_front(news);
        } else {
            self.queue.push_back(news);
        }
        if self.queue.len() > MAX_QUEUED {
            self.queue.pop_back();
        }
    }

    /// Schedules new suspicions: sent immediately, or together with others that arise within the
    /// interval.
    fn schedule_soon(&mut self, now: Time) {
        let next = self.sent_at.map_or(now, |sent| sent + NEWS_SEND_INTERVAL);
        self.due = self.due.min(next.max(now));
    }

    /// The suspicions to send now. Those with sends left are queued again.
    fn take_due(&mut self) -> Vec<QueuedSuspicion> {
        let count = self.queue.len().min(SUSPICIONS_PER_DATAGRAM);
        let batch: Vec<QueuedSuspicion> = self.queue.drain(..count).collect();
        for news in &batch {
            let sends_left = news.sends_left - 1;
            if sends_left > 0 {
                self.queue.push_back(QueuedSuspicion {
                    sends_left,
                    ..*news
                });
            }
        }
        batch
    }
}

impl NodeCore {
    /// Handles the result of a connection attempt to an upstream.
    pub(super) fn handle_probe(&mut self, now: Time, upstream: &UpstreamId, liveness: Liveness) {
        match liveness {
            Liveness::Ended => self.handle_upstream_terminated(now, upstream),
            // The listening process may be a restarted one, which its registration will soon show.
            Liveness::Listens if upstream.started_at.is_some() => {}
            Liveness::Listens => {
                let hash = UpstreamHash::of(upstream);
                self.dispatcher.quarantine_mut().upstream_alive(hash);
            }
            // Other proof may arrive, or the suspicion expires.
            Liveness::Silent => {}
        }
    }

    /// Suspects the requests whose connections to an upstream broke, since the upstream has
    /// terminated.
    pub(super) fn handle_upstream_terminated(&mut self, now: Time, upstream: &UpstreamId) {
        let hash = UpstreamHash::of(upstream);
        self.dispatcher
            .quarantine_mut()
            .upstream_terminated(now, hash);
    }

    /// Takes the restart of an upstream under the same name as proof that its earlier incarnation
    /// has terminated.
    pub(super) fn note_restarts(&mut self, now: Time, notices: &[ViewNotice]) {
        for notice in notices {
            if let ViewNotice::Directory(DirectoryChange::Restarted { earlier, .. }) = notice {
                self.handle_upstream_terminated(now, earlier);
            }
        }
    }

    /// Probes upstreams whose connections broke, and publishes new findings.
    pub(super) fn poll_quarantine(&mut self, now: Time) {
        for doubted in self.dispatcher.take_probe_targets() {
            let hash = UpstreamHash::of(&doubted.upstream);
            let witnesses = self.dispatcher.witnesses(now, hash);
            self.outputs.push(Output::Probe(doubted, witnesses));
        }
        self.forward_news(now);
        let found = self.dispatcher.quarantine_mut().take_local_suspicions();
        if !found.is_empty() {
            self.suspicion_queue.schedule_soon(now);
        }
        for suspicion in found {
            let known = self
                .dispatcher
                .quarantine()
                .suspicions_of(suspicion.fingerprint);
            let is_urgent = known.len() >= URGENT_COUNT;
            let audience = SuspicionAudience::Collectors;
            self.suspicion_queue.add(suspicion, audience, is_urgent);
        }
        let notices = self.dispatcher.quarantine_mut().take_events();
        let notices = notices.into_iter().map(Output::Quarantine);
        self.outputs.extend(notices);
    }

    /// As a relay, forwards all new suspicions to the zone. This includes a request's first one: a
    /// node unaware of it would send such a request without a permit.
    fn forward_news(&mut self, now: Time) {
        let news = self.dispatcher.quarantine_mut().take_new_suspicions();
        if news.is_empty() || self.is_small_deployment() || !self.is_relay() {
            return;
        }
        for suspicion in news {
            let known = self
                .dispatcher
                .quarantine()
                .suspicions_of(suspicion.fingerprint);
            let is_urgent = known.len() >= URGENT_COUNT;
            let audience = SuspicionAudience::Zone;
            self.suspicion_queue.add(suspicion, audience, is_urgent);
        }
        self.suspicion_queue.schedule_soon(now);
    }

    /// Handles suspicions reported by another node.
    pub(super) fn handle_suspicions(&mut self, now: Time, suspicions: &[Suspicion]) {
        let quarantine = self.dispatcher.quarantine_mut();
        for suspicion in suspicions {
            quarantine.merge(now, *suspicion);
        }
    }

    /// Sends queued suspicions to other nodes.
    pub(super) fn send_suspicions(&mut self, now: Time) {
        let is_due = now >= self.suspicion_queue.due && !self.suspicion_queue.queue.is_empty();
        if !is_due || !self.config.share_suspicions {
            return;
        }
        self.suspicion_queue.sent_at = Some(now);
        self.suspicion_queue.due = now + SEND_INTERVAL;
        let batch = self.suspicion_queue.take_due();
        for audience in [SuspicionAudience::Collectors, SuspicionAudience::Zone] {
            let addressed = batch.iter().filter(|news| news.audience == audience);
            let suspicions: Vec<Suspicion> = addressed.map(|news| news.suspicion).collect();
            let peers = self.suspicion_peers(audience);
            if !suspicions.is_empty() && !peers.is_empty() {
                let datagram = Datagram::Suspicions(suspicions);
                self.outputs.push(Output::Send(datagram, peers));
            }
        }
    }

    fn suspicion_peers(&self, audience: SuspicionAudience) -> Vec<SocketAddr> {
        if self.is_small_deployment() {
            return self.membership.peers(Audience::All);
        }
        match audience {
            SuspicionAudience::Zone => self.membership.peers(Audience::SameZone),
            SuspicionAudience::Collectors => {
                let mut relays = self.zone_relays();
                relays.extend(self.relays_of_other_zones());
                relays
            }
        }
    }
}
