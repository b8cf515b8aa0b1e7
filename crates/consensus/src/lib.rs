//! A replicated log in the memory of a few voters.
//!
//! The algorithm is Raft ("In Search of an Understandable Consensus
//! Algorithm", Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a
//! leader lease, leadership transfer, learners and single-voter membership
//! changes (Ongaro's dissertation, chapters 3, 4 and 6).
//!
//! The core is pure: [`Raft::handle`] and [`Raft::tick`] take the time, and
//! what must be sent or applied is taken with [`Raft::take_outputs`]. It owns
//! no clock, socket or thread.
//!
//! Nothing is written to disk. A voter is therefore one *run* of a process
//! ([`beamtray_types::Member`]): a restarted process is another member, which
//! has no vote until a committed change gives it one. So no member can vote
//! twice in a term.

mod config;
mod election;
mod log;
mod membership;
mod message;
mod progress;
mod raft;
mod replication;

pub use config::RaftConfig;
pub use log::{Entry, Payload, Snapshot};
pub use membership::Membership;
pub use message::{Body, Message};
pub use raft::{NotLeader, Output, Raft, Role};
