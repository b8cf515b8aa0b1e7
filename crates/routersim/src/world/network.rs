//! Simulation events and their order.

use super::World;
use super::links::WrittenOrder;
use super::processors::Pending;
use super::upstreams::Answer;
use crate::event_log::LoggedEvent;
use crate::fault::FaultKind;
use beamtray_catalog::{UpstreamId, UpstreamRecord};
use beamtray_dispatch::{AttemptOutcome, Forward, Ticket};
use beamtray_emulator::{Delivery, RunId};
use beamtray_metastore::{StoreCall, StoreOutcome};
use beamtray_router::core::{Datagram, Input, Liveness, OrderTask, StoreTask, ViewRequest};
use beamtray_sharding::{CallId, GrantOrder, GrantReply};
use beamtray_types::{ServiceName, Time};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

/// One run of a node's process.
pub(crate) type Run = u64;

/// A simulation event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    NodeStart {
        node: usize,
    },
    NodeTick {
        node: usize,
        run: Run,
    },
    Thaw {
        node: usize,
        run: Run,
    },
    StoreArrives {
        node: usize,
        run: Run,
        task: StoreTask,
        call: StoreCall,
    },
    StoreAnswers {
        node: usize,
        run: Run,
        task: StoreTask,
        outcome: StoreOutcome,
    },
    /// Operators and upstreams repeat their writes after a store rollback.
    WritesAgain,
    LateWrite {
        call: StoreCall,
    },
    OrderArrives {
        node: usize,
        run: Run,
        task: OrderTask,
        epoch: u64,
    },
    OrderAnswers {
        node: usize,
        run: Run,
        service: ServiceName,
        order: GrantOrder,
        epoch: u64,
        reply: GrantReply,
    },
    LateOrder {
        index: usize,
        order: GrantOrder,
        delivery: Delivery,
    },
    OrderSentAgain {
        order: Box<WrittenOrder>,
    },
    OrderGivenUp {
        order: Box<WrittenOrder>,
    },
    ReleaseTimeout {
        index: usize,
        call: CallId,
    },
    ForwardArrives {
        node: usize,
        run: Run,
        ticket: Ticket,
        forward: Forward,
    },
    AttemptEnds {
        node: usize,
        run: Run,
        ticket: Ticket,
        attempt: u32,
        outcome: AttemptOutcome,
        answer: Option<Answer>,
    },
    RunEnds {
        index: usize,
        incarnation: u64,
        run: RunId,
    },
    DatagramArrives {
        from: usize,
        to: usize,
        datagram: Datagram,
    },
    AskArrives {
        from: usize,
        run: Run,
        question: Question,
    },
    Deliver {
        node: usize,
        run: Run,
        input: Box<DeferredInput>,
    },
    UpstreamStart {
        index: usize,
    },
    LateRegistration {
        record: UpstreamRecord,
    },
    StaleRegistrationEnds {
        id: UpstreamId,
    },
    UpstreamEnd {
        index: usize,
        incarnation: u64,
        back: bool,
    },
    Client,
    /// Callers send the poison request of the fault.
    PoisonClients {
        fault: usize,
    },
    /// A client sends the popular request of the fault.
    PopularClient {
        fault: usize,
    },
    /// A poison request crashes the upstream that runs it.
    PoisonEnds {
        index: usize,
        incarnation: u64,
    },
    Housekeeping,
    /// The processor of a node has done its work.
    ProcessorFree {
        node: usize,
        run: Run,
    },
    /// A decision of a node is due.
    DecisionDue {
        node: usize,
        run: Run,
    },
    Fault {
        index: usize,
    },
    FaultEnds {
        kind: FaultKind,
        node: Option<usize>,
    },
}

/// A request of one node to another, with its timeout.
#[derive(Clone, Debug)]
pub(crate) struct Question {
    pub to: usize,
    pub request: ViewRequest,
    pub wait: Duration,
}

/// Inputs of a node that are caused by other nodes and upstreams.
#[derive(Clone, Debug)]
pub(crate) enum DeferredInput {
    Snapshots(SocketAddr, Vec<beamtray_router::core::Snapshot>),
    NotAnswered(SocketAddr),
    Probed(UpstreamId, Liveness),
    ConnectionTried {
        upstream: UpstreamId,
        address: SocketAddr,
        began: Time,
        opened: bool,
    },
}

impl From<DeferredInput> for Input {
    fn from(input: DeferredInput) -> Self {
        match input {
            DeferredInput::Snapshots(from, snapshots) => Input::Snapshots(from, snapshots),
            DeferredInput::NotAnswered(from) => Input::SnapshotsUnavailable(from),
            DeferredInput::Probed(upstream, liveness) => Input::Probed { upstream, liveness },
            DeferredInput::ConnectionTried {
                upstream,
                address,
                began,
                opened,
            } => Input::ConnectionTried {
                upstream,
                address,
                began,
                opened,
            },
        }
    }
}

/// An event with its time, ordered by time and then by scheduling order.
#[derive(Clone, Debug)]
pub(crate) struct Scheduled {
    pub at: Time,
    pub number: u64,
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl World {
    pub(super) fn take(&mut self, event: Event) {
        match event {
            Event::NodeStart { node } => self.start_node(node),
            Event::NodeTick { node, run } => self.tick_node(node, run),
            Event::Thaw { node, run } => self.thaw(node, run),
            Event::StoreArrives {
                node,
                run,
                task,
                call,
            } => self.store_arrives(node, run, task, call),
            Event::StoreAnswers {
                node,
                run,
                task,
                outcome,
            } => self.store_answers(node, run, task, outcome),
            Event::WritesAgain => self.write_again(),
            Event::LateWrite { call } => self.late_write(&call),
            Event::OrderArrives {
                node,
                run,
                task,
                epoch,
            } => self.order_arrives(node, run, task, epoch),
            Event::OrderAnswers {
                node,
                run,
                service,
                order,
                epoch,
                reply,
            } => {
                self.event_log.add(self.now, || LoggedEvent::ReplyReceived {
                    node,
                    order: order.clone(),
                    reply: reply.clone(),
                });
                let input = Input::Order {
                    service,
                    order,
                    epoch,
                    reply,
                };
                self.input(node, run, input);
            }
            Event::LateOrder {
                index,
                order,
                delivery,
            } => self.late_order(index, &order, delivery),
            Event::OrderSentAgain { order } => self.order_sent_again(order),
            Event::OrderGivenUp { order } => self.order_given_up(order),
            Event::ReleaseTimeout { index, call } => self.release_timeout(index, call),
            Event::ForwardArrives {
                node,
                run,
                ticket,
                forward,
            } => self.forward_arrives(node, run, ticket, &forward),
            Event::AttemptEnds { node, run, .. } => {
                let slot = &mut self.nodes[node];
                if slot.run == run && slot.processor.is_busy(self.now) {
                    slot.processor.push(Pending::AttemptEnd(event));
                } else {
                    self.take_attempt_end(event);
                }
            }
            Event::RunEnds {
                index,
                incarnation,
                run,
            } => self.run_ends(index, incarnation, run),
            Event::DatagramArrives { from, to, datagram } => {
                self.datagram_arrives(from, to, datagram);
            }
            Event::AskArrives {
                from,
                run,
                question,
            } => self.ask_arrives(from, run, question),
            Event::Deliver { node, run, input } => self.input(node, run, (*input).into()),
            Event::UpstreamStart { index } => self.start_upstream(index),
            Event::LateRegistration { record } => self.late_registration(record),
            Event::StaleRegistrationEnds { id } => self.remove_registration(&id),
            Event::UpstreamEnd {
                index,
                incarnation,
                back,
            } => self.end_upstream(index, incarnation, back),
            Event::Client => self.client(),
            Event::PoisonClients { fault } => self.poison_clients(fault),
            Event::PopularClient { fault } => self.popular_client(fault),
            Event::PoisonEnds { index, incarnation } => self.poison_crashed(index, incarnation),
            Event::Housekeeping => self.housekeeping(),
            Event::ProcessorFree { node, run } => self.processor_free(node, run),
            Event::DecisionDue { node, run } => self.decision_due(node, run),
            Event::Fault { index } => self.fault(index),
            Event::FaultEnds { kind, node } => self.fault_ends(&kind, node),
        }
    }

    /// Ends an attempt at its node.
    pub(super) fn take_attempt_end(&mut self, event: Event) {
        let Event::AttemptEnds {
            node,
            run,
            ticket,
            attempt,
            outcome,
            answer,
        } = event
        else {
            return;
        };
        self.attempt_ends(node, run, ticket, attempt, outcome, answer);
    }
}
