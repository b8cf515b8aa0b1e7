//! Replication of the group's state to nodes without a vote, and the freshness
//! check of every node's state.
//!
//! A node sends a report with its clock reading. The leader answers under its
//! lease with the missing state and echoes the reading. Once the node has
//! applied the answer, it knows that nothing newer was committed as of that
//! reading. A delayed answer of a replaced leader proves freshness only as of
//! the report it answers, so no pause can make old state look fresh.

use crate::core::NodeCore;
use crate::message::{Feed, FeedBody, Hello, PeerMessage};
use crate::peers::PeerReport;
use beamtray_consensus::Raft;
use beamtray_ownership::ControlState;
use beamtray_types::{Generation, LogIndex, Member, NodeId, Time};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between reports to a leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between search reports while no leader answers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);
/// Number of nodes contacted at random per search while no leader answers.
const SEARCH_FANOUT: usize = 8;
/// Time without an answer after which a node searches for a leader.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_200);

impl NodeCore {
    pub(crate) fn has_recent_contact(&self) -> bool {
        self.contact
            .is_some_and(|at| self.now.since(at) < CONTACT_TIMEOUT)
    }

    pub(crate) fn known_leader(&self) -> Option<Member> {
        let elected = self.raft.as_ref().and_then(Raft::leader);
        elected.or(self.leader_hint)
    }

    pub(crate) fn tick_contact(&mut self) {
        if self.leadership.is_some() && self.has_lease() {
            self.contact = Some(self.now);
            let load = self.router.take_load();
            self.record_load(load);
            return;
        }
        if self.now < self.hello_due {
            return;
        }
        if self.has_recent_contact()
            && let Some(leader) = self.known_leader()
            && leader.node != self.config.me.node
        {
            self.hello_due = self.now + REPORT_INTERVAL;
            return self.report_to(leader.node);
        }
        self.hello_due = self.now + SEARCH_INTERVAL;
        for node in self.search_targets() {
            self.report_to(node);
        }
    }

    /// Nodes to contact when searching for a leader: the recorded voters and some
    /// random others. In a large fleet, contacting every node would overload the
    /// leader.
    fn search_targets(&mut self) -> BTreeSet<NodeId> {
        let mut targets = self.founding.recorded_voters();
        targets.remove(&self.config.me.node);
        let peers = &self.config.peers;
        if peers.len() <= SEARCH_FANOUT {
            targets.extend(peers.iter().map(|peer| peer.node));
            return targets;
        }
        for _ in 0..SEARCH_FANOUT {
            let position = self.rng.random_range(0..peers.len());
            targets.insert(peers[position].node);
        }
        targets
    }

    fn report_to(&mut self, node: NodeId) {
        let is_leader = self
            .known_leader()
            .is_some_and(|leader| leader.node == node);
        let load = if is_leader {
            self.router.take_load()
        } else {
            Vec::new()
        };
        let hello = Hello {
            zone: self.config.zone.clone(),
            generation: self.generation,
            applied: self.state.applied,
            abandoned: self.founding.abandoned,
            sent_at: self.now,
            leaving: self.stopping.is_some(),
            load,
        };
        self.send(node, PeerMessage::Hello(hello));
    }

    pub(crate) fn on_hello(&mut self, from: Member, hello: Hello) {
        self.peers.record(PeerReport {
            member: from,
            zone: hello.zone.clone(),
            at: self.now,
            leaving: hello.leaving,
            generation: hello.generation,
            applied: hello.applied,
            abandoned: hello.abandoned,
        });
        if hello.generation > self.generation.max(self.raft_generation) {
            self.founding.read_soon(self.now);
        }
        if self.leadership.is_some() && self.has_lease() {
            self.record_load(hello.load.clone());
            return self.feed(from, &hello);
        }
        let leader = self.known_leader();
        if let Some(leader) = leader
            && self.has_recent_contact()
            && leader.node != self.config.me.node
        {
            let generation = self.generation;
            self.send(from.node, PeerMessage::LeaderHint { generation, leader });
        }
    }

    /// Answers a report with the state that the node is missing.
    fn feed(&mut self, to: Member, hello: &Hello) {
        if self.generation != self.raft_generation {
            return;
        }
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.record_node(self.now, to, hello);
        let same = hello.generation == self.generation;
        let body = leadership
            .entries_after(hello.applied, self.state.applied)
            .filter(|_| same)
            .map_or_else(
                || FeedBody::Snapshot(crate::group::encode_state(&self.state)),
                FeedBody::Entries,
            );
        self.send_feed(to.node, Some(hello.sent_at), body);
    }

    fn send_feed(&mut self, to: NodeId, echoed: Option<Time>, body: FeedBody) {
        let Some(term) = self.leadership.as_ref().map(|leadership| leadership.term) else {
            return;
        };
        let feed = Feed {
            generation: self.generation,
            term,
            applied: self.state.applied,
            echoed,
            body,
        };
        self.send(to, PeerMessage::Feed(feed));
    }

    /// Sends new entries to all nodes immediately, without waiting for reports.
    pub(crate) fn push_feed(&mut self) {
        if !self.has_lease() || self.generation != self.raft_generation {
            return;
        }
        let applied = self.state.applied;
        let me = self.config.me.node;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let Some(entries) = leadership.take_unsent_entries(applied) else {
            return;
        };
        let nodes: Vec<NodeId> = leadership
            .known_nodes()
            .filter(|node| *node != me)
            .collect();
        for node in nodes {
            self.send_feed(node, None, FeedBody::Entries(entries.clone()));
        }
    }

    pub(crate) fn on_feed(&mut self, from: Member, feed: Feed) {
        if feed.generation < self.generation || self.leadership.is_some() {
            return;
        }
        match feed.body {
            FeedBody::Entries(entries) => self.apply(feed.generation, &entries),
            FeedBody::Snapshot(data) => self.on_feed_snapshot(feed.generation, &data),
        }
        let current = feed.generation == self.generation && self.state.applied >= feed.applied;
        if current {
            self.leader_hint = Some(from);
            if let Some(echoed) = feed.echoed {
                self.contact = self.contact.max(Some(echoed));
            }
        } else {
            // State is missing: report immediately to request it.
            self.hello_due = self.now;
        }
    }

    fn on_feed_snapshot(&mut self, generation: Generation, data: &[u8]) {
        let Ok(state) = borsh::from_slice::<ControlState>(data) else {
            return;
        };
        let newer = generation > self.generation || state.applied > self.state.applied;
        if newer && state.applied > LogIndex(0) {
            self.adopt_state(generation, state);
        }
    }
}
