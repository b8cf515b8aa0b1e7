//! What every task of the process shares.

use crate::core::{Input, NodeCore};
use crate::shell::actor::RouterActor;
use crate::shell::connections::ConnectionPool;
use crate::shell::observer::Observer;
use crate::shell::peers::AnswerCache;
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
pub(crate) type ResponseBody = Full<Bytes>;

/// What the task of one client request is told.
pub(crate) enum RequestAction {
    /// It can't be admitted.
    Deny(Admission),
    /// Make an attempt.
    Forward(Forward),
    /// Give the final answer.
    Conclude(Box<Ending>),
    /// An upstream's answer.
    Respond(Box<Response<ResponseBody>>),
}

/// Shared by every task of the process.
pub(crate) struct Shared {
    pub dialect: Rc<dyn Dialect>,
    pub connections: ConnectionPool,
    /// Connections for orders to holders of keys.
    pub order_connections: ConnectionPool,
    pub clients: RefCell<HashMap<Ticket, UnboundedSender<RequestAction>>>,
    pub actor: RefCell<Option<ActorOwn<RouterActor>>>,
    pub core_wakeup: Notify,
    /// What the core's times are read off.
    pub clock: Rc<BootClock>,
    /// Told after the machine was suspended.
    pub resumed: Notify,
    pub next_ticket: Cell<u64>,
    pub limits: Cell<ClientLimits>,
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    pub shutdown: Notify,
    /// Number of this run.
    pub run: u64,
    pub store: SocketAddr,
    /// The store's era, as its answers told it.
    pub store_era: Cell<Option<StoreEra>>,
    pub datagrams: UdpSocket,
    pub answer_cache: AnswerCache,
    pub observer: Observer,
}

impl Shared {
    /// Tells the core what happened.
    pub fn input(&self, input: Input) {
        if let Some(actor) = &*self.actor.borrow() {
            call!([actor], input(input));
        }
        self.core_wakeup.notify_one();
    }

    /// Lets `callback` see the core, at the actor's next turn.
    pub fn inspect(&self, callback: impl FnOnce(&NodeCore) + 'static) {
        let callback: Box<dyn FnOnce(&NodeCore)> = Box::new(callback);
        if let Some(actor) = &*self.actor.borrow() {
            call!([actor], inspect(callback));
        }
        self.core_wakeup.notify_one();
    }

    /// The core's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Lets `work` go on until then; none if it did not end. Timers do not count the time
    /// asleep, so the clock is looked at again after it.
    pub async fn run_until<Work: Future>(&self, time: Time, work: Work) -> Option<Work::Output> {
        let mut work = std::pin::pin!(work);
        loop {
            let resumed = self.resumed.notified();
            let left = self.clock.until(time);
            if left.is_zero() {
                return None;
            }
            tokio::select! {
                biased;
                done = work.as_mut() => return Some(done),
                () = resumed => {}
                () = tokio::time::sleep(left) => {}
            }
        }
    }

    /// A new ticket.
    pub fn new_ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ticket(ticket)
    }

    /// Passes a step on to the task of a request, if it is still there.
    pub fn send_action(&self, ticket: Ticket, action: RequestAction) {
        if let Some(client) = self.clients.borrow().get(&ticket) {
            // A task that has just ended needs no step.
            let _ = client.send(action);
        }
    }
}
