//! An exhaustive state-space search of the grant protocol.
//!
//! Random simulation covers likely histories. This crate explores *every* history of a small
//! model, shortest first: one or two key ranges, two or three upstreams, the production
//! [`beamtray_sharding::Granter`], its successors, and optionally a standby.
//!
//! # The protocol
//!
//! 1. The granter writes a durable record that names the holder of each range. Only then
//!    does it send that holder a *grant*: the keys, a fencing token, how long to hold them.
//! 2. A grant is renewed long before it expires. The holder counts from the arrival of the
//!    order, by a clock that may run slow.
//! 3. To move keys, the granter sends a *release* under a higher token and waits for the
//!    reply. After that the old holder rejects older grants.
//! 4. A holder that does not reply cannot be released. Its keys are reassigned when every grant
//!    that it may have accepted, or may still accept, has expired.
//! 5. Such a holder is sent releases under new tokens until it replies to one. Only then is it
//!    certain to reject older grants, because the duration of a grant counts from its arrival.
//! 6. The successor of a failed granter knows its durable record and nothing else,
//!    in particular not its orders in flight.
//!
//! # Transport assumptions
//!
//! *After a bounded time no copy of an order can take effect.* [`Transport`] sets the bound, and
//! the tests show what the protocol requires of it:
//!
//! - After an order times out, its copies arrive within `transit`: the
//!   connection is reset, so no data is left to be sent. Point 4 includes this time.
//! - Copies from a failed granter arrive within `transit` of its successor's start. The successor
//!   waits for that time plus a whole hold, because each holder may have accepted one then. The
//!   exit of the process must reset its connections too.
//! - A paused granter closes no connections, so there is no such bound for its orders.
//!   Point 5 limits their effect: once the path recovers, the holder learns that it lost the keys
//!   before the old grant counts as a violation. This covers one such fault. A second one
//!   at the same moment (the release delayed, the successor paused too) breaks it.
//!
//! - An upstream may execute an order seconds after it arrived and send no reply. No
//!   reset undoes that, and a partitioned upstream cannot be told. Only a wait longer than the
//!   execution delay preserves sole ownership then.
//!
//! - The store may roll back to an earlier record or to none. The next term then does not know
//!   all earlier grants, and point 4 does not cover them. It fences all registered upstreams
//!   by releases under its own token before it assigns keys.
//!
//! Without the reset, point 5 has the same weakness for every order.
//!
//! # The search
//!
//! [`World`] is a state, [`World::steps`] lists the possible next steps, and [`World::apply`]
//! performs one. Between steps the model advances in ticks to the next moment at which
//! a fault could make a difference. A state that was visited before is not expanded again.
//! [`Scope`] bounds the number of faults of each kind in a history. Within these bounds, the depth
//! limit and these moments the search is exhaustive; a smaller [`Scope::max_time_step`] brings the
//! moments closer together. Without faults, orders arrive and records become durable immediately.
//! [`check`] defines the invariants.

pub mod check;
mod scope;
mod search;
mod standby;
mod transport;
mod upstream;
mod world;

pub use check::{Invariant, Violation};
pub use scope::{Faults, Scope, TICK};
pub use search::{Counterexample, Limits, Outcome, Search, search};
pub use transport::Transport;
pub use upstream::{Arrival, Upstream};
pub use world::{Step, TraceEntry, World};
