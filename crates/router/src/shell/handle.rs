//! What every task of the process shares.

use crate::core::{Input, NodeCore};
use crate::shell::actor::RouterActor;
use crate::shell::connections::Connections;
use crate::shell::observer::Observer;
use crate::shell::peers::LastAnswer;
use beamtray_catalog::ClientLimits;
use beamtray_clock::BootClock;
use beamtray_dialect::Dialect;
use beamtray_dispatch::{Admission, Ending, Forward, Ticket};
use beamtray_metastore::StoreEra;
use beamtray_types::Time;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use stakker::{ActorOwn, call};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
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
    /// Connections for orders to holders of keys.
    pub order_connections: Connections,
    pub clients: RefCell<HashMap<Ticket, UnboundedSender<Step>>>,
    pub actor: RefCell<Option<ActorOwn<RouterActor>>>,
    pub wake: Notify,
    /// What the core's times are read off.
    pub clock: Rc<BootClock>,
    /// Told after the machine was suspended.
    pub woke: Notify,
    pub next_ticket: Cell<u64>,
    pub limits: Cell<ClientLimits>,
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    pub stop: Notify,
    /// Number of this run.
    pub run: u64,
    pub store: SocketAddr,
    /// The store's era, as its answers told it.
    pub store_era: Cell<Option<StoreEra>>,
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
        self.clock.now()
    }

    /// Lets `work` go on until then; none if it did not end. Timers do not count the time
    /// asleep, so the clock is looked at again after it.
    pub async fn until<Work: Future>(&self, time: Time, work: Work) -> Option<Work::Output> {
        let mut work = std::pin::pin!(work);
        loop {
            let woke = self.woke.notified();
            let left = self.clock.time_until(time);
            if left.is_zero() {
                return None;
            }
            tokio::select! {
                biased;
                done = work.as_mut() => return Some(done),
                () = woke => {}
                () = tokio::time::sleep(left) => {}
            }
        }
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
