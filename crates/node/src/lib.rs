//! A beamtray node as a process: the core's actor, sockets, HTTP edges,
//! metrics and logs.
//!
//! One loop on one thread decides. Threads at the edges carry bytes and typed
//! messages: those of `tiny_http` read requests and write answers, those of
//! `ureq` call servers and the platform.

pub mod client;
pub mod command;
pub mod demo;
mod edge;
mod event;
pub mod logging;
mod metrics;
mod peer;
mod process;
mod shell;

pub use process::{BoundNode, NodeAddresses, RunningNode};
