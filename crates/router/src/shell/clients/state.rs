//! The connections of clients, and which of them give way.

use beamtray_resources::{Exchange, Phase, most_stalled, stalled_bodies};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// What one connection is doing.
pub(crate) struct ClientState {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    arrived: Cell<u64>,
    /// Bytes of memory that its body holds.
    pub held: Cell<usize>,
    /// Whether the client does not take what is written to it.
    pub is_write_blocked: Cell<bool>,
    /// Notified when the connection is to be closed.
    pub close: Notify,
    /// Notified when the body that arrives is to be given up.
    pub end_body: Notify,
}

impl ClientState {
    fn new() -> Self {
        Self {
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(Instant::now()),
            arrived: Cell::new(0),
            held: Cell::new(0),
            is_write_blocked: Cell::new(false),
            close: Notify::new(),
            end_body: Notify::new(),
        }
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
        self.arrived.set(0);
    }

    /// Bytes arrived. The first ones after a rest begin a head.
    pub fn bytes_arrived(&self, count: usize) {
        if matches!(self.phase.get(), Phase::Fresh | Phase::Resting) {
            self.enter(Phase::Head);
        }
        self.arrived.set(self.arrived.get() + count as u64);
    }

    /// Whether its request is at work, or its answer is not yet written.
    fn is_unfinished(&self) -> bool {
        self.phase.get() == Phase::Serving || self.is_write_blocked.get()
    }

    /// Whether a head arrives for longer than `limit`.
    fn has_late_head(&self, now: Instant, limit: Duration) -> bool {
        let age = now.saturating_duration_since(self.since.get());
        self.phase.get() == Phase::Head && age > limit
    }

    fn exchange(&self, id: u64, now: Instant) -> Exchange<u64> {
        let phase = match self.phase.get() {
            Phase::Resting if self.is_write_blocked.get() => Phase::Serving,
            phase => phase,
        };
        Exchange {
            id,
            phase,
            age: now.saturating_duration_since(self.since.get()),
            arrived: self.arrived.get(),
            held: self.held.get(),
        }
    }

    fn give_way(&self) {
        match self.phase.get() {
            Phase::Body => self.end_body.notify_one(),
            Phase::Serving => {}
            Phase::Discarding | Phase::Fresh | Phase::Head | Phase::Resting => {
                self.close.notify_one();
            }
        }
    }
}

/// All connections of clients.
#[derive(Default)]
pub(crate) struct ClientRegistry {
    connections: RefCell<BTreeMap<u64, Rc<ClientState>>>,
    last: Cell<u64>,
}

impl ClientRegistry {
    /// Registers a new connection, until the returned guard is dropped.
    pub fn register(self: &Rc<Self>) -> RegisteredClient {
        let id = self.last.get() + 1;
        self.last.set(id);
        let state = Rc::new(ClientState::new());
        self.connections.borrow_mut().insert(id, state.clone());
        RegisteredClient {
            registry: self.clone(),
            id,
            state,
        }
    }

    /// Whether some request is at work, or its answer is not yet written.
    pub fn any_unfinished(&self) -> bool {
        let connections = self.connections.borrow();
        connections.values().any(|state| state.is_unfinished())
    }

    /// Has the most stalled connection close; `false` if there is none.
    pub fn close_most_stalled(&self) -> bool {
        let connections = self.connections.borrow();
        let Some(id) = most_stalled(exchanges(&connections)) else {
            return false;
        };
        connections[&id].give_way();
        true
    }

    /// Has stalled bodies end that hold `bytes` together; returns how many.
    pub fn end_stalled_bodies(&self, bytes: usize) -> usize {
        let connections = self.connections.borrow();
        let chosen = stalled_bodies(exchanges(&connections), bytes);
        for id in &chosen {
            connections[id].give_way();
        }
        chosen.len()
    }

    /// Closes connections whose head arrives for longer than `limit`; returns how many.
    pub fn close_late_heads(&self, limit: Duration) -> usize {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let late = connections.values();
        let late = late.filter(|state| state.has_late_head(now, limit));
        late.map(|state| state.close.notify_one()).count()
    }
}

fn exchanges(connections: &BTreeMap<u64, Rc<ClientState>>) -> impl Iterator<Item = Exchange<u64>> {
    let now = Instant::now();
    connections
        .iter()
        .map(move |(id, state)| state.exchange(*id, now))
}

/// A registered connection.
pub(crate) struct RegisteredClient {
    registry: Rc<ClientRegistry>,
    id: u64,
    pub state: Rc<ClientState>,
}

impl Drop for RegisteredClient {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.id);
    }
}
