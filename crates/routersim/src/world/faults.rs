//! Start and end of faults.

use super::World;
use super::network::Event;
use crate::check::Sender;
use crate::event_log::LoggedEvent;
use crate::fault::{CutFrom, FaultKind};
use beamtray_catalog::RequestRate;
use beamtray_router::core::Input;
use beamtray_sharding::ShardKey;
use rand::RngExt;
use std::time::Duration;

/// Time for which watches receive nothing before the store compacts its revision history.
const COMPACTION_DELAY: Duration = Duration::from_secs(1);
/// Number of zones, which upstreams belong to in turn.
const ZONES: usize = 3;
/// Interval at which an upstream retries to write to the store that it is leaving.
const STORE_RETRY: Duration = Duration::from_millis(200);

impl World {
    pub(super) fn fault(&mut self, index: usize) {
        let fault = self.faults[index].clone();
        let duration = fault.duration;
        let mut node = None;
        self.event_log
            .add(self.now, || LoggedEvent::FaultBegan(fault.clone()));
        match &fault.kind {
            FaultKind::NodeKill { node: chosen } => {
                let node = chosen.or_else(|| self.granter());
                if let Some(node) = node.filter(|node| self.nodes[*node].core.is_some()) {
                    self.kill_node(node);
                    self.schedule(duration, Event::NodeStart { node });
                }
            }
            FaultKind::KillAll => self.kill_all(duration),
            FaultKind::PowerLoss { zone } => self.lose_power(*zone, duration),
            FaultKind::NodeFreeze { node: chosen } => {
                if let Some(node) = chosen.or_else(|| self.granter()) {
                    self.freeze(node, duration);
                }
            }
            FaultKind::NodeSuspend { node: chosen } => {
                if let Some(node) = chosen.or_else(|| self.granter()) {
                    self.suspend(node, duration);
                }
            }
            FaultKind::NodeSlow {
                node: chosen,
                order_ms,
            } => {
                node = chosen.or_else(|| self.granter());
                if let Some(node) = node {
                    self.nodes[node].order_cost = Duration::from_millis(*order_ms);
                }
            }
            FaultKind::StoreCut { node: chosen } => {
                node = chosen.or_else(|| self.granter());
                if let Some(node) = node {
                    self.nodes[node].store_cut = true;
                    self.nodes[node].disturbed = self.now;
                    self.forget_retry_after(node);
                    self.silence_watches(|waiting| waiting == node);
                }
            }
            FaultKind::PeerCut { node } => {
                self.nodes[*node].peer_cut = true;
                self.forget_retry_after(*node);
            }
            FaultKind::Stop { node } => {
                if self.nodes[*node].core.is_some() {
                    let run = self.nodes[*node].run;
                    self.nodes[*node].disturbed = self.now;
                    let end = self.now + duration;
                    self.input(*node, run, Input::Stop { end });
                }
            }
            FaultKind::StoreDown { lapse } => {
                self.store_state.down = true;
                self.store.lease_expiry_enabled = *lapse;
                self.silence_watches(|_| true);
            }
            FaultKind::StoreGoesBack { back_ms } => {
                self.store_state.down = true;
                self.store_state
                    .select_snapshot(self.now, Duration::from_millis(*back_ms));
                self.store.lease_expiry_enabled = false;
                self.silence_watches(|_| true);
            }
            FaultKind::StoreLost { percent, late } => {
                self.store_state.lost_percent = *percent;
                self.store_state.late = *late;
            }
            FaultKind::WatchAnswersLost => self.store_state.loses_watch_answers = true,
            FaultKind::Compact => {
                self.store_state.watches_silent_until = self.now + COMPACTION_DELAY;
                self.store_state.disturbed = Some(self.now + COMPACTION_DELAY);
            }
            FaultKind::UpstreamCrash { upstream, dark } => self.crash(*upstream, *dark, duration),
            FaultKind::UpstreamRestart { upstream, dark } => {
                self.restart_upstream(*upstream, *dark, duration);
            }
            FaultKind::UpstreamDrain { upstream, abrupt } => self.drain(*upstream, *abrupt),
            FaultKind::UpstreamLeaves { upstream } => self.say_it_leaves(*upstream),
            FaultKind::UpstreamRests { upstream, rest_ms } => {
                self.upstream_state[*upstream].rest = Some(Duration::from_millis(*rest_ms));
            }
            FaultKind::UpstreamCut { upstream } => {
                self.upstream_state[*upstream].cut_since = Some(self.now);
            }
            FaultKind::UpstreamUnreachable { upstream, from } => {
                self.cut_links(*upstream, from.clone());
            }
            FaultKind::NodesPartitioned { nodes, mode } => {
                self.partition_nodes(nodes, *mode, duration);
            }
            FaultKind::UpstreamInNeed {
                upstream,
                rate_milli,
            } => {
                let rate = RequestRate::new(f64::from(*rate_milli) / 1e3);
                self.set_rate(*upstream, rate);
            }
            FaultKind::NodePowerLoss { node: chosen } => {
                if let Some(node) = chosen.or_else(|| self.granter()) {
                    self.nodes[node].boot += 1;
                    self.kill_node(node);
                    self.schedule(duration, Event::NodeStart { node });
                }
            }
            FaultKind::StandbyIsland { upstream } => {
                node = self.standby();
                if let Some(node) = node {
                    self.cut_off(node, *upstream);
                }
            }
            FaultKind::GranterIsland { upstream } => {
                node = self.granter();
                if let Some(node) = node {
                    self.cut_off(node, *upstream);
                }
            }
            FaultKind::ZoneEvacuation { zone } => self.evacuate(zone),
            FaultKind::OrdersLate { percent } => self.orders_late_percent = *percent,
            FaultKind::AnswersLost { percent } => self.answers_lost_percent = *percent,
            FaultKind::PoisonRequest { .. } => {
                self.schedule(Duration::ZERO, Event::PoisonClients { fault: index });
            }
            FaultKind::PopularRequest { .. } => {
                self.schedule(Duration::ZERO, Event::PopularClient { fault: index });
            }
            FaultKind::HotKey => self.hot_key = Some(ShardKey(self.random.random())),
            FaultKind::Configure => {
                if !self.store_state.down {
                    self.configure();
                }
            }
        }
        let kind = fault.kind;
        let duration = match kind {
            FaultKind::Compact => COMPACTION_DELAY,
            // A node that is stopping ends within its grace period.
            FaultKind::Stop { .. } => Duration::from_secs(4),
            _ => duration,
        };
        self.schedule(duration, Event::FaultEnds { kind, node });
    }

    fn cut_off(&mut self, node: usize, upstream: usize) {
        self.forget_retry_after(node);
        let slot = &mut self.nodes[node];
        slot.store_cut = true;
        slot.peer_cut = true;
        slot.disturbed = self.now;
        self.silence_watches(|waiting| waiting == node);
        let state = &mut self.upstream_state[upstream];
        state.reached_from = Some(node);
        state.cut_since = Some(self.now);
    }

    /// Discards the retry-after periods that a disturbed node received before.
    fn forget_retry_after(&mut self, node: usize) {
        let run = self.nodes[node].run;
        self.checkers.forget_retry_after(Sender { node, run });
    }

    fn cut_links(&mut self, upstream: usize, from: CutFrom) {
        let state = &mut self.upstream_state[upstream];
        if from == CutFrom::Everything {
            state.cut_since = Some(self.now);
        }
        state.unreached_from = Some(from);
    }

    fn kill_all(&mut self, duration: Duration) {
        let kept_until = self.store_state.keeps_until(self.now);
        self.checkers.forget_poison(kept_until);
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_none() {
                continue;
            }
            self.kill_node(node);
            let spread = self.millis(0, 500);
            self.schedule(duration / 4 + spread, Event::NodeStart { node });
        }
    }

    /// All nodes and the upstreams of a zone lose power.
    fn lose_power(&mut self, zone: usize, duration: Duration) {
        let kept_until = self.store_state.keeps_until(self.now);
        self.checkers.forget_poison(kept_until);
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_some() {
                self.nodes[node].boot += 1;
                self.kill_node(node);
                self.schedule(duration, Event::NodeStart { node });
            }
        }
        for index in (0..self.upstreams.len()).filter(|index| index % ZONES == zone) {
            self.crash(index, true, duration);
        }
    }

    pub(super) fn fault_ends(&mut self, kind: &FaultKind, node: Option<usize>) {
        self.event_log
            .add(self.now, || LoggedEvent::FaultEnded(kind.clone()));
        match kind {
            FaultKind::UpstreamLeaves { upstream } if self.store_state.down => {
                let kind = FaultKind::UpstreamLeaves {
                    upstream: *upstream,
                };
                self.schedule(STORE_RETRY, Event::FaultEnds { kind, node });
            }
            FaultKind::UpstreamLeaves { upstream } => self.drain(*upstream, false),
            FaultKind::UpstreamRests { upstream, .. } => self.upstream_state[*upstream].rest = None,
            FaultKind::StoreCut { .. } => {
                if let Some(node) = node {
                    self.nodes[node].store_cut = false;
                    self.nodes[node].disturbed = self.now;
                }
            }
            FaultKind::NodeSlow { .. } => {
                if let Some(node) = node {
                    self.nodes[node].order_cost = Duration::ZERO;
                }
            }
            FaultKind::PeerCut { node } => {
                self.nodes[*node].peer_cut = false;
                self.nodes[*node].peers_regained = self.now;
            }
            FaultKind::Stop { node } => {
                if self.nodes[*node].core.is_some() {
                    self.kill_node(*node);
                    self.schedule(Duration::from_millis(300), Event::NodeStart { node: *node });
                }
            }
            FaultKind::StoreGoesBack { .. } => self.roll_back_store(),
            FaultKind::StoreDown { lapse } => {
                self.store_state.down = false;
                self.store_state.disturbed = Some(self.now);
                if *lapse {
                    self.lapse_registrations();
                } else {
                    self.store.renew_all_leases(self.now);
                    self.store.lease_expiry_enabled = true;
                }
            }
            FaultKind::WatchAnswersLost => self.store_state.loses_watch_answers = false,
            FaultKind::StoreLost { .. } => {
                self.store_state.lost_percent = 0;
                self.store_state.disturbed = Some(self.now);
            }
            FaultKind::Compact => {
                self.store.compact();
                self.store_state.disturbed = Some(self.now);
            }
            FaultKind::UpstreamCut { upstream } => self.upstream_state[*upstream].cut_since = None,
            FaultKind::StandbyIsland { upstream } | FaultKind::GranterIsland { upstream } => {
                let state = &mut self.upstream_state[*upstream];
                state.reached_from = None;
                state.cut_since = None;
                state.healed_at = Some(self.now);
                if let Some(node) = node {
                    self.nodes[node].store_cut = false;
                    self.nodes[node].peer_cut = false;
                    self.nodes[node].disturbed = self.now;
                }
            }
            FaultKind::UpstreamUnreachable { upstream, .. } => {
                let state = &mut self.upstream_state[*upstream];
                state.unreached_from = None;
                state.cut_since = None;
                state.healed_at = Some(self.now);
            }
            FaultKind::NodesPartitioned { nodes, .. } => self.end_partition(nodes),
            FaultKind::UpstreamInNeed { upstream, .. } => self.set_rate(*upstream, None),
            FaultKind::ZoneEvacuation { zone } => self.end_evacuation(zone),
            FaultKind::OrdersLate { .. } => self.orders_late_percent = 0,
            FaultKind::AnswersLost { .. } => self.answers_lost_percent = 0,
            FaultKind::HotKey => self.hot_key = None,
            FaultKind::NodeKill { .. }
            | FaultKind::NodePowerLoss { .. }
            | FaultKind::KillAll
            | FaultKind::PowerLoss { .. }
            | FaultKind::NodeFreeze { .. }
            | FaultKind::NodeSuspend { .. }
            | FaultKind::UpstreamCrash { .. }
            | FaultKind::UpstreamRestart { .. }
            | FaultKind::UpstreamDrain { .. }
            | FaultKind::PoisonRequest { .. }
            | FaultKind::PopularRequest { .. }
            | FaultKind::Configure => {}
        }
    }
}
