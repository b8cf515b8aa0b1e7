//! The beamtray node process: the actor that runs the control core, sockets,
//! HTTP servers and clients, metrics and logs.
//!
//! All decisions are made by one event loop on a single thread. I/O threads
//! exchange bytes and typed messages with it: `tiny_http` threads read requests
//! and write responses, `ureq` threads call servers and the platform.

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
