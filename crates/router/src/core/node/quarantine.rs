//! What nodes tell one another of requests that end upstreams.
//!
//! A client that comes again meets another node, so each node sees one end or two. All
//! have to know of each within the time in which nodes in touch hear of things.
//! Where there are few nodes each tells all. Where there are many each tells the relays,
//! and these tell the nodes of their zones; the granter, which is one
//! of them, writes it into the store, where those find it that missed the word.

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

/// How often each suspicion is told: of links that lose one datagram in ten, one loses all
/// of them once in ten thousand.
const SEND_COUNT: u32 = 4;
/// Between two tellings. All are told well within a second.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// The same while there is news: the first is told at once, and what comes soon after it
/// goes together. Each in a datagram of its own, they were as many as the requests that
/// were under way where upstreams ended.
const NEWS_SEND_INTERVAL: Duration = Duration::from_millis(30);
/// Suspicions in one datagram, 18 bytes each.
const SUSPICIONS_PER_DATAGRAM: usize = 60;
/// Most suspicions that are still to be told; a zone that is lost leaves thousands, nearly
/// all of bystanders. What was told least urgently gives way.
const MAX_QUEUED: usize = 2_000;
/// Suspicions of a request of which so many are known are told before others.
const URGENT_COUNT: usize = 2;

/// Whom a suspicion is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuspicionAudience {
    /// Whoever puts together what single nodes saw.
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

/// Suspicions that are still to be told.
#[derive(Debug, Default)]
pub(super) struct SuspicionQueue {
    queue: VecDeque<QueuedSuspicion>,
    due: Time,
    sent_at: Option<Time>,
}

impl SuspicionQueue {
    /// Adds a suspicion; one that `is_urgent` goes before the others. Where a zone is lost
    /// those of its bystanders take seconds to tell.
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

    /// There is news: it is told at once, or with what else comes up to then.
    fn schedule_soon(&mut self, now: Time) {
        let next = self.sent_at.map_or(now, |sent| sent + NEWS_SEND_INTERVAL);
        self.due = self.due.min(next.max(now));
    }

    /// Those that are told next, and again later unless it was the last time.
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
    /// Takes what the try to connect to an upstream showed.
    pub(super) fn handle_probe(&mut self, now: Time, upstream: &UpstreamId, liveness: Liveness) {
        match liveness {
            Liveness::Ended => self.handle_upstream_ended(now, upstream),
            // What listens may be its restart, which its registration tells soon.
            Liveness::Listens if upstream.born.is_some() => {}
            Liveness::Listens => {
                let hash = UpstreamHash::of(upstream);
                self.dispatcher.quarantine_mut().upstream_lives(hash);
            }
            // Another proof may come, or the doubt passes.
            Liveness::Silent => {}
        }
    }

    /// Suspects the requests whose connections to an upstream broke off, since it ended.
    pub(super) fn handle_upstream_ended(&mut self, now: Time, upstream: &UpstreamId) {
        let hash = UpstreamHash::of(upstream);
        self.dispatcher.quarantine_mut().upstream_ended(now, hash);
    }

    /// Takes restarts of upstreams under their names as proof that the incarnations before
    /// have ended.
    pub(super) fn note_restarts(&mut self, now: Time, notices: &[ViewNotice]) {
        for notice in notices {
            if let ViewNotice::Directory(DirectoryChange::Restarted { earlier, .. }) = notice {
                self.handle_upstream_ended(now, earlier);
            }
        }
    }

    /// Asks for proof where connections broke off, and passes on what became known.
    pub(super) fn poll_quarantine(&mut self, now: Time) {
        for doubted in self.dispatcher.take_doubted() {
            self.outputs.push(Output::Probe(doubted));
        }
        self.forward_news(now);
        let found = self.dispatcher.quarantine_mut().take_untold();
        if !found.is_empty() {
            self.suspicion_queue.schedule_soon(now);
        }
        for suspicion in found {
            let known = self.dispatcher.quarantine().known_of(suspicion.fingerprint);
            let is_urgent = known.len() >= URGENT_COUNT;
            let audience = SuspicionAudience::Collectors;
            self.suspicion_queue.add(suspicion, audience, is_urgent);
        }
        let notices = self.dispatcher.quarantine_mut().take_notices();
        let notices = notices.into_iter().map(Output::Quarantine);
        self.outputs.extend(notices);
    }

    /// A relay tells its zone of all that is news to it, of the first end as well: a node
    /// that has not heard of that would send such a request without a permit.
    fn forward_news(&mut self, now: Time) {
        let news = self.dispatcher.quarantine_mut().take_news();
        if news.is_empty() || self.is_small_deployment() || !self.is_relay() {
            return;
        }
        for suspicion in news {
            let known = self.dispatcher.quarantine().known_of(suspicion.fingerprint);
            let is_urgent = known.len() >= URGENT_COUNT;
            let audience = SuspicionAudience::Zone;
            self.suspicion_queue.add(suspicion, audience, is_urgent);
        }
        self.suspicion_queue.schedule_soon(now);
    }

    /// Takes what another node saw.
    pub(super) fn handle_suspicions(&mut self, now: Time, suspicions: &[Suspicion]) {
        let quarantine = self.dispatcher.quarantine_mut();
        for suspicion in suspicions {
            quarantine.learn(now, *suspicion);
        }
    }

    /// Tells other nodes of suspicions.
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
