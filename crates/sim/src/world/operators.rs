//! Operators, which confirm the desired declaration until it is in force.

use super::nodes::ProcessState;
use super::{SimEvent, World};
use crate::record::{OperatorView, Record};
use crate::scenario::PROBE_SERVICE;
use beamtray_control::{Input, OperatorAnswer, OperatorCall, OperatorRequest};
use beamtray_settings::{Declaration, Division, ServerDeclaration, ServiceDeclaration};
use beamtray_types::{OperationId, Revision, ServerName, ServiceName, Zone};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const OPERATE_MICROS: u64 = 400_000;
const PATIENCE_MICROS: u64 = 9_000_000;

#[derive(Clone, Debug)]
struct Asked {
    operation: u64,
    drained: BTreeSet<usize>,
    wanted: u64,
    expires: u64,
}

/// State of the operators and the declaration they want.
#[derive(Debug)]
pub(crate) struct Operators {
    declared: Declaration,
    /// Servers to drain.
    pub(crate) drained: BTreeSet<usize>,
    /// Number of changes to the desired declaration.
    pub(crate) wanted: u64,
    accepted: u64,
    base: u64,
    next_operation: u64,
    next_call: u64,
    asked: BTreeMap<OperatorCall, Asked>,
    /// Servers whose planned stop waits until their drain is in force.
    pub(crate) to_stop: BTreeSet<usize>,
}

impl Operators {
    pub(crate) fn new(declared: Declaration) -> Self {
        Self {
            declared,
            drained: BTreeSet::new(),
            wanted: 1,
            accepted: 0,
            base: 0,
            next_operation: 1,
            next_call: 0,
            asked: BTreeMap::new(),
            to_stop: BTreeSet::new(),
        }
    }

    /// Builds the declaration with the current drains and a probe pool that identifies
    /// the write.
    fn declaration(&self, names: &[ServerName], operation: u64) -> Declaration {
        let mut declaration = self.declared.clone();
        for server in declaration.services.iter_mut().flat_map(|s| &mut s.servers) {
            let index = names.iter().position(|name| *name == server.name);
            server.drain = index.is_some_and(|index| self.drained.contains(&index));
        }
        declaration.services.push(probe_service(operation));
        declaration
    }
}

/// Builds the probe pool that reveals which write is in force.
fn probe_service(operation: u64) -> ServiceDeclaration {
    let [_, _, _, _, _, _, high, low] = operation.to_be_bytes();
    ServiceDeclaration {
        name: ServiceName::from(PROBE_SERVICE),
        division: Division::Pool,
        slices_per_server: 1,
        move_cost: 0.0,
        reassign_after_millis: 0,
        deadline_millis: 1_500,
        queue: 512,
        retry_share: 0.1,
        rules: Vec::new(),
        servers: vec![ServerDeclaration {
            name: ServerName(format!("probe-{operation}")),
            address: SocketAddr::from(([10, 255, high, low], 1)),
            zone: Zone::from("zone-0"),
            slots: 64,
            drain: false,
        }],
    }
}

impl World {
    /// Checks whether the desired declaration is in force, and confirms it if not.
    pub(crate) fn operate(&mut self) {
        self.after(OPERATE_MICROS, SimEvent::Operate);
        let now = self.now;
        let expired: Vec<OperatorCall> = self
            .operators
            .asked
            .iter()
            .filter(|(_, asked)| now >= asked.expires)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            self.settle_operator(call, OperatorView::Unknown);
        }
        let idle = self.operators.asked.is_empty();
        if idle && self.operators.accepted < self.operators.wanted {
            self.send_confirm();
        }
    }

    /// Submits different declarations from two operators at the same time.
    pub(crate) fn race_operators(&mut self) {
        self.operators.wanted += 1;
        self.send_confirm();
        self.send_confirm();
    }

    fn send_confirm(&mut self) {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].state != ProcessState::Dead)
            .collect();
        if up.is_empty() {
            return;
        }
        let node = up[self.rng.random_range(0..up.len())];
        let names: Vec<ServerName> = self.servers.iter().map(|s| s.name.clone()).collect();
        let operators = &mut self.operators;
        let base = operators.base;
        let operation = operators.next_operation;
        operators.next_operation += 1;
        let call = OperatorCall(operators.next_call);
        operators.next_call += 1;
        let request = OperatorRequest::Confirm {
            operation: OperationId(operation),
            base: Revision(base),
            declaration: operators.declaration(&names, operation),
        };
        let drained = operators.drained.clone();
        operators.asked.insert(
            call,
            Asked {
                operation,
                drained: drained.clone(),
                wanted: operators.wanted,
                expires: self.now + PATIENCE_MICROS,
            },
        );
        self.record(Record::ConfirmSent {
            operation,
            base,
            drained: drained.into_iter().collect(),
        });
        let run = self.nodes[node].run;
        let input = Input::Operator { call, request };
        self.after(1_000, SimEvent::ToNode { node, run, input });
    }

    pub(crate) fn on_operator_answer(&mut self, call: OperatorCall, answer: OperatorAnswer) {
        let view = match answer {
            OperatorAnswer::InForce { revision } => OperatorView::InForce(revision.0),
            OperatorAnswer::Conflict { revision, .. } => {
                self.operators.base = self.operators.base.max(revision.0);
                OperatorView::Conflict
            }
            OperatorAnswer::Unknown { .. } => OperatorView::Unknown,
            _ => OperatorView::Unavailable,
        };
        self.settle_operator(call, view);
    }

    fn settle_operator(&mut self, call: OperatorCall, view: OperatorView) {
        let Some(asked) = self.operators.asked.remove(&call) else {
            return;
        };
        let operation = asked.operation;
        self.record(Record::Confirmed {
            operation,
            view: view.clone(),
        });
        if let OperatorView::InForce(revision) = view {
            self.operators.base = self.operators.base.max(revision);
            self.operators.accepted = self.operators.accepted.max(asked.wanted);
            self.stop_drained(&asked.drained);
        }
    }

    /// Schedules the planned stop of servers some time after their drain is in force.
    fn stop_drained(&mut self, drained: &BTreeSet<usize>) {
        let ready: Vec<usize> = self
            .operators
            .to_stop
            .intersection(drained)
            .copied()
            .collect();
        for server in ready {
            self.operators.to_stop.remove(&server);
            self.after(3_500_000, SimEvent::StopServer { server });
            self.after(5_000_000, SimEvent::RestartServer { server });
            self.after(5_500_000, SimEvent::UndrainServer { server });
        }
    }

    pub(crate) fn drain_and_stop(&mut self, server: usize) {
        if self.operators.drained.insert(server) {
            self.operators.to_stop.insert(server);
            self.operators.wanted += 1;
        }
    }

    pub(crate) fn undrain_server(&mut self, server: usize) {
        if self.operators.drained.remove(&server) {
            self.operators.wanted += 1;
        }
    }
}
