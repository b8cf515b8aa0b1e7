//! Faults begin and end.

use super::World;
use super::network::Event;
use crate::check::Sender;
use crate::fault::{CutFrom, Trouble};
use beamtray_catalog::RequestRate;
use beamtray_sharding::ShardKey;
use rand::RngExt;
use std::time::Duration;

/// How long watches hear nothing before the history goes.
const DEAF: Duration = Duration::from_secs(1);
/// Pause after which an upstream tries again to tell the store that it leaves.
const STORE_RETRY: Duration = Duration::from_millis(200);

impl World {
    pub(super) fn fault(&mut self, index: usize) {
        let fault = self.faults[index].clone();
        let lasts = fault.lasts;
        let mut node = None;
        match &fault.trouble {
            Trouble::NodeKill { node: chosen } => {
                let node = chosen.or_else(|| self.granter());
                if let Some(node) = node.filter(|node| self.nodes[*node].core.is_some()) {
                    self.kill_node(node);
                    self.schedule(lasts, Event::NodeStart { node });
                }
            }
            Trouble::KillAll => self.kill_all(lasts),
            Trouble::NodeFreeze { node: chosen } => {
                if let Some(node) = chosen.or_else(|| self.granter()) {
                    self.freeze(node, lasts);
                }
            }
            Trouble::NodeSuspend { node: chosen } => {
                if let Some(node) = chosen.or_else(|| self.granter()) {
                    self.suspend(node, lasts);
                }
            }
            Trouble::NodeSlow {
                node: chosen,
                order_ms,
            } => {
                node = chosen.or_else(|| self.granter());
                if let Some(node) = node {
                    self.nodes[node].order_cost = Duration::from_millis(*order_ms);
                }
            }
            Trouble::StoreCut { node: chosen } => {
                node = chosen.or_else(|| self.granter());
                if let Some(node) = node {
                    self.nodes[node].store_cut = true;
                    self.nodes[node].disturbed = self.now;
                    self.forget_rests(node);
                    self.silence_watches(|waiting| waiting == node);
                }
            }
            Trouble::PeerCut { node } => {
                self.nodes[*node].peer_cut = true;
                self.forget_rests(*node);
            }
            Trouble::Stop { node } => {
                if self.nodes[*node].core.is_some() {
                    let run = self.nodes[*node].run;
                    self.nodes[*node].disturbed = self.now;
                    self.input(*node, run, beamtray_router::core::Input::Stop);
                }
            }
            Trouble::StoreDown { lapse } => {
                self.store_state.down = true;
                self.store.lease_expiry_enabled = *lapse;
                self.silence_watches(|_| true);
            }
            Trouble::StoreGoesBack { back_ms } => {
                self.store_state.down = true;
                self.store_state
                    .keep_copy(self.now, Duration::from_millis(*back_ms));
                self.store.lease_expiry_enabled = false;
                self.silence_watches(|_| true);
            }
            Trouble::StoreLost { percent, late } => {
                self.store_state.lost_percent = *percent;
                self.store_state.late = *late;
            }
            Trouble::Compact => {
                self.store_state.deaf_until = self.now + DEAF;
                self.store_state.disturbed = Some(self.now + DEAF);
            }
            Trouble::UpstreamCrash { upstream, dark } => self.crash(*upstream, *dark, lasts),
            Trouble::UpstreamRestart { upstream, dark } => {
                self.restart_upstream(*upstream, *dark, lasts);
            }
            Trouble::UpstreamDrain { upstream, abrupt } => self.drain(*upstream, *abrupt),
            Trouble::UpstreamLeaves { upstream } => self.say_it_leaves(*upstream),
            Trouble::UpstreamRests { upstream, rest_ms } => {
                self.upstream_state[*upstream].rest = Some(Duration::from_millis(*rest_ms));
            }
            Trouble::UpstreamCut { upstream } => {
                self.upstream_state[*upstream].cut_since = Some(self.now);
            }
            Trouble::UpstreamUnreachable { upstream, from } => {
                self.cut_links(*upstream, from.clone());
            }
            Trouble::UpstreamInNeed {
                upstream,
                rate_milli,
            } => {
                let rate = RequestRate::new(f64::from(*rate_milli) / 1e3);
                self.set_rate(*upstream, rate);
            }
            Trouble::NodePowerLoss { node: chosen } => {
                if let Some(node) = chosen.or_else(|| self.granter()) {
                    self.nodes[node].boot += 1;
                    self.kill_node(node);
                    self.schedule(lasts, Event::NodeStart { node });
                }
            }
            Trouble::StandbyIsland { upstream } => {
                node = self.standby();
                if let Some(node) = node {
                    self.cut_off(node, *upstream);
                }
            }
            Trouble::GranterIsland { upstream } => {
                node = self.granter();
                if let Some(node) = node {
                    self.cut_off(node, *upstream);
                }
            }
            Trouble::ZoneEvacuation { zone } => self.evacuate(zone),
            Trouble::OrdersLate { percent } => self.orders_late_percent = *percent,
            Trouble::AnswersLost { percent } => self.answers_lost_percent = *percent,
            Trouble::PoisonRequest { .. } => {
                self.schedule(Duration::ZERO, Event::PoisonClients { fault: index });
            }
            Trouble::PopularRequest { .. } => {
                self.schedule(Duration::ZERO, Event::PopularClient { fault: index });
            }
            Trouble::HotKey => self.hot_key = Some(ShardKey(self.random.random())),
            Trouble::Configure => {
                if !self.store_state.down {
                    self.configure();
                }
            }
        }
        let trouble = fault.trouble;
        let lasts = match trouble {
            Trouble::Compact => DEAF,
            // A node that was told to stop ends within its grace.
            Trouble::Stop { .. } => Duration::from_secs(4),
            _ => lasts,
        };
        self.schedule(lasts, Event::FaultEnds { trouble, node });
    }

    fn cut_off(&mut self, node: usize, upstream: usize) {
        self.forget_rests(node);
        let slot = &mut self.nodes[node];
        slot.store_cut = true;
        slot.peer_cut = true;
        slot.disturbed = self.now;
        self.silence_watches(|waiting| waiting == node);
        let state = &mut self.upstream_state[upstream];
        state.reached_from = Some(node);
        state.cut_since = Some(self.now);
    }

    /// A node is disturbed: the rests that it was asked for before don't count.
    fn forget_rests(&mut self, node: usize) {
        let run = self.nodes[node].run;
        self.checkers.forget_rests(Sender { node, run });
    }

    fn cut_links(&mut self, upstream: usize, from: CutFrom) {
        let state = &mut self.upstream_state[upstream];
        if from == CutFrom::Everything {
            state.cut_since = Some(self.now);
        }
        state.unreached_from = Some(from);
    }

    fn kill_all(&mut self, lasts: Duration) {
        let kept_until = self.store_state.keeps_until(self.now);
        self.checkers.poison_forgotten(kept_until);
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_none() {
                continue;
            }
            self.kill_node(node);
            let spread = self.millis(0, 500);
            self.schedule(lasts / 4 + spread, Event::NodeStart { node });
        }
    }

    pub(super) fn fault_ends(&mut self, trouble: &Trouble, node: Option<usize>) {
        match trouble {
            Trouble::UpstreamLeaves { upstream } if self.store_state.down => {
                let trouble = Trouble::UpstreamLeaves {
                    upstream: *upstream,
                };
                self.schedule(STORE_RETRY, Event::FaultEnds { trouble, node });
            }
            Trouble::UpstreamLeaves { upstream } => self.drain(*upstream, false),
            Trouble::UpstreamRests { upstream, .. } => self.upstream_state[*upstream].rest = None,
            Trouble::StoreCut { .. } => {
                if let Some(node) = node {
                    self.nodes[node].store_cut = false;
                    self.nodes[node].disturbed = self.now;
                }
            }
            Trouble::NodeSlow { .. } => {
                if let Some(node) = node {
                    self.nodes[node].order_cost = Duration::ZERO;
                }
            }
            Trouble::PeerCut { node } => {
                self.nodes[*node].peer_cut = false;
                self.nodes[*node].peers_regained = self.now;
            }
            Trouble::Stop { node } => {
                if self.nodes[*node].core.is_some() {
                    self.kill_node(*node);
                    self.schedule(Duration::from_millis(300), Event::NodeStart { node: *node });
                }
            }
            Trouble::StoreGoesBack { .. } => self.store_goes_back(),
            Trouble::StoreDown { lapse } => {
                self.store_state.down = false;
                self.store_state.disturbed = Some(self.now);
                if *lapse {
                    self.lapse_registrations();
                } else {
                    self.store.renew_all_leases(self.now);
                    self.store.lease_expiry_enabled = true;
                }
            }
            Trouble::StoreLost { .. } => {
                self.store_state.lost_percent = 0;
                self.store_state.disturbed = Some(self.now);
            }
            Trouble::Compact => {
                self.store.compact();
                self.store_state.disturbed = Some(self.now);
            }
            Trouble::UpstreamCut { upstream } => self.upstream_state[*upstream].cut_since = None,
            Trouble::StandbyIsland { upstream } | Trouble::GranterIsland { upstream } => {
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
            Trouble::UpstreamUnreachable { upstream, .. } => {
                let state = &mut self.upstream_state[*upstream];
                state.unreached_from = None;
                state.cut_since = None;
                state.healed_at = Some(self.now);
            }
            Trouble::UpstreamInNeed { upstream, .. } => self.set_rate(*upstream, None),
            Trouble::ZoneEvacuation { zone } => self.end_evacuation(zone),
            Trouble::OrdersLate { .. } => self.orders_late_percent = 0,
            Trouble::AnswersLost { .. } => self.answers_lost_percent = 0,
            Trouble::HotKey => self.hot_key = None,
            Trouble::NodeKill { .. }
            | Trouble::NodePowerLoss { .. }
            | Trouble::KillAll
            | Trouble::NodeFreeze { .. }
            | Trouble::NodeSuspend { .. }
            | Trouble::UpstreamCrash { .. }
            | Trouble::UpstreamRestart { .. }
            | Trouble::UpstreamDrain { .. }
            | Trouble::PoisonRequest { .. }
            | Trouble::PopularRequest { .. }
            | Trouble::Configure => {}
        }
    }
}
