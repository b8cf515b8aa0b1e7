//! Test doubles for beamtray's environment: the platform's key-value service and
//! machine list, keyed servers that accept fenced grants, and back ends.
//!
//! Each is a pure model with fault-injection switches. [`service`] serves the
//! models over HTTP for real processes; the simulator calls them
//! directly.

mod backend;
mod key_value;
mod keyed_server;
mod machines;
pub mod service;

pub use backend::{Backend, BackendConfig};
pub use key_value::{KeyValueFaults, KeyValueStore};
pub use keyed_server::{Admitted, Effect, KeyedServer, ServerRefusal};
pub use machines::MachineList;
