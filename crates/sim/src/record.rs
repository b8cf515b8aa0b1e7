//! The world's own record of what took effect.
//!
//! Times are microseconds of the world's clock, which no process can read.

use beamtray_ownership::GrantedSlice;
use beamtray_types::Fence;

/// One run of a server, by position and number of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerRun {
    /// Position of the server in the world.
    pub server: usize,
    /// Number of the run, from 0.
    pub run: u64,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerView {
    /// A whole answer of a server.
    Complete {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The request did not run.
    NotRun {
        /// Status.
        status: u16,
    },
    /// The request may have run, as beamtray said.
    Unknown {
        /// Status.
        status: u16,
    },
    /// The connection broke or the caller gave up waiting.
    NoAnswer,
}

/// What an operator was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorView {
    /// Accepted as this revision.
    InForce(u64),
    /// Another change came first.
    Conflict,
    /// Not known.
    Unknown,
    /// Not served.
    Unavailable,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A server now holds exactly these slices until its clock says so.
    Holds {
        /// The server's run.
        server: ServerRun,
        /// Generation of the leader that granted.
        generation: u64,
        /// The world's time at which the grant lapses.
        until: u64,
        /// The slices.
        slices: Vec<GrantedSlice>,
    },
    /// A run of a server ended.
    ServerEnded {
        /// The server's run.
        server: ServerRun,
    },
    /// A server was asked to stop as planned.
    ServerStops {
        /// The server's run.
        server: ServerRun,
    },
    /// A request reached a server.
    Arrived {
        /// The server's run.
        server: ServerRun,
        /// The caller's name for the request.
        name: String,
    },
    /// A request took effect.
    Effect {
        /// The server's run.
        server: ServerRun,
        /// The request.
        name: String,
        /// The key, empty in a pool.
        key: String,
        /// Fence under which it ran; none in a pool.
        fence: Option<Fence>,
    },
    /// A caller sent a request.
    Sent {
        /// The request.
        name: String,
        /// The node asked.
        node: usize,
        /// The node's run.
        node_run: u64,
        /// Whether it may run twice.
        repeatable: bool,
        /// Whether it asks which configuration is in force.
        probe: bool,
        /// Whether it is one of the last, after all faults.
        after_faults: bool,
    },
    /// A caller got its final answer.
    Answered {
        /// The request.
        name: String,
        /// What it was told.
        view: CallerView,
    },
    /// An operator sent a confirmation.
    ConfirmSent {
        /// The write.
        operation: u64,
        /// Revision that it was planned on.
        base: u64,
        /// Servers that the declaration drains.
        drained: Vec<usize>,
    },
    /// An operator was answered.
    Confirmed {
        /// The write.
        operation: u64,
        /// What it was told.
        view: OperatorView,
    },
    /// A node was asked to stop as planned.
    NodeStops {
        /// The node.
        node: usize,
        /// Its run.
        run: u64,
    },
    /// A run of a node ended.
    NodeEnded {
        /// The node.
        node: usize,
        /// Its run.
        run: u64,
        /// Whether it ended by its own planned stop.
        planned: bool,
    },
    /// Something was made to fail.
    Fault {
        /// When it is over.
        until: u64,
        /// What, in words.
        what: String,
    },
    /// All nodes were lost at once.
    AllNodesLost,
}

/// A record with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// Microseconds of the world's clock.
    pub at: u64,
    /// What happened.
    pub record: Record,
}

/// The history of one world.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What happened, in order.
    pub records: Vec<Timed>,
    /// When the last fault was over.
    pub calm_from: u64,
    /// When the world ended.
    pub end: u64,
}

impl History {
    /// A digest of everything recorded.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for timed in &self.records {
            hasher.update(format!("{timed:?}\n").as_bytes());
        }
        hasher.digest()
    }
}
