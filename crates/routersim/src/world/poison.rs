//! Poison requests: a repeated request that crashes each upstream that begins to run it.

use super::clients::{CLIENT_TIMEOUT, request_head};
use super::network::{DeferredInput, Event, Run};
use super::nodes::node_at;
use super::tenants::RequestSender;
use super::upstreams::{CONNECT_TIMEOUT, index_of};
use super::{CONNECTED_AFTER, ClientRequest, ORDER, READ, World};
use crate::fault::{FaultKind, UpstreamPartition};
use beamtray_dispatch::{ProbeTarget, Ticket};
use beamtray_router::core::{Input, Liveness};
use beamtray_sharding::ShardKey;
use rand::RngExt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Delay until a crashed upstream is replaced.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Spreads the keys of poison requests.
const KEY_SPREAD: u16 = 7_919;

impl World {
    /// Sends the request of each caller of a fault to some node and schedules the next round.
    pub(super) fn poison_clients(&mut self, fault: usize) {
        let (begun, duration) = (self.faults[fault].at, self.faults[fault].duration);
        let FaultKind::PoisonRequest {
            is_read,
            pause_ms,
            callers,
        } = self.faults[fault].kind
        else {
            return;
        };
        if self.now >= begun + duration {
            return;
        }
        let pause = Duration::from_millis(pause_ms);
        self.schedule(pause, Event::PoisonClients { fault });
        for caller in 1..=callers {
            let address = IpAddr::V4(Ipv4Addr::new(10, 2, 1, caller));
            self.poison_client(fault, is_read, address);
        }
    }

    fn poison_client(&mut self, fault: usize, is_read: bool, caller: IpAddr) {
        let node = self.random.random_range(0..self.nodes.len());
        let number = self.request_number();
        let slot = &mut self.nodes[node];
        if slot.core.is_none() {
            return;
        }
        slot.next_ticket += 1;
        let (run, ticket) = (slot.run, Ticket(slot.next_ticket));
        let prefix = if is_read { READ } else { ORDER };
        let content = format!("{prefix}poison-{fault}");
        let id = format!("poison-{number}");
        let key = is_read.then(|| ShardKey(KEY_SPREAD.wrapping_mul(fault as u16 + 1)));
        let head = request_head(&id, content.clone(), key, caller);
        let asked = ClientRequest {
            at: self.now,
            was_connected: self.is_connected(node),
            id,
            node,
            key,
            repeatable: is_read,
            is_late: false,
            work: CLIENT_TIMEOUT,
            poison: Some(content),
            sender: RequestSender::Anonymous,
        };
        self.asked.insert((node, run, ticket), asked);
        self.input(node, run, Input::Request { ticket, head });
    }

    /// Crashes an upstream that runs a poison request. Each poison request that it is running
    /// at that moment counts.
    pub(super) fn poison_crashed(&mut self, index: usize, incarnation: u64) {
        let is_there = self.upstreams[index].is_some();
        if !is_there || self.upstream_state[index].incarnation != incarnation {
            return;
        }
        for content in self.upstream_state[index].poison_under_way() {
            self.checkers.poison_crashed(self.now, &content);
        }
        self.crash(index, false, RESTART_DELAY);
    }

    /// Reports that a request from a node that reaches the store arrives at an upstream.
    pub(super) fn check_poison(&mut self, asked: &ClientRequest) {
        if let Some(content) = asked.poison.as_deref().filter(|_| self.is_store_stable()) {
            self.checkers
                .poison_arrived(self.now, CONNECTED_AFTER, content);
        }
    }

    /// Handles a node's attempt to connect to an upstream. A refusal counts if no witness
    /// reaches the upstream either.
    pub(super) fn probe(
        &mut self,
        node: usize,
        run: Run,
        doubted: ProbeTarget,
        witnesses: &[SocketAddr],
    ) {
        let Some(index) = index_of(doubted.address) else {
            return;
        };
        let soon = self.millis(2, 6);
        let partition = self.nodes[node].upstream_partition;
        let is_refused = matches!(
            partition,
            Some(UpstreamPartition::Reset | UpstreamPartition::Refused)
        );
        let is_reached = self.reaches(node, index);
        let is_up = self.upstreams[index].is_some();
        let is_dark = !is_up && self.upstream_state[index].dark;
        let (after, liveness) = if is_refused {
            (soon, Liveness::Ended)
        } else if !is_reached || is_dark {
            (CONNECT_TIMEOUT, Liveness::Silent)
        } else if is_up {
            (soon, Liveness::Listens)
        } else {
            (soon, Liveness::Ended)
        };
        let mut witnesses = witnesses.iter();
        let is_seen = witnesses.any(|witness| self.is_seen_by(node, *witness, index));
        let liveness = match liveness {
            Liveness::Ended if is_seen => Liveness::Listens,
            liveness => liveness,
        };
        let input = Box::new(DeferredInput::Probed(doubted.upstream, liveness));
        self.schedule(after, Event::Deliver { node, run, input });
    }

    /// Whether another node opens a connection to an upstream for a node.
    fn is_seen_by(&self, node: usize, witness: SocketAddr, index: usize) -> bool {
        let Some(witness) = node_at(witness) else {
            return false;
        };
        let slot = &self.nodes[witness];
        let is_running = slot.core.is_some() && !slot.frozen && self.is_linked(node, witness);
        is_running && self.upstreams[index].is_some() && self.connects(witness, index)
    }
}
