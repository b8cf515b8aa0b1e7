//! What every task of the process shares.

use crate::core::{Input, NodeCore};
use crate::shell::actor::RouterActor;
use crate::shell::connections::Connections;
use crate::shell::observer::Observer;
use crate::shell::peers::LastAnswer;
use beamtray_catalog::ClientLimits;
use beamtray_dialect::Dialect;
use beamtray_dispatch::{Admission, Ending, Forward, Ticket};
use beamtray_types::Time;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use stakker::{ActorOwn, call};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// Body of an answer to a client.
pub(crate) type AnswerBody = Full<Bytes>;

/// What the task of one client request is told.
pub(crate) enum Step {
    /// It can't be admitted.
    Deny(Admission),
    /// Make an attempt.
    Forward(Forward),
    /// Give the final answer.
    Conclude(Box<Ending>),
    /// An upstream's answer.
    Answer(Box<Response<AnswerBody>>),
}

/// Shared by every task of the process.
pub(crate) struct Shared {
    pub dialect: Rc<dyn Dialect>,
    pub connections: Connections,
    pub clients: RefCell<HashMap<Ticket, UnboundedSender<Step>>>,
    pub actor: RefCell<Option<ActorOwn<RouterActor>>>,
    pub wake: Notify,
    pub epoch: Instant,
    pub next_ticket: Cell<u64>,
    pub limits: Cell<ClientLimits>,
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    pub stop: Notify,
    /// Number of this run.
    pub run: u64,
    pub store: SocketAddr,
    pub datagrams: UdpSocket,
    pub last_answer: LastAnswer,
    pub observer: Observer,
}

impl Shared {
    /// Tells the core what happened.
    pub fn input(&self, input: Input) {
        if let Some(actor) = &*self.actor.borrow() {
            call!([actor], input(input));
        }
        self.wake.notify_one();
    }

    /// Lets `look` see the core, at the actor's next turn.
    pub fn inspect(&self, look: impl FnOnce(&NodeCore) + 'static) {
        let look: Box<dyn FnOnce(&NodeCore)> = Box::new(look);
        if let Some(actor) = &*self.actor.borrow() {
            call!([actor], inspect(look));
        }
        self.wake.notify_one();
    }

    /// The core's clock.
    pub fn now(&self) -> Time {
        self.time_of(Instant::now())
    }

    /// An instant on the core's clock.
    pub fn time_of(&self, instant: Instant) -> Time {
        Time(instant.saturating_duration_since(self.epoch).as_micros() as u64)
    }

    /// A reading of the core's clock as an instant.
    pub fn instant_of(&self, time: Time) -> tokio::time::Instant {
        (self.epoch + std::time::Duration::from_micros(time.0)).into()
    }

    /// A new ticket.
    pub fn ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ticket(ticket)
    }

    /// Passes a step on to the task of a request, if it is still there.
    pub fn step(&self, ticket: Ticket, step: Step) {
        if let Some(client) = self.clients.borrow().get(&ticket) {
            // A task that has just ended needs no step.
            let _ = client.send(step);
        }
    }
}
