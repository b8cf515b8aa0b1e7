//! Simulated nodes: their cores and the handling of their outputs.

use super::network::{DeferredInput, Event, Question, Run};
use super::processors::{Examined, Pending, Processor};
use super::{CONNECTED_AFTER, HEARTBEAT, PROCESSOR_SHARE, TICK, World, WorldConfig};
use crate::check::Sender;
use crate::check::{
    COLD_OVERAGE, COLD_SLACK, DRAIN_TIME, EVACUATION_TIME, QUOTA_OVERAGE, QUOTA_SLACK,
    QUOTA_WINDOW, REVOCATION_TIME,
};
use crate::event_log::LoggedEvent;
use crate::fault::UpstreamPartition;
use crate::guard::Guard;
use beamtray_dispatch::{AdmissionError, Conclusion, RefusalReason};
use beamtray_router::core::{
    CoreConfig, Datagram, GRANT_TIMEOUT, Input, NodeCore, OrderTask, Output,
};
use beamtray_router::settings::{
    BoundSettings, ListenSettings, NodeSettings, ProcessLimits, SETTINGS_VERSION, StoreSettings,
};
use beamtray_sharding::{GrantReply, GranterGuards};
use beamtray_types::Time;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const PEER_PORT: u16 = 7000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Percentage of datagrams that are lost.
const DATAGRAM_LOSS_PERCENT: u32 = 2;

/// State of a node across the runs of its process.
#[derive(Default)]
pub(crate) struct NodeSlot {
    pub core: Option<NodeCore>,
    pub run: Run,
    pub frozen: bool,
    pub store_cut: bool,
    pub peer_cut: bool,
    /// Time to send one order; zero unless the node is slow.
    pub order_cost: Duration,
    /// Time at which all queued orders have been sent.
    orders_given: Time,
    /// Total time for which its machine has been suspended.
    asleep: Duration,
    /// Start of the current suspension of its machine.
    suspended_at: Option<Time>,
    /// Inputs received while the process was paused.
    backlog: Vec<Input>,
    /// Time at which its process last resumed after a pause.
    pub thawed_at: Option<Time>,
    /// Boot count of its machine.
    pub boot: u64,
    /// Time of the node's last fault.
    pub disturbed: Time,
    /// Time at which it last regained contact with the other nodes.
    pub peers_regained: Time,
    pub next_ticket: u64,
    /// Set while it is partitioned from all upstreams.
    pub upstream_partition: Option<UpstreamPartition>,
    /// When such a partition last ended.
    pub partition_ended: Option<Time>,
    /// When each upstream last answered a request of this node over the node's own path.
    pub answered_at: BTreeMap<usize, Time>,
    pub processor: Processor,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    let [high, low] = (node as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), PEER_PORT))
}

pub(super) fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [10, 0, high, low] = address.ip().octets() else {
        return None;
    };
    usize::from(u16::from_be_bytes([high, low])).checked_sub(1)
}

/// Settings of a typical environment, so that the world runs with the router's own timing.
pub(crate) fn settings(node: usize) -> NodeSettings {
    let own = address(node);
    NodeSettings {
        version: SETTINGS_VERSION,
        node: format!("node-{node}"),
        zone: ZONES[node % ZONES.len()].to_owned(),
        zones: ZONES.map(str::to_owned).to_vec(),
        ip: own.ip(),
        first_start: false,
        listen: ListenSettings {
            clients: own,
            readiness: own,
            peers: own,
            metrics: None,
        },
        seeds: (0..3).map(address).collect(),
        store: StoreSettings {
            address: own,
            least_ttl_ms: 1_000,
        },
        bounds: BoundSettings {
            drain_ms: DRAIN_TIME.as_millis() as u64,
            contact_ms: CONNECTED_AFTER.as_millis() as u64,
            grace_s: 6.0,
            retry_ratio: 0.2,
            retry_allowance: 50.0,
            retry_window_s: 10.0,
            evacuate_ms: EVACUATION_TIME.as_millis() as u64,
            cold_overage: COLD_OVERAGE,
            cold_slack: COLD_SLACK,
            quota_window_s: QUOTA_WINDOW.as_secs_f64(),
            quota_overage: QUOTA_OVERAGE,
            quota_slack: QUOTA_SLACK,
            strict_revocation: false,
            revoke_ms: REVOCATION_TIME.as_millis() as u64,
            longest_hold_ms: 10_000,
            heartbeat_ms: HEARTBEAT.as_millis() as u64,
        },
        limits: ProcessLimits {
            processor_share: PROCESSOR_SHARE,
            memory_mb: 260,
            descriptors: 4_100,
            link_mbps: None,
        },
    }
}

/// The core's configuration in a world.
pub(crate) fn core_config(node: usize, run: Run, world: &WorldConfig) -> CoreConfig {
    let disabled_guard = world.disabled_guard;
    let mut settings = settings(node);
    settings.limits.processor_share = world.processor_share;
    let mut config = settings.core_config(run);
    config.dispatch.honors_rate_limits = disabled_guard != Some(Guard::NamedRates);
    config.dispatch.enforces_quotas = disabled_guard != Some(Guard::Quotas);
    config.dispatch.honors_backoff = disabled_guard != Some(Guard::Rests);
    config.dispatch.uses_gateways = disabled_guard != Some(Guard::Gateways);
    config.accept_leaving_notices = disabled_guard != Some(Guard::LeavingWords);
    config.dispatch.requires_proof_before_retry = disabled_guard != Some(Guard::ProofBeforeRepeat);
    config.share_suspicions = disabled_guard != Some(Guard::SuspicionsTold);
    config.control.persist_suspicions = disabled_guard != Some(Guard::SuspicionsKept);
    config.control.grants.guards = GranterGuards {
        records_first: disabled_guard != Some(Guard::RecordFirst),
        waits_for_lapse: disabled_guard != Some(Guard::LapseWait),
        respects_predecessor: disabled_guard != Some(Guard::PredecessorWait),
        counts_unanswered: disabled_guard != Some(Guard::UnansweredCounts),
        waits_for_standbys: disabled_guard != Some(Guard::StandbyWait),
        fences_lost_holders: disabled_guard != Some(Guard::LostHolderFence),
        renews_tokens: disabled_guard != Some(Guard::TokenRenewal),
        doubts_records: disabled_guard != Some(Guard::RecordDoubt),
        waits_for_doubt: disabled_guard != Some(Guard::DoubtWait),
        fences_all_upstreams: disabled_guard != Some(Guard::TermFence),
        suspends_renewals: disabled_guard != Some(Guard::RenewalWait),
        assumes_grants_in_flight: disabled_guard != Some(Guard::InFlightWait),
    };
    if disabled_guard == Some(Guard::ShortDoubt) {
        config.directory.reregistration_timeout = CONNECTED_AFTER * 3;
    }
    config
}

/// How far a node's clock lags after the given suspended time: not at all unless it uses the
/// monotonic clock.
fn clock_behind(asleep: Duration, disabled_guard: Option<Guard>) -> Duration {
    if disabled_guard == Some(Guard::BootClock) {
        asleep
    } else {
        Duration::ZERO
    }
}

impl NodeSlot {
    /// Whether the node's machine is suspended.
    pub fn is_suspended(&self) -> bool {
        self.suspended_at.is_some()
    }
}

impl World {
    pub(super) fn start_node(&mut self, node: usize) {
        let dialect = Rc::new(self.dialect.clone());
        let now = self.now;
        self.event_log.add(now, || LoggedEvent::NodeStarted(node));
        let slot = &mut self.nodes[node];
        slot.run += 1;
        let run = slot.run;
        // Run numbers must also differ between nodes.
        let config = core_config(node, run * 1_000 + node as u64, &self.config);
        slot.core = Some(NodeCore::new(config, dialect));
        slot.frozen = false;
        slot.disturbed = now;
        slot.backlog.clear();
        slot.processor = Processor::default();
        slot.asleep = Duration::ZERO;
        slot.suspended_at = None;
        self.schedule(TICK, Event::NodeTick { node, run });
    }

    /// Kills a node's process.
    pub(super) fn kill_node(&mut self, node: usize) {
        let now = self.now;
        self.event_log.add(now, || LoggedEvent::NodeEnded(node));
        let slot = &mut self.nodes[node];
        slot.core = None;
        slot.run += 1;
        slot.answered_at.clear();
        slot.disturbed = now;
        self.store_state.forget_node(node);
        self.forget_clients_of(node);
        self.close_tunnels_of(node);
    }

    pub(super) fn tick_node(&mut self, node: usize, run: Run) {
        let slot = &self.nodes[node];
        if slot.run != run {
            return;
        }
        if !self.nodes[node].frozen {
            self.input(node, run, Input::Tick);
        }
        let core = self.nodes[node].core.as_ref();
        let pause = core.map_or(TICK, |core| core.tick_interval(self.now));
        self.schedule(pause, Event::NodeTick { node, run });
    }

    pub(super) fn freeze(&mut self, node: usize, duration: Duration) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.core.is_none() || slot.frozen {
            return;
        }
        slot.frozen = true;
        slot.disturbed = now;
        let run = slot.run;
        self.checkers.forget_leaving_reports(Sender { node, run });
        self.checkers.forget_retry_after(Sender { node, run });
        self.schedule(duration, Event::Thaw { node, run });
    }

    /// Suspends a node's machine. To its process no time seems to have passed.
    pub(super) fn suspend(&mut self, node: usize, duration: Duration) {
        let now = self.now;
        if self.nodes[node].core.is_some() && !self.nodes[node].frozen {
            self.freeze(node, duration);
            self.nodes[node].suspended_at = Some(now);
        }
    }

    pub(super) fn thaw(&mut self, node: usize, run: Run) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.run != run {
            return;
        }
        slot.frozen = false;
        slot.thawed_at = Some(now);
        slot.disturbed = now;
        let backlog = std::mem::take(&mut slot.backlog);
        if let Some(since) = slot.suspended_at.take() {
            slot.asleep += now.since(since);
            self.input(node, run, Input::Resumed);
        }
        for input in backlog {
            self.input(node, run, input);
        }
    }

    /// Passes an input to a node's core if that run still exists, once its processor is free.
    pub(super) fn input(&mut self, node: usize, run: Run, input: Input) {
        let slot = &mut self.nodes[node];
        if slot.run == run && slot.processor.is_busy(self.now) {
            slot.processor.push(Pending::Input(input));
            return;
        }
        self.input_now(node, run, input);
    }

    /// Passes an input to a node's core if that run still exists.
    pub(super) fn input_now(&mut self, node: usize, run: Run, input: Input) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.run != run {
            return;
        }
        if slot.frozen {
            slot.backlog.push(input);
            return;
        }
        let asleep = slot.asleep;
        let Some(core) = &mut slot.core else {
            return;
        };
        let behind = clock_behind(asleep, self.config.disabled_guard);
        let before = Examined::by(core);
        let outputs = core.handle(now - behind, input);
        let examined = Examined::by(core).since(before);
        self.processed(node, run, examined);
        for output in outputs {
            self.output(node, run, output);
        }
    }

    fn output(&mut self, node: usize, run: Run, output: Output) {
        match output {
            Output::Deny(ticket, admission) => {
                let refused = matches!(
                    admission,
                    AdmissionError::NoConfiguration
                        | AdmissionError::KeyUnconfirmed
                        | AdmissionError::Overloaded
                );
                self.concluded(node, run, ticket, refused);
            }
            Output::Forward(ticket, mut forward) => {
                forward.deadline = self.by_world(node, forward.deadline);
                self.forward(node, run, ticket, forward);
            }
            Output::Conclude(ticket, ending) => {
                let refused = matches!(ending.conclusion, Conclusion::Refused { .. });
                self.concluded(node, run, ticket, refused);
                let is_quarantined = matches!(
                    ending.conclusion,
                    Conclusion::Refused {
                        reason: RefusalReason::Quarantined,
                        ..
                    }
                );
                self.quarantined_count += usize::from(is_quarantined);
            }
            Output::Store(task, call) => {
                let delay = self.millis(1, 3);
                self.schedule(
                    delay,
                    Event::StoreArrives {
                        node,
                        run,
                        task,
                        call,
                    },
                );
            }
            Output::Order(mut task, epoch) => {
                task.until = self.by_world(node, task.until);
                self.give_order(node, run, task, epoch);
            }
            Output::Send(datagram, addresses) => {
                if let Datagram::Suspicions(suspicions) = &datagram {
                    self.suspicion.suspicions_received += suspicions.len() * addresses.len();
                    self.note_remembered(node);
                }
                self.send(node, &datagram, &addresses);
            }
            Output::FetchSnapshots(address, request, wait) => {
                if let Some(to) = node_at(address) {
                    let delay = self.millis(1, 4);
                    self.schedule(
                        delay,
                        Event::AskArrives {
                            from: node,
                            run,
                            question: Question { to, request, wait },
                        },
                    );
                }
            }
            Output::ProbePath(target) => self.probe_path(node, run, target),
            Output::Probe(doubted, witnesses) => self.probe(node, run, doubted, &witnesses),
            Output::Quarantine(_) => {
                self.suspicion.log_lines += 1;
                self.note_remembered(node);
            }
            Output::Granter(epoch) => self
                .event_log
                .add(self.now, || LoggedEvent::Term { node, epoch }),
            Output::Ownership(_, notice) => self
                .event_log
                .add(self.now, || LoggedEvent::Ownership { node, notice }),
            Output::RateLimit(..)
            | Output::ClientLimits(_)
            | Output::ViewChanged(_)
            | Output::Path(_)
            | Output::SteppedDown { .. }
            | Output::StoreEra { .. }
            | Output::Standby(_) => {}
        }
    }

    /// Updates the maximum number of fingerprints remembered by a node.
    fn note_remembered(&mut self, node: usize) {
        let now = self.now;
        let Some(core) = &self.nodes[node].core else {
            return;
        };
        let (_, _, dispatcher) = core.inspect();
        let (suspected, _) = dispatcher.quarantine().counts(now);
        self.suspicion.peak_fingerprints = self.suspicion.peak_fingerprints.max(suspected);
    }

    /// Converts a reading of a node's clock to world time.
    fn by_world(&self, node: usize, time: Time) -> Time {
        time + clock_behind(self.nodes[node].asleep, self.config.disabled_guard)
    }

    /// Sends an order after the orders queued before it. An order whose response timeout or
    /// grant deadline expires before it is sent is dropped.
    fn give_order(&mut self, node: usize, run: Run, task: OrderTask, epoch: u64) {
        let now = self.now;
        self.event_log.add(now, || LoggedEvent::OrderSent {
            node,
            epoch,
            order: task.order.clone(),
        });
        let slot = &mut self.nodes[node];
        slot.orders_given = slot.orders_given.max(now) + slot.order_cost;
        let sent_after = slot.orders_given.since(now);
        let given_up = sent_after >= GRANT_TIMEOUT;
        if given_up || now + sent_after >= task.until {
            let after = sent_after.min(GRANT_TIMEOUT);
            let event = Event::OrderAnswers {
                node,
                run,
                service: task.service,
                order: task.order,
                epoch,
                reply: GrantReply::Undelivered,
            };
            return self.schedule(after, event);
        }
        let delay = sent_after + self.millis(1, 3);
        self.schedule(
            delay,
            Event::OrderArrives {
                node,
                run,
                task,
                epoch,
            },
        );
    }

    fn send(&mut self, from: usize, datagram: &Datagram, addresses: &[SocketAddr]) {
        for to in addresses.iter().filter_map(|address| node_at(*address)) {
            if self.chance(DATAGRAM_LOSS_PERCENT) || to >= self.nodes.len() {
                continue;
            }
            let delay = self.millis(1, 3);
            let datagram = datagram.clone();
            self.schedule(delay, Event::DatagramArrives { from, to, datagram });
        }
    }

    pub(super) fn is_linked(&self, one: usize, other: usize) -> bool {
        !self.nodes[one].peer_cut && !self.nodes[other].peer_cut
    }

    pub(super) fn datagram_arrives(&mut self, from: usize, to: usize, datagram: Datagram) {
        // A paused process loses datagrams that do not fit into its receive buffer.
        if self.is_linked(from, to) && !self.nodes[to].frozen {
            let run = self.nodes[to].run;
            self.input(to, run, Input::Datagram(address(from), datagram));
        }
    }

    pub(super) fn ask_arrives(&mut self, from: usize, run: Run, question: Question) {
        let Question { to, request, wait } = question;
        let reachable = to < self.nodes.len() && self.is_linked(from, to) && !self.nodes[to].frozen;
        let core = self.nodes.get(to).and_then(|slot| slot.core.as_ref());
        let (delay, input) = match core.filter(|_| reachable) {
            Some(core) => {
                let snapshots = core.answer(&request);
                (None, DeferredInput::Snapshots(address(to), snapshots))
            }
            None => (Some(wait), DeferredInput::NotAnswered(address(to))),
        };
        let delay = delay.unwrap_or_else(|| self.millis(1, 4));
        let node = from;
        let input = Box::new(input);
        self.schedule(delay, Event::Deliver { node, run, input });
    }

    /// The node that is the granter.
    pub(super) fn granter(&self) -> Option<usize> {
        let now = self.now;
        self.nodes.iter().position(|slot| {
            let core = slot.core.as_ref();
            core.is_some_and(|core| core.inspect().1.is_granter(now))
        })
    }

    /// A node that the newest record names as a standby.
    pub(super) fn standby(&self) -> Option<usize> {
        let granter = self.granter()?;
        let core = self.nodes[granter].core.as_ref()?;
        let assignment = core.inspect().0.assignments.values().next()?;
        let named = assignment.standbys().iter();
        named
            .filter_map(|id| node_at(id.address))
            .find(|node| *node != granter)
    }

    /// Whether invariants with a time bound apply to the node.
    pub(super) fn is_connected(&self, node: usize) -> bool {
        let slot = &self.nodes[node];
        let has_peers = !slot.peer_cut && self.now.since(slot.peers_regained) >= CONNECTED_AFTER;
        has_peers && self.reaches_store(node)
    }

    /// Like `is_connected`, for invariants that also apply to nodes partitioned from each
    /// other.
    pub(super) fn reaches_store(&self, node: usize) -> bool {
        let slot = &self.nodes[node];
        let undisturbed = self.now.since(slot.disturbed) >= CONNECTED_AFTER;
        undisturbed && slot.core.is_some() && !slot.frozen && !slot.store_cut
    }
}
