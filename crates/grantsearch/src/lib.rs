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
//! 5. A granter that is lost is succeeded by one that knows its record, and nothing else of
//!    it: not which orders it had under way.
//!
//! All depends on how long an order may be on its way: point 4 holds only if *after some
//! time no copy of an order can take effect*. [`Transport`] says what the search assumes of
//! that, so that it shows which assumption the protocol needs.
//!
//! # The search
//!
//! [`World`] is a state; [`World::steps`] lists what may happen next, and [`World::apply`]
//! does it. Between steps the world runs by itself in ticks, up to the next moment at which
//! a fault could make a difference. A state that was reached before is not searched again.
//! [`Scope`] bounds how many faults of each kind a history has; within that and within the
//! depth, nothing is left out. [`check`] has what must hold.

pub mod check;
mod scope;
mod search;
mod standby;
mod transport;
mod upstream;
mod world;

pub use check::{Broken, Promise};
pub use scope::{Faults, Scope, TICK};
pub use search::{CounterCase, Limits, Outcome, Search, search};
pub use transport::Transport;
pub use upstream::{Arrival, Upstream};
pub use world::{Line, Step, World};
