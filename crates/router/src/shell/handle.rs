//! State shared by all tasks of the process.

use crate::core::{Input, NodeCore, TransferPace};
use crate::shell::actor::RouterActor;
use crate::shell::clients::ClientRegistry;
use crate::shell::connections::{CallProgress, ConnectionPool};
use crate::shell::held_body::HeldBody;
use crate::shell::observer::Observer;
use crate::shell::peers::AnswerCache;
use crate::shell::tunnel::Tunnels;
use beamtray_catalog::{ClientLimits, UpstreamId};
use beamtray_clock::BootClock;
use beamtray_dialect::Dialect;
use beamtray_dispatch::{AdmissionError, ConcludedRequest, Forward, Ticket};
use beamtray_metastore::StoreEra;
use beamtray_resources::Account;
use beamtray_sharding::ReleaseAnswers;
use beamtray_types::Time;
use hyper::Response;
use stakker::{ActorOwn, call};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;

/// Body of a response to a client.
pub(crate) type ResponseBody = HeldBody;

/// Actions for the task of one client request.
pub(crate) enum RequestAction {
    /// Reject the request, which was not admitted.
    Deny(AdmissionError),
    /// Send the request to an upstream.
    Forward(Box<Forward>),
    /// Send the router's own final response.
    Conclude(Box<ConcludedRequest>),
    /// Send an upstream's response.
    Respond(Box<Response<ResponseBody>>),
}

/// State shared by all tasks of the process.
pub(crate) struct Shared {
    pub dialect: Rc<dyn Dialect>,
    pub connections: ConnectionPool,
    /// Connections for orders to key holders.
    pub order_connections: ConnectionPool,
    /// Answers to releases of keys.
    pub release_answers: RefCell<ReleaseAnswers>,
    /// Memory and descriptors of the process.
    pub account: Rc<Account>,
    /// Connections of clients.
    pub clients_state: Rc<ClientRegistry>,
    pub clients: RefCell<HashMap<Ticket, UnboundedSender<RequestAction>>>,
    pub actor: RefCell<Option<ActorOwn<RouterActor>>>,
    pub core_wakeup: Notify,
    /// Source of the core's timestamps.
    pub clock: Rc<BootClock>,
    /// Notified after the machine was suspended.
    pub resumed: Notify,
    pub next_ticket: Cell<u64>,
    pub limits: Cell<ClientLimits>,
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Whether this node can pass on nothing and clients should turn to other nodes.
    pub isolated: Cell<bool>,
    pub shutdown: Notify,
    /// Random number of this run of the process.
    pub run: u64,
    pub store: SocketAddr,
    /// The store's era according to its latest answers.
    pub store_era: Cell<Option<StoreEra>>,
    pub datagrams: UdpSocket,
    pub answer_cache: AnswerCache,
    /// Connections that this node keeps open for others.
    pub tunnels: Tunnels,
    /// Pace of copies for other nodes.
    pub transfer_pace: RefCell<TransferPace>,
    pub observer: Observer,
}

impl Shared {
    /// Passes an input to the core.
    pub fn input(&self, input: Input) {
        if let Some(actor) = &*self.actor.borrow() {
            call!([actor], input(input));
        }
        self.core_wakeup.notify_one();
    }

    /// Calls `callback` with read access to the core when the actor next runs.
    pub fn inspect(&self, callback: impl FnOnce(&NodeCore) + 'static) {
        let callback: Box<dyn FnOnce(&NodeCore)> = Box::new(callback);
        if let Some(actor) = &*self.actor.borrow() {
            call!([actor], inspect(callback));
        }
        self.core_wakeup.notify_one();
    }

    /// Reports to the core whether a new connection to an upstream was opened.
    pub fn report_connection(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        began: Time,
        progress: &CallProgress,
    ) {
        if let Some(opened) = progress.connection_opened() {
            self.input(Input::ConnectionTried {
                upstream: upstream.clone(),
                address,
                began,
                opened,
            });
        }
    }

    /// Current time on the core's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Runs `work` until `time`; `None` if it has not finished by then. Timers do not count
    /// time in suspend, so the clock is checked again after a resume.
    pub async fn run_until<Work: Future>(&self, time: Time, work: Work) -> Option<Work::Output> {
        let mut work = std::pin::pin!(work);
        loop {
            let resumed = self.resumed.notified();
            let left = self.clock.time_until(time);
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

    /// Allocates a ticket for a client request.
    pub fn new_ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        Ticket(ticket)
    }

    /// Sends an action to the task of a request, if that still runs.
    pub fn send_action(&self, ticket: Ticket, action: RequestAction) {
        if let Some(client) = self.clients.borrow().get(&ticket) {
            // The task may have ended in the meantime.
            let _ = client.send(action);
        }
    }
}
