//! The world's record of events and effects.
//!
//! Times are in microseconds on the world clock, which is not visible to the
//! simulated processes.

use beamtray_ownership::GrantedSlice;
use beamtray_types::Fence;

/// One run of a server, identified by the server's position and the run number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerRun {
    /// Index of the server in the world.
    pub server: usize,
    /// Run number, starting at 0.
    pub run: u64,
}

/// The outcome that a caller observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerView {
    /// A complete response from a server.
    Complete {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// Beamtray reported that the request was not executed.
    NotRun {
        /// Status.
        status: u16,
    },
    /// Beamtray reported that the request may have been executed.
    Unknown {
        /// Status.
        status: u16,
    },
    /// The connection broke or the caller timed out.
    NoAnswer,
}

/// The outcome that an operator observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorView {
    /// Accepted as this revision.
    InForce(u64),
    /// Rejected because of a conflicting change.
    Conflict,
    /// The outcome is unknown.
    Unknown,
    /// The service was unavailable.
    Unavailable,
}

/// A recorded event.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A grant replaced the set of slices that a server holds.
    Holds {
        /// The server's run.
        server: ServerRun,
        /// Generation of the granting leader.
        generation: u64,
        /// World time at which the grant expires by the server's clock.
        until: u64,
        /// The slices.
        slices: Vec<GrantedSlice>,
    },
    /// A run of a server ended.
    ServerEnded {
        /// The server's run.
        server: ServerRun,
    },
    /// A planned stop of a server was requested.
    ServerStops {
        /// The server's run.
        server: ServerRun,
    },
    /// A request reached a server.
    Arrived {
        /// The server's run.
        server: ServerRun,
        /// The request name assigned by the caller.
        name: String,
    },
    /// A request took effect.
    Effect {
        /// The server's run.
        server: ServerRun,
        /// The request.
        name: String,
        /// The key; in a pool, the reached back end's marker or an empty string.
        key: String,
        /// Fence under which the request executed; `None` in a pool.
        fence: Option<Fence>,
    },
    /// A caller sent a request.
    Sent {
        /// The request.
        name: String,
        /// The receiving node.
        node: usize,
        /// The node's run number.
        node_run: u64,
        /// Whether the request may be executed more than once.
        repeatable: bool,
        /// Whether the request probes which configuration is in force.
        probe: bool,
        /// Whether the request is one of the final requests sent after all faults.
        after_faults: bool,
    },
    /// A caller received its final response.
    Answered {
        /// The request.
        name: String,
        /// The observed outcome.
        view: CallerView,
    },
    /// An operator submitted a declaration for confirmation.
    ConfirmSent {
        /// The write.
        operation: u64,
        /// Revision that the write was based on.
        base: u64,
        /// Servers that the declaration drains.
        drained: Vec<usize>,
    },
    /// An operator received the result of a confirmation.
    Confirmed {
        /// The write.
        operation: u64,
        /// The observed outcome.
        view: OperatorView,
    },
    /// A planned stop of a node was requested.
    NodeStops {
        /// The node.
        node: usize,
        /// The node's run number.
        run: u64,
    },
    /// A run of a node ended.
    NodeEnded {
        /// The node.
        node: usize,
        /// The node's run number.
        run: u64,
        /// Whether the run ended by a planned stop.
        planned: bool,
    },
    /// A fault was injected.
    Fault {
        /// World time at which the fault ends.
        until: u64,
        /// Description of the fault.
        what: String,
    },
    /// All nodes were lost at once.
    AllNodesLost,
}

/// A record with its timestamp.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// World time in microseconds.
    pub at: u64,
    /// The recorded event.
    pub record: Record,
}

/// The complete history of one world.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Recorded events in chronological order.
    pub records: Vec<Timed>,
    /// World time at which the last fault ended.
    pub calm_from: u64,
    /// World time at which the simulation ended.
    pub end: u64,
}

impl History {
    /// Computes a digest over the Debug output of all records.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for timed in &self.records {
            hasher.update(format!("{timed:?}\n").as_bytes());
        }
        hasher.digest()
    }
}
