//! An in-memory replicated log.
//!
//! The algorithm is Raft ("In Search of an Understandable Consensus
//! Algorithm", Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a
//! leader lease, leadership transfer, learners and single-voter membership
//! changes (Ongaro's dissertation, chapters 3, 4 and 6).
//!
//! The crate does no I/O: [`Raft::handle`] and [`Raft::tick`] take the time as
//! an argument, and [`Raft::take_outputs`] returns the messages to send and the
//! entries to apply. It uses no clock, socket or thread.
//!
//! Nothing is written to disk. A member is therefore one *run* of a process
//! ([`beamtray_types::Member`]): a restarted process is a new member, without a
//! vote until a committed membership change makes it a voter. This prevents a
//! member that lost its state from voting twice in a term.

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
