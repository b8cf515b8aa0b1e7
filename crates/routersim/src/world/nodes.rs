//! Nodes: their cores, and what becomes of their outputs.

use super::network::{DeferredInput, Event, Run};
use super::{CONTACT, TICK, World};
use crate::guard::Guard;
use beamtray_catalog::DirectoryPolicy;
use beamtray_dispatch::{Admission, BudgetConfig, Conclusion, DispatchConfig};
use beamtray_metastore::LeaseTiming;
use beamtray_router::core::{
    ControlConfig, CoreConfig, Datagram, Input, NodeCore, NodeRecord, Output, Timing, ViewRequest,
};
use beamtray_sharding::{BalanceLimits, GranterGuards, GranterTiming};
use beamtray_types::Time;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const PEER_PORT: u16 = 7000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Part of the datagrams that get lost, in percent.
const DATAGRAMS_LOST: u32 = 2;

/// A node's place; the process in it comes and goes.
#[derive(Default)]
pub(crate) struct NodeSlot {
    pub core: Option<NodeCore>,
    pub run: Run,
    pub frozen: bool,
    pub store_cut: bool,
    pub peer_cut: bool,
    /// Inputs that came while the process stood still.
    backlog: Vec<Input>,
    /// When the node was last disturbed.
    pub disturbed: Time,
    pub next_ticket: u64,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, node as u8 + 1), PEER_PORT))
}

fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [10, 0, 0, last] = address.ip().octets() else {
        return None;
    };
    usize::from(last).checked_sub(1)
}

/// The product's own timing, as its settings make it of a usual environment.
pub(crate) fn core_config(node: usize, run: Run, off: Option<Guard>) -> CoreConfig {
    let name = format!("node-{node}");
    let zone = ZONES[node % ZONES.len()];
    let hold = Duration::from_secs(8);
    CoreConfig {
        dispatch: DispatchConfig {
            node: name.clone(),
            run,
            zone: zone.into(),
            budget: BudgetConfig {
                ratio: 0.2,
                allowance: 50.0,
                window: Duration::from_secs(10),
            },
            queue_limit: 2_000,
            most_queued: 6,
            zone_cost: Duration::from_millis(80),
            leaver_grace: Duration::from_millis(1_333),
            proves_before_repeat: off != Some(Guard::ProofBeforeRepeat),
        },
        control: ControlConfig {
            record: NodeRecord {
                name,
                run,
                zone: zone.to_owned(),
                peers: address(node),
            },
            node_lease: LeaseTiming {
                ttl: Duration::from_secs(6),
                renewal: Duration::from_millis(2_200),
            },
            granter_lease: LeaseTiming {
                ttl: Duration::from_secs(2),
                renewal: Duration::from_millis(500),
            },
            patience: Duration::from_millis(20 + 30 * node as u64),
            grants: GranterTiming {
                hold,
                renewal: Duration::from_secs(2),
                hold_bound: hold * 102 / 100,
                transit: Duration::from_millis(300),
                silence: Duration::from_millis(1_500),
                settle: Duration::from_millis(1_300),
                notice: Duration::from_millis(12),
                guards: GranterGuards {
                    records_first: off != Some(Guard::RecordFirst),
                    waits_for_lapse: off != Some(Guard::LapseWait),
                    respects_predecessor: off != Some(Guard::PredecessorWait),
                    counts_unanswered: off != Some(Guard::UnansweredCounts),
                },
            },
            balance: BalanceLimits {
                moves: 8,
                busy: 0.45,
                difference: 0.3,
                least_requests: 2.0,
                rest: Duration::from_millis(700),
                window: 1.8,
            },
        },
        directory: DirectoryPolicy {
            distrust: CONTACT / 6,
            patience: match off {
                Some(Guard::ShortDoubt) => CONTACT * 3,
                _ => CONTACT * 53 / 100,
            },
        },
        watch_wait: Duration::from_secs(8),
        seeds: (0..3).map(address).collect(),
        timing: Timing::default(),
    }
}

impl World {
    pub(super) fn start_node(&mut self, node: usize) {
        let dialect = Rc::new(self.dialect.clone());
        let now = self.now;
        let slot = &mut self.nodes[node];
        slot.run += 1;
        let run = slot.run;
        // Runs of different nodes must differ too.
        let config = core_config(node, run * 1_000 + node as u64, self.config.off);
        slot.core = Some(NodeCore::new(config, dialect));
        slot.frozen = false;
        slot.disturbed = now;
        slot.backlog.clear();
        self.schedule(TICK, Event::NodeTick { node, run });
    }

    /// Ends a node's process without a word.
    pub(super) fn kill_node(&mut self, node: usize) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        slot.core = None;
        slot.run += 1;
        slot.disturbed = now;
        self.store_state.forget_node(node);
        self.forget_clients_of(node);
    }

    pub(super) fn tick_node(&mut self, node: usize, run: Run) {
        let slot = &self.nodes[node];
        if slot.run != run {
            return;
        }
        self.schedule(TICK, Event::NodeTick { node, run });
        if !self.nodes[node].frozen {
            self.input(node, run, Input::Tick);
        }
    }

    pub(super) fn freeze(&mut self, node: usize, lasts: Duration) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.core.is_none() || slot.frozen {
            return;
        }
        slot.frozen = true;
        slot.disturbed = now;
        let run = slot.run;
        self.schedule(lasts, Event::Thaw { node, run });
    }

    pub(super) fn thaw(&mut self, node: usize, run: Run) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.run != run {
            return;
        }
        slot.frozen = false;
        slot.disturbed = now;
        let backlog = std::mem::take(&mut slot.backlog);
        for input in backlog {
            self.input(node, run, input);
        }
    }

    /// Hands an input to a node's core, if that run is still there.
    pub(super) fn input(&mut self, node: usize, run: Run, input: Input) {
        let now = self.now;
        let slot = &mut self.nodes[node];
        if slot.run != run {
            return;
        }
        if slot.frozen {
            slot.backlog.push(input);
            return;
        }
        let Some(core) = &mut slot.core else {
            return;
        };
        let outputs = core.handle(now, input);
        for output in outputs {
            self.output(node, run, output);
        }
    }

    fn output(&mut self, node: usize, run: Run, output: Output) {
        match output {
            Output::Deny(ticket, admission) => {
                let refused = matches!(
                    admission,
                    Admission::NoConfiguration | Admission::Overloaded
                );
                self.concluded(node, run, ticket, refused);
            }
            Output::Forward(ticket, forward) => self.forward(node, run, ticket, forward),
            Output::Conclude(ticket, ending) => {
                let refused = matches!(ending.conclusion, Conclusion::Refused { .. });
                self.concluded(node, run, ticket, refused);
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
            Output::Order(task, epoch) => {
                if self.now < task.until {
                    let delay = self.millis(1, 3);
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
            }
            Output::Send(datagram, addresses) => self.send(node, &datagram, &addresses),
            Output::Ask(address, request) => {
                if let Some(to) = node_at(address) {
                    let delay = self.millis(1, 4);
                    self.schedule(
                        delay,
                        Event::AskArrives {
                            from: node,
                            run,
                            to,
                            request,
                        },
                    );
                }
            }
            Output::Limits(_) | Output::Notice(_) | Output::Granter(_) => {}
        }
    }

    fn send(&mut self, from: usize, datagram: &Datagram, addresses: &[SocketAddr]) {
        for to in addresses.iter().filter_map(|address| node_at(*address)) {
            if self.chance(DATAGRAMS_LOST) || to >= self.nodes.len() {
                continue;
            }
            let delay = self.millis(1, 3);
            let datagram = datagram.clone();
            self.schedule(delay, Event::DatagramArrives { from, to, datagram });
        }
    }

    fn is_linked(&self, one: usize, other: usize) -> bool {
        !self.nodes[one].peer_cut && !self.nodes[other].peer_cut
    }

    pub(super) fn datagram_arrives(&mut self, from: usize, to: usize, datagram: Datagram) {
        // A process that stands still loses what does not fit its buffer.
        if self.is_linked(from, to) && !self.nodes[to].frozen {
            let run = self.nodes[to].run;
            self.input(to, run, Input::Datagram(address(from), datagram));
        }
    }

    pub(super) fn ask_arrives(&mut self, from: usize, run: Run, to: usize, request: &ViewRequest) {
        if to >= self.nodes.len() || !self.is_linked(from, to) || self.nodes[to].frozen {
            return;
        }
        let Some(core) = &self.nodes[to].core else {
            return;
        };
        let input = Box::new(DeferredInput::Snapshots(core.answer(request)));
        let delay = self.millis(1, 4);
        let node = from;
        self.schedule(delay, Event::Deliver { node, run, input });
    }

    /// The node that has the right to grant.
    pub(super) fn granter(&self) -> Option<usize> {
        let now = self.now;
        self.nodes.iter().position(|slot| {
            let core = slot.core.as_ref();
            core.is_some_and(|core| core.inspect().1.is_granter(now))
        })
    }

    /// Whether promises with a time bound hold for the node.
    pub(super) fn is_connected(&self, node: usize) -> bool {
        let slot = &self.nodes[node];
        let undisturbed = self.now.since(slot.disturbed) >= CONTACT;
        undisturbed && slot.core.is_some() && !slot.frozen && !slot.store_cut && !slot.peer_cut
    }
}
