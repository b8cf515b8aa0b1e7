//! The platform's key-value service and machine list, as seen by the nodes.

use super::nodes::ProcessState;
use super::{SimEvent, World};
use beamtray_control::{Input, KeyValueCall};
use beamtray_keyvalue::{KeyValueRequest, KeyValueResult, MachineState};
use beamtray_standin::KeyValueFaults;
use beamtray_types::Time;
use rand::RngExt;

const CALL_TIMEOUT_MICROS: u64 = 2_000_000;
const SERVICE_MICROS: u64 = 3_000;
const SLOW_MICROS: u64 = 5_000_000;

impl World {
    pub(crate) fn send_key_value(
        &mut self,
        node: usize,
        call: KeyValueCall,
        request: KeyValueRequest,
    ) {
        let run = self.nodes[node].run;
        let sent = self.now;
        self.after(CALL_TIMEOUT_MICROS, unavailable(node, run, call));
        let (from, to) = (self.nodes[node].zone, self.network.platform());
        let Some(delay) = self.network.delay(&mut self.rng, self.now, from, to) else {
            return;
        };
        let service = if self.key_value_slow {
            self.rng.random_range(SERVICE_MICROS..SLOW_MICROS)
        } else {
            SERVICE_MICROS
        };
        let event = SimEvent::KeyValueArrives {
            node,
            run,
            call,
            request,
            sent,
        };
        self.after(delay + service, event);
    }

    pub(crate) fn on_key_value_arrives(
        &mut self,
        node: usize,
        run: u64,
        call: KeyValueCall,
        request: &KeyValueRequest,
        sent: u64,
    ) {
        let Some(result) = self.key_value.handle(Time(self.now), request) else {
            return;
        };
        let (from, to) = (self.network.platform(), self.nodes[node].zone);
        let Some(delay) = self.network.delay(&mut self.rng, self.now, from, to) else {
            return;
        };
        // After the timeout the caller has already received `Unavailable`.
        if self.now + delay < sent + CALL_TIMEOUT_MICROS {
            let input = Input::KeyValue { call, result };
            self.after(delay, SimEvent::ToNode { node, run, input });
        }
    }

    pub(crate) fn read_machines(&mut self, node: usize) {
        let run = self.nodes[node].run;
        let (from, to) = (self.nodes[node].zone, self.network.platform());
        let delay = self.network.delay(&mut self.rng, self.now, from, to);
        let list = delay.map(|_| self.machines.list(Time(self.now)));
        let delay = delay.map_or(CALL_TIMEOUT_MICROS, |delay| 2 * delay);
        let input = Input::Machines { list };
        self.after(delay, SimEvent::ToNode { node, run, input });
    }

    pub(crate) fn set_machine(&mut self, server: usize, state: MachineState) {
        let name = self.servers[server].name.to_string();
        self.machines.set(Time(self.now), &name, state);
        if state == MachineState::Gone {
            self.end_server(server);
        }
        if state == MachineState::Live && self.servers[server].state == ProcessState::Dead {
            self.restart_server(server);
        }
    }

    pub(crate) fn restore_key_value(&mut self) {
        self.key_value.faults = KeyValueFaults::default();
        self.key_value_slow = false;
    }
}

fn unavailable(node: usize, run: u64, call: KeyValueCall) -> SimEvent {
    let result = KeyValueResult::Unavailable {
        cause: "no answer".to_owned(),
    };
    let input = Input::KeyValue { call, result };
    SimEvent::ToNode { node, run, input }
}
