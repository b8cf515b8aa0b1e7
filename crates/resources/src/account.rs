//! Holds of memory and open connections, given back on drop.
//!
//! Invariant: all holds together never exceed [`Shares::held_bytes`], nor those of a purpose what the
//! reserves of the purposes before it leave. A crowd of one kind so leaves room for the others: full
//! of request bodies, a process can still read an answer of the store.

use crate::Shares;
use std::cell::Cell;
use std::rc::Rc;

/// What memory is held for. Later purposes leave reserves to earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Answers of the store and of key holders to orders.
    System,
    /// Answers of upstreams to requests.
    Answer,
    /// Connections of clients, and small request bodies.
    Small,
    /// Large request bodies.
    Body,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 4] = [
        Purpose::System,
        Purpose::Answer,
        Purpose::Small,
        Purpose::Body,
    ];
}

/// Kinds of connections that take descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// From a client.
    Client,
    /// To an upstream or the store.
    Outgoing,
    /// From another node, or of a tunnel for it.
    Peer,
}

impl ConnectionKind {
    /// All kinds.
    pub const ALL: [ConnectionKind; 3] = [
        ConnectionKind::Client,
        ConnectionKind::Outgoing,
        ConnectionKind::Peer,
    ];
}

/// The account of one process.
#[derive(Debug)]
pub struct Account {
    shares: Shares,
    held: [Cell<usize>; Purpose::ALL.len()],
    open: [Cell<usize>; ConnectionKind::ALL.len()],
}

impl Account {
    /// An account from which nothing is held.
    pub fn new(shares: Shares) -> Rc<Self> {
        Rc::new(Self {
            shares,
            held: Default::default(),
            open: Default::default(),
        })
    }

    /// How the process is divided.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Bytes held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.held[purpose as usize].get()
    }

    /// Bytes held for all purposes.
    pub fn held_in_all(&self) -> usize {
        self.held.iter().map(Cell::get).sum()
    }

    /// Bytes that may still be held for a purpose.
    pub fn left(&self, purpose: Purpose) -> usize {
        self.most(purpose).saturating_sub(self.held_in_all())
    }

    /// Bytes that may be held for a purpose while nothing else is held.
    pub fn most(&self, purpose: Purpose) -> usize {
        let shares = &self.shares;
        let reserved = match purpose {
            Purpose::System => 0,
            Purpose::Answer => shares.system_reserve,
            Purpose::Small => shares.system_reserve + shares.answer_reserve,
            Purpose::Body => shares.system_reserve + shares.answer_reserve + shares.small_reserve,
        };
        shares.held_bytes - reserved
    }

    /// Holds memory; `None` if less than that is left.
    pub fn hold(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> Option<Hold> {
        let mut hold = Hold {
            account: self.clone(),
            purpose,
            bytes: 0,
        };
        hold.grow(bytes).then_some(hold)
    }

    /// Number of open connections of a kind.
    pub fn open(&self, kind: ConnectionKind) -> usize {
        self.open[kind as usize].get()
    }

    /// Most connections of a kind.
    pub fn most_open(&self, kind: ConnectionKind) -> usize {
        match kind {
            ConnectionKind::Client => self.shares.client_connections,
            ConnectionKind::Outgoing => self.shares.outgoing_connections,
            ConnectionKind::Peer => self.shares.peer_connections,
        }
    }

    /// Takes a descriptor for a connection; `None` if all of the kind are taken.
    pub fn open_connection(self: &Rc<Self>, kind: ConnectionKind) -> Option<OpenConnection> {
        let open = &self.open[kind as usize];
        if open.get() >= self.most_open(kind) {
            return None;
        }
        open.set(open.get() + 1);
        Some(OpenConnection {
            account: self.clone(),
            kind,
        })
    }
}

/// Memory held from an account.
#[derive(Debug)]
pub struct Hold {
    account: Rc<Account>,
    purpose: Purpose,
    bytes: usize,
}

impl Hold {
    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds further bytes; `false`, and nothing changes, if less than that is left.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes > self.account.left(self.purpose) {
            return false;
        }
        let held = &self.account.held[self.purpose as usize];
        held.set(held.get() + bytes);
        self.bytes += bytes;
        true
    }

    /// Holds the same memory for another purpose; `false`, and nothing changes, if the reserves of
    /// that purpose don't allow it.
    pub fn change_purpose(&mut self, purpose: Purpose) -> bool {
        if self.account.held_in_all() > self.account.most(purpose) {
            return false;
        }
        let (from, to) = (self.purpose as usize, purpose as usize);
        let held = &self.account.held;
        held[from].set(held[from].get() - self.bytes);
        held[to].set(held[to].get() + self.bytes);
        self.purpose = purpose;
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let held = &self.account.held[self.purpose as usize];
        held.set(held.get() - self.bytes);
    }
}

/// A descriptor taken from an account.
#[derive(Debug)]
pub struct OpenConnection {
    account: Rc<Account>,
    kind: ConnectionKind,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = &self.account.open[self.kind as usize];
        open.set(open.get() - 1);
    }
}
