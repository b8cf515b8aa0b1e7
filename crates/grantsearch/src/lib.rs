//! The protocol of grants, searched through.
//!
//! Random histories visit what is likely. This crate visits *every* history of a small
//! world, shortest first: one or two key ranges, two or three upstreams, the product's own
//! [`beamtray_sharding::Granter`], its successors, and a standby where asked for.
//!
//! # The protocol in short
//!
//! 1. The granter writes a durable record that names the holder of each range. Only then
//!    does it send that holder a *grant*: the keys, a fencing token, how long to hold them.
//! 2. A grant is renewed long before it runs out. The holder counts from the arrival of the
//!    order, by a clock that may run slow.
//! 3. To move keys the granter sends a *release* under a higher token, and waits for its
//!    answer. After it the old holder takes no older grant.
//! 4. A holder that answers nothing can't be released. Its keys go on when every grant
//!    that it may have taken, or may still take, has run out.
//! 5. Such a holder is sent releases under fresh tokens until it answers one: only then it
//!    is sure to take no older grant, since the time of a grant counts from its arrival.
//! 6. A granter that is lost is succeeded by one that knows its record, and nothing else of
//!    it: not which orders it had under way.
//!
//! # What it rests on
//!
//! *After some time no copy of an order can take effect.* [`Transport`] says when, and the
//! tests show what the protocol needs of it:
//!
//! - After an order was given up on, its copies arrive within `transit` at the latest: the
//!   connection is reset, so that nothing is left to be sent. Point 4 counts that.
//! - Those of a lost granter arrive within `transit` of its successor's start. The successor
//!   waits that long and a whole hold, for each holder may have taken one then. The end of
//!   the process must reset its connections too.
//! - A granter that stands still closes nothing, so for its orders there is no such bound.
//!   Point 5 bounds what they can do: once the path heals, the holder hears of its loss
//!   before the rule counts the old grant. That holds against one such fault. Another one
//!   at that very moment (the release held up, the successor standing still too) breaks it.
//!
//! - An upstream may carry out an order seconds after it came and leave it unanswered. No
//!   reset takes that back, and who is cut off can't be told. Only a wait that outlasts it
//!   keeps the rule then.
//!
//! Point 5 without the reset has the same weakness for every order.
//!
//! # The search
//!
//! [`World`] is a state; [`World::steps`] lists what may happen next, and [`World::apply`]
//! does it. Between steps the world runs by itself in ticks, up to the next moment at which
//! a fault could make a difference. A state that was reached before is not searched again.
//! [`Scope`] bounds how many faults of each kind a history has. Within that, within the depth
//! and at these moments nothing is left out; [`Scope::max_time_step`] brings the moments
//! closer together. Without faults orders arrive and records are durable at once.
//! [`check`] has what must hold.

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
