//! Nodes that are partitioned from all upstreams, while clients, the store and the other nodes
//! still reach them.

use super::World;
use super::network::{DeferredInput, Event, Run};
use super::upstreams::{CONNECT_TIMEOUT, Taken, address, index_of};
use crate::fault::UpstreamPartition;
use beamtray_catalog::UpstreamId;
use beamtray_dispatch::{ProbeTarget, Ticket};
use beamtray_router::core::Input;
use beamtray_types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Time until a connection is refused.
pub(super) const REFUSAL_DELAY: Duration = Duration::from_millis(1);
/// Time for which a connection is reused for a repeatable request after a response.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a request that must not be repeated.
const UNREPEATABLE_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// What happens to a request that a node sends to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Passage {
    /// It arrives over a connection that was open.
    Reused,
    /// It arrives over a new connection.
    Open,
    /// It is written to a connection that has gone silent.
    Lost,
    /// The connection is refused.
    Refused,
    /// No connection is established.
    Silent,
}

/// A connection to an upstream that a node opened itself.
#[derive(Clone, Debug)]
pub(crate) struct OpenedConnection {
    upstream: UpstreamId,
    address: SocketAddr,
    began: Time,
}

impl World {
    pub(super) fn partition_nodes(
        &mut self,
        nodes: &[usize],
        mode: UpstreamPartition,
        duration: Duration,
    ) {
        let nodes: Vec<usize> = nodes
            .iter()
            .copied()
            .filter(|node| *node < self.nodes.len())
            .collect();
        self.checkers
            .partitioned(self.now, self.now + duration, &nodes);
        for node in nodes {
            self.nodes[node].upstream_partition = Some(mode);
            if mode == UpstreamPartition::Reset {
                self.nodes[node].answered_at.clear();
                self.reset_attempts_of(node);
            }
        }
    }

    pub(super) fn end_partition(&mut self, nodes: &[usize]) {
        let now = self.now;
        for node in nodes {
            if let Some(slot) = self.nodes.get_mut(*node) {
                slot.upstream_partition = None;
                slot.partition_ended = Some(now);
            }
        }
    }

    /// What happens to a request that a node sends to an upstream over its own path.
    pub(super) fn passage(&mut self, node: usize, index: usize, repeatable: bool) -> Passage {
        let now = self.now;
        let slot = &mut self.nodes[node];
        let limit = match repeatable {
            true => IDLE_TIMEOUT,
            false => UNREPEATABLE_IDLE_TIMEOUT,
        };
        let answered_at = slot.answered_at.get(&index);
        let is_reused = answered_at.is_some_and(|at| now.since(*at) < limit);
        match slot.upstream_partition {
            None if is_reused => Passage::Reused,
            None => Passage::Open,
            Some(UpstreamPartition::Refused) if is_reused => Passage::Reused,
            Some(UpstreamPartition::Refused | UpstreamPartition::Reset) => Passage::Refused,
            Some(UpstreamPartition::Silent) if is_reused => {
                slot.answered_at.remove(&index);
                Passage::Lost
            }
            Some(UpstreamPartition::Silent) => Passage::Silent,
        }
    }

    /// Records that a node opens a connection of its own for an attempt. Like the process, the node
    /// reports it when the attempt ends.
    pub(super) fn note_opened(&mut self, taken: &Taken, index: usize) {
        let key = (taken.node, taken.run, taken.ticket, taken.attempt);
        let opened = OpenedConnection {
            upstream: taken.upstream.clone(),
            address: address(index),
            began: self.now,
        };
        self.opened.insert(key, opened);
    }

    /// Reports the connection that a node opened for an attempt that ends now.
    pub(super) fn report_opened(&mut self, node: usize, run: Run, ticket: Ticket, attempt: u32) {
        let Some(opened) = self.opened.remove(&(node, run, ticket, attempt)) else {
            return;
        };
        let input = Input::ConnectionTried {
            upstream: opened.upstream,
            address: opened.address,
            began: opened.began,
            opened: true,
        };
        self.input(node, run, input);
    }

    /// Whether a node can open a connection to an upstream.
    pub(super) fn connects(&self, node: usize, index: usize) -> bool {
        self.nodes[node].upstream_partition.is_none() && self.reaches(node, index)
    }

    /// Handles a node's attempt to find out whether its path to an upstream is whole again.
    pub(super) fn probe_path(&mut self, node: usize, run: Run, target: ProbeTarget) {
        let Some(index) = index_of(target.address) else {
            return;
        };
        let is_refused = matches!(
            self.nodes[node].upstream_partition,
            Some(UpstreamPartition::Refused | UpstreamPartition::Reset)
        );
        let opened = self.upstreams[index].is_some() && self.connects(node, index);
        let after = match opened || is_refused {
            true => REFUSAL_DELAY,
            false => CONNECT_TIMEOUT,
        };
        let input = Box::new(DeferredInput::ConnectionTried {
            upstream: target.upstream,
            address: target.address,
            began: self.now,
            opened,
        });
        self.schedule(after, Event::Deliver { node, run, input });
    }

    /// Reports to a node that a connection to an upstream failed.
    pub(super) fn connection_failed(
        &mut self,
        node: usize,
        run: Run,
        index: usize,
        upstream: &UpstreamId,
        after: Duration,
    ) {
        let input = DeferredInput::ConnectionTried {
            upstream: upstream.clone(),
            address: address(index),
            began: self.now,
            opened: false,
        };
        let input = Box::new(input);
        self.schedule(after, Event::Deliver { node, run, input });
    }

    /// Records a response that leaves a connection to the upstream for reuse.
    pub(super) fn note_answered(&mut self, node: usize, index: usize, at: Time) {
        self.nodes[node].answered_at.insert(index, at);
    }
}
