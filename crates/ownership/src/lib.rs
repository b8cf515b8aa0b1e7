//! Which server owns which slice, and how servers are told.
//!
//! [`ControlState`] is the state machine on the replicated log. [`Granter`] is
//! the leader's side of the grant protocol, [`GrantTable`] the server's. All
//! three are pure.
//!
//! Grants expire on the server's own clock: a reply carries the server's
//! reading, and the next grant says "valid until READING + D". The granter
//! counts it as live until D, stretched by the clock drift, after it received
//! the reading. No clock is compared with another.

mod command;
mod grant;
mod grant_table;
mod granter;
mod slices;
mod state;

pub use command::{Command, CommandBatch};
pub use grant::{GrantReply, GrantRequest, GrantSet, GrantedSlice};
pub use grant_table::{GrantTable, Refusal, Ticket};
pub use granter::{Granter, GranterConfig, GranterGuards, PendingGrant};
pub use slices::{Ownership, Slice, SliceTable};
pub use state::{ConfigureOutcome, ControlState, NodeRecord};
