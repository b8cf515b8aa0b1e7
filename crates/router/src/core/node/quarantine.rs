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
const TOLD: u32 = 4;
/// Between two tellings. All are told well within a second.
const PAUSE: Duration = Duration::from_millis(150);
/// The same while there is news: the first is told at once, and what comes soon after it
/// goes together. Each in a datagram of its own, they were as many as the requests that
/// were under way where upstreams ended.
const NEWS_PAUSE: Duration = Duration::from_millis(30);
/// Suspicions in one datagram, 18 bytes each.
const SUSPICIONS_A_DATAGRAM: usize = 60;
/// Most suspicions that are still to be told; a zone that is lost leaves thousands, nearly
/// all of bystanders. What was told least urgently gives way.
const MOST_NEWS: usize = 2_000;
/// Suspicions of a request of which so many are known are told before others.
const URGENT_FROM: usize = 2;

/// Whom a suspicion is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewsAudience {
    /// Whoever puts together what single nodes saw.
    Collectors,
    /// All nodes of this zone.
    Zone,
}

#[derive(Clone, Copy, Debug)]
struct News {
    suspicion: Suspicion,
    audience: NewsAudience,
    left: u32,
}

/// Suspicions that are still to be told.
#[derive(Debug, Default)]
pub(super) struct SuspicionNews {
    news: VecDeque<News>,
    due: Time,
    told_at: Option<Time>,
}

impl SuspicionNews {
    /// Adds a suspicion; one that `is_urgent` goes before the others. Where a zone is lost
    /// those of its bystanders take seconds to tell.
    fn add(&mut self, suspicion: Suspicion, audience: NewsAudience, is_urgent: bool) {
        let news = News {
            suspicion,
            audience,
            left: TOLD,
        };
        if is_urgent {
            self.news.push_front(news);
        } else {
            self.news.push_back(news);
        }
        if self.news.len() > MOST_NEWS {
            self.news.pop_back();
        }
    }

    /// There is news: it is told at once, or with what else comes up to then.
    fn hurry(&mut self, now: Time) {
        let next = self.told_at.map_or(now, |told| told + NEWS_PAUSE);
        self.due = self.due.min(next.max(now));
    }

    /// Those that are told next, and again later unless it was the last time.
    fn take_due(&mut self) -> Vec<News> {
        let count = self.news.len().min(SUSPICIONS_A_DATAGRAM);
        let told: Vec<News> = self.news.drain(..count).collect();
        for news in &told {
            let left = news.left - 1;
            if left > 0 {
                self.news.push_back(News { left, ..*news });
            }
        }
        told
    }
}

impl NodeCore {
    /// Takes what the try to connect to an upstream showed.
    pub(super) fn probed(&mut self, now: Time, upstream: &UpstreamId, liveness: Liveness) {
        match liveness {
            Liveness::Ended => self.upstream_ended(now, upstream),
            // What listens may be its restart, which its registration tells soon.
            Liveness::Listens if upstream.started_at.is_some() => {}
            Liveness::Listens => {
                let hash = UpstreamHash::of(upstream);
                self.dispatcher.quarantine_mut().upstream_lives(hash);
            }
            // Another proof may come, or the doubt passes.
            Liveness::Silent => {}
        }
    }

    /// Suspects the requests whose connections to an upstream broke off, since it ended.
    pub(super) fn upstream_ended(&mut self, now: Time, upstream: &UpstreamId) {
        let hash = UpstreamHash::of(upstream);
        self.dispatcher.quarantine_mut().upstream_ended(now, hash);
    }

    /// Takes restarts of upstreams under their names as proof that the incarnations before
    /// have ended.
    pub(super) fn note_restarts(&mut self, now: Time, notices: &[ViewNotice]) {
        for notice in notices {
            if let ViewNotice::Directory(DirectoryChange::Restarted { earlier, .. }) = notice {
                self.upstream_ended(now, earlier);
            }
        }
    }

    /// Asks for proof where connections broke off, and passes on what became known.
    pub(super) fn follow_quarantine(&mut self, now: Time) {
        for doubted in self.dispatcher.take_doubted() {
            self.outputs.push(Output::Probe(doubted));
        }
        self.pass_on_news(now);
        let found = self.dispatcher.quarantine_mut().take_untold();
        if !found.is_empty() {
            self.suspicion_news.hurry(now);
        }
        for suspicion in found {
            let known = self.dispatcher.quarantine().known_of(suspicion.fingerprint);
            let is_urgent = known.len() >= URGENT_FROM;
            let audience = NewsAudience::Collectors;
            self.suspicion_news.add(suspicion, audience, is_urgent);
        }
        let notices = self.dispatcher.quarantine_mut().take_notices();
        let notices = notices.into_iter().map(Output::Quarantine);
        self.outputs.extend(notices);
    }

    /// A relay tells its zone of all that is news to it, of the first end as well: a node
    /// that has not heard of that would send such a request without a permit.
    fn pass_on_news(&mut self, now: Time) {
        let news = self.dispatcher.quarantine_mut().take_news();
        if news.is_empty() || self.are_few() || !self.is_relay() {
            return;
        }
        for suspicion in news {
            let known = self.dispatcher.quarantine().known_of(suspicion.fingerprint);
            let is_urgent = known.len() >= URGENT_FROM;
            let audience = NewsAudience::Zone;
            self.suspicion_news.add(suspicion, audience, is_urgent);
        }
        self.suspicion_news.hurry(now);
    }

    /// Takes what another node saw.
    pub(super) fn take_suspicions(&mut self, now: Time, suspicions: &[Suspicion]) {
        let quarantine = self.dispatcher.quarantine_mut();
        for suspicion in suspicions {
            quarantine.learn(now, *suspicion);
        }
    }

    /// Tells other nodes of suspicions.
    pub(super) fn tell_suspicions(&mut self, now: Time) {
        let is_due = now >= self.suspicion_news.due && !self.suspicion_news.news.is_empty();
        if !is_due || !self.config.tells_suspicions {
            return;
        }
        self.suspicion_news.told_at = Some(now);
        self.suspicion_news.due = now + PAUSE;
        let told = self.suspicion_news.take_due();
        for audience in [NewsAudience::Collectors, NewsAudience::Zone] {
            let meant = told.iter().filter(|news| news.audience == audience);
            let suspicions: Vec<Suspicion> = meant.map(|news| news.suspicion).collect();
            let peers = self.news_peers(audience);
            if !suspicions.is_empty() && !peers.is_empty() {
                let datagram = Datagram::Suspicions(suspicions);
                self.outputs.push(Output::Send(datagram, peers));
            }
        }
    }

    fn news_peers(&self, audience: NewsAudience) -> Vec<SocketAddr> {
        if self.are_few() {
            return self.membership.peers(Audience::All);
        }
        match audience {
            NewsAudience::Zone => self.membership.peers(Audience::Near),
            NewsAudience::Collectors => {
                let mut relays = self.near_relays();
                relays.extend(self.other_relays());
                relays
            }
        }
    }
}
