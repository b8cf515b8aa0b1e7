//! Stand-ins for what surrounds beamtray: the platform's key-value service and
//! machine list, keyed servers that accept fenced grants, and back ends.
//!
//! Each is a pure model with switches to make it fail; [`service`] puts the
//! models behind HTTP for real processes, and the simulator uses them as they
//! are.

mod backend;
mod key_value;
mod keyed_server;
mod machines;
pub mod service;

pub use backend::{Backend, BackendConfig};
pub use key_value::{KeyValueFaults, KeyValueStore};
pub use keyed_server::{Admitted, Effect, KeyedServer, ServerRefusal};
pub use machines::MachineList;
