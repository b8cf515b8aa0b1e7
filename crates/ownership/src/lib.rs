//! Slice ownership and the protocol that grants it to servers.
//!
//! [`ControlState`] is the state machine replicated by the log. [`Granter`]
//! implements the leader's side of the grant protocol, [`GrantTable`] the
//! server's. All three are pure: they perform no I/O and read no clock.
//!
//! Grants expire on the server's own clock: each reply carries a reading of
//! that clock, and the next grant is valid until the reading plus D. The
//! granter treats the grant as live for D, extended by the maximum clock drift,
//! from the moment it received the reading. Clocks of different machines are
//! never compared.

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
