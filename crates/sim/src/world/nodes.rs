//! Node processes: the production actor and the process faults.

use super::{SimEvent, World};
use crate::record::Record;
use beamtray_actor::{NodeActor, ProcessClock, TICK_INTERVAL};
use beamtray_control::{ControlConfig, Input, NodeCore, Output, PeerInfo, PeerMessage};
use beamtray_types::{GroupId, Incarnation, Member, NodeId, Zone};
use rand::RngExt;
use stakker::{ActorOwn, Fwd, actor, call, ret_nop};
use std::cell::Cell;
use std::rc::Rc;

const STOP_MILLIS: u64 = 8_000;
/// Maximum deviation of a clock's rate. The rates of two clocks differ by at most
/// twice this value, which is below the drift that the protocol timing tolerates.
const MAX_DEVIATION_PPM: i64 = 9_000;
const RESET_MICROS: u64 = 1_000;

/// State of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    /// Will be suspended in the middle of its next step, until the given time.
    Suspending(u64),
    Suspended,
    Dead,
}

/// A node's process.
pub(crate) struct SimNode {
    pub(crate) zone: usize,
    pub(crate) run: u64,
    pub(crate) member: Member,
    pub(crate) state: ProcessState,
    actor: Option<ActorOwn<NodeActor>>,
    held_inputs: Vec<Input>,
    held_outputs: Vec<Output>,
    deviation_ppm: i64,
    pub(crate) next_request: u64,
    pub(crate) stops: bool,
}

impl World {
    pub(crate) fn start_nodes(&mut self) {
        for index in 0..self.scenario.nodes {
            let zone = index % self.scenario.zones;
            let deviation_ppm = self
                .rng
                .random_range(-MAX_DEVIATION_PPM..=MAX_DEVIATION_PPM);
            self.nodes.push(SimNode {
                zone,
                run: 0,
                member: Member {
                    node: node_id(index),
                    incarnation: Incarnation(0),
                },
                state: ProcessState::Dead,
                actor: None,
                held_inputs: Vec::new(),
                held_outputs: Vec::new(),
                deviation_ppm,
                next_request: 0,
                stops: false,
            });
        }
        for index in 0..self.scenario.nodes {
            self.start_node(index);
        }
    }

    fn start_node(&mut self, index: usize) {
        let incarnation = Incarnation(self.next_incarnation);
        self.next_incarnation += 1;
        let seed = self.rng.random();
        let me = Member {
            node: node_id(index),
            incarnation,
        };
        let config = self.control_config(index, me, seed);
        let clock = ProcessClock {
            epoch: self.instant(),
            deviation_ppm: self.nodes[index].deviation_ppm,
        };
        let sink = Rc::clone(&self.sink);
        let run = self.nodes[index].run + 1;
        let outputs = Fwd::new(move |output| sink.borrow_mut().push((index, run, output)));
        let now = self.instant();
        self.stakker.run(now, false);
        let stakker = &mut self.stakker;
        let actor = actor!(stakker, NodeActor::init(config, clock, outputs), ret_nop!());
        let node = &mut self.nodes[index];
        node.run = run;
        node.member = me;
        node.state = ProcessState::Running;
        node.stops = false;
        node.actor = Some(actor);
        node.held_inputs.clear();
        node.held_outputs.clear();
        let first = self.rng.random_range(0..TICK_INTERVAL.as_micros() as u64);
        self.after(first, SimEvent::Tick { node: index, run });
    }

    fn control_config(&self, index: usize, me: Member, seed: u64) -> ControlConfig {
        let peers = (0..self.scenario.nodes)
            .filter(|other| *other != index)
            .map(|other| PeerInfo {
                node: node_id(other),
                zone: zone_name(self.nodes[other].zone),
            })
            .collect();
        ControlConfig {
            me,
            group: GroupId(0),
            zone: zone_name(self.nodes[index].zone),
            peers,
            voters: 3,
            timing: self.scenario.timing,
            stop_millis: STOP_MILLIS,
            seed,
            policy: self.scenario.policy,
            guards: self.scenario.guards.control,
        }
    }

    pub(crate) fn tick_node(&mut self, node: usize, run: u64) {
        if self.nodes[node].run != run || self.nodes[node].state == ProcessState::Dead {
            return;
        }
        self.after(
            TICK_INTERVAL.as_micros() as u64,
            SimEvent::Tick { node, run },
        );
        if self.nodes[node].state != ProcessState::Suspended {
            self.input(node, Input::Tick);
        }
    }

    /// Delivers an input to a node: immediately, on resumption if the node is
    /// suspended, or never if it is dead.
    pub(crate) fn input(&mut self, index: usize, input: Input) {
        match self.nodes[index].state {
            ProcessState::Dead => {}
            ProcessState::Suspended => self.nodes[index].held_inputs.push(input),
            ProcessState::Running => {
                let outputs = self.step(index, input);
                self.carry_out(index, outputs);
            }
            ProcessState::Suspending(until) => {
                let outputs = self.step(index, input);
                let node = &mut self.nodes[index];
                node.held_outputs = outputs;
                node.state = ProcessState::Suspended;
                let run = node.run;
                self.at(until, SimEvent::ResumeNode { node: index, run });
            }
        }
    }

    fn step(&mut self, index: usize, input: Input) -> Vec<Output> {
        let now = self.instant();
        let Some(actor) = &self.nodes[index].actor else {
            return Vec::new();
        };
        let started = self.meter.on.then(std::time::Instant::now);
        let stakker = &mut self.stakker;
        // Advances the clock before the call is queued, so that the actor sees the
        // current time.
        stakker.run(now, false);
        call!([actor, stakker], input(input));
        stakker.run(now, false);
        if let Some(started) = started {
            self.meter.step(index, started.elapsed());
        }
        let outputs = std::mem::take(&mut *self.sink.borrow_mut());
        outputs.into_iter().map(|(_, _, output)| output).collect()
    }

    fn carry_out(&mut self, index: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.carry_out_one(index, output);
        }
    }

    fn carry_out_one(&mut self, index: usize, output: Output) {
        match output {
            Output::Peer { to, message } => self.send_peer(index, to.0 as usize - 1, message),
            Output::Answer { id, answer } => self.on_answer(index, id, answer),
            Output::Call {
                call,
                address,
                forward,
                timeout,
            } => self.begin_exchange(index, call, address, forward, timeout),
            Output::Grant(grant) => self.send_grant(index, grant),
            Output::KeyValue { call, request } => self.send_key_value(index, call, request),
            Output::ReadMachines => self.read_machines(index),
            Output::OperatorAnswer { call, answer } => self.on_operator_answer(call, answer),
            Output::Log(event) => {
                if self.verbose {
                    println!("{:>10} node {index} {event:?}", self.now);
                }
            }
            Output::Stopped { .. } => self.end_node(index, true),
        }
    }

    fn send_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        let (from_zone, to_zone) = (self.nodes[from].zone, self.nodes[to].zone);
        let copies = self
            .network
            .copies(&mut self.rng, self.now, from_zone, to_zone);
        if self.nodes[to].state == ProcessState::Dead {
            if let Some(delay) = copies.first() {
                let to = node_id(to);
                let run = self.nodes[from].run;
                let input = Input::Unsent { to, message };
                let node = from;
                self.after(2 * delay, SimEvent::ToNode { node, run, input });
            }
            return;
        }
        let sender = from;
        let from = self.nodes[from].member;
        if !copies.is_empty() {
            self.meter.peer(sender, to, from, &message);
        }
        for delay in copies {
            let message = message.clone();
            self.after(delay, SimEvent::Peer { from, to, message });
        }
    }

    /// Ends a node's process and breaks its connections.
    pub(crate) fn end_node(&mut self, index: usize, planned: bool) {
        if self.nodes[index].state == ProcessState::Dead {
            return;
        }
        let run = self.nodes[index].run;
        self.nodes[index].state = ProcessState::Dead;
        self.nodes[index].actor = None;
        self.record(Record::NodeEnded {
            node: index,
            run,
            planned,
        });
        self.drop_callers_of(index);
        for other in 0..self.nodes.len() {
            if other == index {
                continue;
            }
            let node = node_id(index);
            let event = SimEvent::ToNode {
                node: other,
                run: self.nodes[other].run,
                input: Input::PeerLost { node },
            };
            self.after(RESET_MICROS, event);
        }
    }

    pub(crate) fn restart_node(&mut self, index: usize) {
        if self.nodes[index].state == ProcessState::Dead {
            self.start_node(index);
        }
    }

    pub(crate) fn resume_node(&mut self, index: usize, run: u64) {
        let node = &mut self.nodes[index];
        if node.run != run || node.state != ProcessState::Suspended {
            return;
        }
        node.state = ProcessState::Running;
        let outputs = std::mem::take(&mut node.held_outputs);
        let inputs = std::mem::take(&mut node.held_inputs);
        self.carry_out(index, outputs);
        for input in inputs {
            self.input(index, input);
        }
    }

    /// Reads a node's core. Used to select fault targets, never by a checker.
    pub(crate) fn inspect<T: Copy + 'static>(
        &mut self,
        index: usize,
        look: impl FnOnce(&NodeCore) -> T + 'static,
    ) -> Option<T> {
        let actor = self.nodes[index].actor.as_ref()?;
        let found = Rc::new(Cell::new(None));
        let seen = Rc::clone(&found);
        let look: Box<dyn FnOnce(&NodeCore)> = Box::new(move |core| seen.set(Some(look(core))));
        let now = self.epoch + std::time::Duration::from_micros(self.now);
        let stakker = &mut self.stakker;
        call!([actor, stakker], inspect(look));
        stakker.run(now, false);
        found.get()
    }

    pub(crate) fn leader(&mut self) -> Option<usize> {
        (0..self.nodes.len()).find(|index| {
            self.nodes[*index].state == ProcessState::Running
                && self.inspect(*index, NodeCore::is_leader) == Some(true)
        })
    }
}

/// Returns the ID of the node at an index.
pub(crate) fn node_id(index: usize) -> NodeId {
    NodeId(index as u32 + 1)
}

fn zone_name(zone: usize) -> Zone {
    Zone(format!("zone-{zone}"))
}
