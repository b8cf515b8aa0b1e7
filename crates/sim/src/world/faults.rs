//! Fault injection.

use super::callers::HotKeys;
use super::nodes::{ProcessState, node_id};
use super::{SimEvent, World};
use crate::fault::{Fault, ScheduledFault};
use crate::record::Record;
use beamtray_control::Input;
use beamtray_keyvalue::{MachineState, machine_name};
use beamtray_standin::KeyValueFaults;
use beamtray_types::Time;

/// Returns when a fault ends, in milliseconds.
pub(crate) fn end_millis(scheduled: &ScheduledFault) -> u64 {
    let lasts = match &scheduled.fault {
        Fault::KillNode { restart_millis, .. } | Fault::KillServer { restart_millis, .. } => {
            restart_millis.unwrap_or(2_000)
        }
        Fault::StopNode { restart_millis, .. } => restart_millis + 8_000,
        Fault::KillAllNodes { restart_millis }
        | Fault::KillLeaderAndOwner { restart_millis, .. } => *restart_millis,
        Fault::PauseNode { millis, .. }
        | Fault::PauseLeader { millis, .. }
        | Fault::PauseServer { millis, .. }
        | Fault::ReplaceServer { millis, .. }
        | Fault::PauseOwner { millis, .. }
        | Fault::CutZones { millis, .. }
        | Fault::CutZone { millis, .. }
        | Fault::CutServer { millis, .. }
        | Fault::KeyValueDown { millis }
        | Fault::KeyValueSlow { millis }
        | Fault::KeyValueLosesReplies { millis }
        | Fault::BadNetwork { millis, .. }
        | Fault::MachineListLies { millis, .. }
        | Fault::HotKeys { millis, .. }
        | Fault::HotKey { millis, .. } => *millis,
        // Covers draining, stopping, restarting and undraining; an operator confirms
        // the drain and its removal.
        Fault::StopServer { .. } => 12_000,
        Fault::OperatorRace => 1_000,
        Fault::MachineLeaves { millis, .. } => millis + 3_000,
    };
    scheduled.at_millis + lasts
}

impl World {
    pub(crate) fn begin_fault(&mut self, position: usize) {
        let scheduled = self.scenario.faults[position].clone();
        self.record(Record::Fault {
            until: end_millis(&scheduled) * 1_000,
            what: format!("{:?}", scheduled.fault),
        });
        let until = |millis: u64| self.now + millis * 1_000;
        match scheduled.fault {
            Fault::KillNode {
                node,
                restart_millis,
            } => self.kill_node(node, restart_millis),
            Fault::PauseNode {
                node,
                millis,
                mid_step,
            } => self.freeze_node(node, millis, mid_step),
            Fault::PauseLeader { millis, mid_step } => {
                if let Some(node) = self.leader() {
                    self.freeze_node(node, millis, mid_step);
                }
            }
            Fault::StopNode {
                node,
                restart_millis,
            } => self.stop_node(node, restart_millis),
            Fault::KillAllNodes { restart_millis } => {
                self.record(Record::AllNodesLost);
                for node in 0..self.nodes.len() {
                    self.kill_node(node, Some(restart_millis));
                }
            }
            Fault::KillLeaderAndOwner {
                key,
                restart_millis,
            } => {
                if let Some(node) = self.leader() {
                    self.kill_node(node, Some(restart_millis));
                }
                if let Some(server) = self.owner_of(&key) {
                    self.kill_server(server, Some(restart_millis));
                }
            }
            Fault::KillServer {
                server,
                restart_millis,
            } => self.kill_server(server, restart_millis),
            Fault::ReplaceServer { server, millis } => self.replace_server(server, millis),
            Fault::PauseServer { server, millis } => self.freeze_server(server, millis),
            Fault::PauseOwner { key, millis } => {
                if let Some(server) = self.owner_of(&key) {
                    self.freeze_server(server, millis);
                }
            }
            Fault::StopServer { server } => self.drain_and_stop(server),
            Fault::CutZones {
                from,
                to,
                both_ways,
                millis,
            } => {
                let until = until(millis);
                self.network.cut(from, to, until);
                if both_ways {
                    self.network.cut(to, from, until);
                }
            }
            Fault::CutZone { zone, millis } => {
                let until = until(millis);
                self.network.cut_off(zone, until);
            }
            Fault::CutServer { server, millis } => {
                self.servers[server].cut_until = until(millis);
            }
            Fault::KeyValueDown { millis } => {
                self.key_value.faults = KeyValueFaults {
                    down: true,
                    ..KeyValueFaults::default()
                };
                self.after(millis * 1_000, SimEvent::KeyValueRecovers);
            }
            Fault::KeyValueSlow { millis } => {
                self.key_value_slow = true;
                self.after(millis * 1_000, SimEvent::KeyValueRecovers);
            }
            Fault::KeyValueLosesReplies { millis } => {
                self.key_value.faults.loses_replies = true;
                self.after(millis * 1_000, SimEvent::KeyValueRecovers);
            }
            Fault::BadNetwork {
                millis,
                loss_percent,
                duplicate_percent,
                delay_millis,
            } => {
                let until = until(millis);
                let conditions = &mut self.network.conditions;
                conditions.until = until;
                conditions.loss_percent = loss_percent;
                conditions.duplicate_percent = duplicate_percent;
                conditions.delay_micros = delay_millis * 1_000;
            }
            Fault::OperatorRace => self.race_operators(),
            Fault::MachineLeaves { server, millis } => {
                self.set_machine(server, MachineState::Leaving);
                self.after(millis * 1_000, machine(server, MachineState::Gone));
                self.after(
                    (millis + 2_000) * 1_000,
                    machine(server, MachineState::Live),
                );
            }
            Fault::MachineListLies { server, millis } => {
                self.set_machine(server, MachineState::Leaving);
                self.after(millis * 1_000, machine(server, MachineState::Live));
            }
            Fault::HotKeys {
                count,
                share_percent,
                rise_millis,
                millis,
            } => {
                let last = self.scenario.load.keys;
                self.callers.hot = Some(HotKeys {
                    keys: (last.saturating_sub(count)..last)
                        .map(|key| format!("key-{key}"))
                        .collect(),
                    share: f64::from(share_percent) / 100.0,
                    from: self.now,
                    rise: rise_millis * 1_000,
                });
                self.after(millis * 1_000, SimEvent::HotKeyEnds);
            }
            Fault::HotKey { key, millis } => {
                self.callers.hot = Some(HotKeys::at_once(key));
                self.after(millis * 1_000, SimEvent::HotKeyEnds);
            }
        }
    }

    fn kill_node(&mut self, node: usize, restart_millis: Option<u64>) {
        let member = self.nodes[node].member;
        self.end_node(node, false);
        match restart_millis {
            Some(millis) => self.after(millis * 1_000, SimEvent::RestartNode { node }),
            None => {
                let name = machine_name(member);
                self.machines.set(Time(self.now), &name, MachineState::Gone);
            }
        }
    }

    fn kill_server(&mut self, server: usize, restart_millis: Option<u64>) {
        self.end_server(server);
        if let Some(millis) = restart_millis {
            self.after(millis * 1_000, SimEvent::RestartServer { server });
        }
    }

    fn freeze_node(&mut self, index: usize, millis: u64, mid_step: bool) {
        let until = self.now + millis * 1_000;
        let node = &mut self.nodes[index];
        if node.state != ProcessState::Running {
            return;
        }
        if mid_step {
            node.state = ProcessState::Suspending(until);
            return;
        }
        node.state = ProcessState::Suspended;
        let run = node.run;
        self.at(until, SimEvent::ResumeNode { node: index, run });
    }

    fn stop_node(&mut self, index: usize, restart_millis: u64) {
        if self.nodes[index].state == ProcessState::Dead || self.nodes[index].stops {
            return;
        }
        self.nodes[index].stops = true;
        let run = self.nodes[index].run;
        self.record(Record::NodeStops { node: index, run });
        self.input(index, Input::Stop);
        // The added 8 s allow for a node that is suspended when it should end.
        let restart = restart_millis * 1_000 + 8_000_000;
        self.after(restart, SimEvent::RestartNode { node: index });
        debug_assert_eq!(self.nodes[index].member.node, node_id(index));
    }
}

fn machine(server: usize, state: MachineState) -> SimEvent {
    SimEvent::MachineState { server, state }
}
