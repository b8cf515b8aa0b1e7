//! Handling of operator requests: served locally by the leader, otherwise
//! forwarded to it.

use crate::configure::OperatorReply;
use crate::core::{ForwardedRequest, NodeCore};
use crate::io::{OperatorCall, Output};
use crate::message::PeerMessage;
use crate::operator::{
    AssignmentRow, NodeRow, OperatorAnswer, OperatorRequest, ServiceRow, StatusReport, VoterRow,
};
use crate::placing::slice_loads;
use crate::plan::plan_report;
use beamtray_ownership::{Ownership, Slice};
use beamtray_placement::imbalance;
use beamtray_settings::Division;
use beamtray_types::{KeyHash, Member, ServerName, ServiceName, SliceRange};
use std::time::Duration;

/// How long an answer from the leader is awaited.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

impl NodeCore {
    pub(crate) fn on_operator(&mut self, call: OperatorCall, request: OperatorRequest) {
        if let OperatorRequest::Assignments { service, key } = &request {
            let answer = self.assignments(service, key.as_deref());
            return self.answer_operator(call, answer);
        }
        if self.is_leader() {
            return self.serve_operator(OperatorReply::Local(call), request);
        }
        let leader = self.known_leader();
        let Some(leader) = leader.filter(|leader| leader.node != self.config.me.node) else {
            let reason = "no leader is known".to_owned();
            return self.answer_operator(call, OperatorAnswer::Unavailable { reason });
        };
        let timeout_answer = match &request {
            OperatorRequest::Confirm { operation, .. } => OperatorAnswer::Unknown {
                operation: *operation,
            },
            _ => OperatorAnswer::Unavailable {
                reason: format!("the leader, node {}, did not answer", leader.node),
            },
        };
        let forwarded = ForwardedRequest {
            call,
            expires: self.now + LEADER_ANSWER_TIMEOUT,
            timeout_answer,
        };
        self.forwarded.insert(call.0, forwarded);
        let message = PeerMessage::Operator {
            call: call.0,
            request,
        };
        self.send(leader.node, message);
    }

    pub(crate) fn on_remote_operator(&mut self, from: Member, call: u64, request: OperatorRequest) {
        let reply = OperatorReply::Remote(from, call);
        if self.is_leader() {
            return self.serve_operator(reply, request);
        }
        let reason = format!("node {} is not the leader", self.config.me.node);
        self.reply_to_operator(reply, OperatorAnswer::Unavailable { reason });
    }

    pub(crate) fn tick_operators(&mut self) {
        let now = self.now;
        let expired: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| now >= forwarded.expires)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            if let Some(forwarded) = self.forwarded.remove(&call) {
                self.answer_operator(forwarded.call, forwarded.timeout_answer);
            }
        }
    }

    fn serve_operator(&mut self, reply: OperatorReply, request: OperatorRequest) {
        let answer = match request {
            OperatorRequest::Confirm {
                operation,
                base,
                declaration,
            } => return self.confirm(reply, operation, base, declaration),
            OperatorRequest::Plan { declaration } => match declaration.check("declaration", "") {
                Err(error) => OperatorAnswer::Invalid {
                    reason: error.to_string(),
                },
                Ok(()) => {
                    let loads = self.leadership.as_ref().map(|leadership| &leadership.loads);
                    OperatorAnswer::Plan(plan_report(&self.state, loads, &declaration))
                }
            },
            OperatorRequest::Operation { operation } => self
                .state
                .operation(operation)
                .map_or(OperatorAnswer::NoSuchOperation, |outcome| {
                    self.outcome_answer(outcome)
                }),
            OperatorRequest::Status => OperatorAnswer::Status(self.status()),
            OperatorRequest::Assignments { service, key } => {
                self.assignments(&service, key.as_deref())
            }
        };
        self.reply_to_operator(reply, answer);
    }

    pub(crate) fn reply_to_operator(&mut self, reply: OperatorReply, answer: OperatorAnswer) {
        match reply {
            OperatorReply::Local(call) => self.answer_operator(call, answer),
            OperatorReply::Remote(member, call) => {
                self.send(member.node, PeerMessage::OperatorAnswer { call, answer });
            }
        }
    }

    pub(crate) fn answer_operator(&mut self, call: OperatorCall, answer: OperatorAnswer) {
        self.outputs.push(Output::OperatorAnswer { call, answer });
    }

    fn status(&self) -> StatusReport {
        let Some((raft, leadership)) = self.raft.as_ref().zip(self.leadership.as_ref()) else {
            return StatusReport::default();
        };
        let nodes = self.state.nodes.iter();
        StatusReport {
            generation: self.generation.0,
            term: raft.term().0,
            leader: self.config.me.node.0,
            revision: self.state.revision.0,
            applied: self.state.applied.0,
            checkpointed: leadership.checkpointing.saved.0,
            voters: raft
                .membership()
                .voters
                .iter()
                .map(|member| VoterRow {
                    node: member.node.0,
                    live: leadership.is_node_live(self.now, *member),
                })
                .collect(),
            nodes: nodes
                .map(|(node, record)| NodeRow {
                    node: node.0,
                    zone: record.zone.to_string(),
                })
                .collect(),
            services: self.service_rows(),
        }
    }

    fn service_rows(&self) -> Vec<ServiceRow> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let row = |service: &beamtray_settings::ServiceDeclaration| {
            let servers: Vec<ServerName> = service.servers.iter().map(|s| s.name.clone()).collect();
            let answering = |name: &&ServerName| leadership.granter.is_answering(self.now, name);
            let table = self.state.services.get(&service.name);
            let free = |_: &ServerName, _| false;
            let slices = table.map(|table| {
                slice_loads(
                    &service.name,
                    table,
                    Some(&leadership.loads),
                    free,
                    &servers,
                )
            });
            let balance = imbalance(&slices.unwrap_or_default(), &servers);
            let unowned = table.map_or(0, |table| {
                let slices = table.iter();
                slices
                    .filter(|(_, slice)| slice.ownership.owner().is_none())
                    .count()
            });
            ServiceRow {
                service: service.name.to_string(),
                slices: table.map_or(0, |table| table.len() as u32),
                unowned: unowned as u32,
                answering: match service.division {
                    Division::Keyed => servers.iter().filter(answering).count() as u32,
                    Division::Pool => 0,
                },
                declared: servers.len() as u32,
                load_imbalance: balance.load,
                key_imbalance: balance.keys,
            }
        };
        self.state.declaration.services.iter().map(row).collect()
    }

    fn assignments(&self, service: &ServiceName, key: Option<&str>) -> OperatorAnswer {
        let Some(table) = self.state.services.get(service) else {
            let reason = format!("{service} is not a keyed service");
            return OperatorAnswer::Invalid { reason };
        };
        let rows = match key {
            Some(key) => table
                .find(KeyHash::of(key))
                .map(|(range, slice)| assignment_row(range, slice))
                .into_iter()
                .collect(),
            None => table
                .iter()
                .map(|(range, slice)| assignment_row(range, slice))
                .collect(),
        };
        OperatorAnswer::Assignments(rows)
    }
}

fn assignment_row(range: SliceRange, slice: &Slice) -> AssignmentRow {
    let state = match slice.ownership {
        Ownership::Unassigned => "unassigned",
        Ownership::Owned { .. } => "owned",
        Ownership::Revoking { .. } => "revoking",
    };
    AssignmentRow {
        slice: range.to_string(),
        state: state.to_owned(),
        server: slice.ownership.holder().map(ToString::to_string),
        fence: slice.ownership.fence().map(|fence| fence.to_string()),
    }
}
