//! The account of a process's memory and descriptors.
//!
//! Heads, request bodies, answers and connections draw from one account before they are read or
//! opened. Limits on each of them alone bound nothing: many that are each within its limit together
//! end the process. Free of I/O.

mod account;
mod shares;
mod stalled;

pub use account::{Account, ConnectionKind, Hold, OpenConnection, Purpose};
pub use shares::{MIN_MEMORY_MB, Shares};
pub use stalled::{Exchange, MIN_PACE, Phase, STALL_TIME, most_stalled, stalled_bodies};
