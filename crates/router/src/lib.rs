//! The router as a process: one node that serves callers, follows the metadata
//! store and may be the granter.
//!
//! [`core`] decides and is pure; [`shell`] carries bytes. One thread runs
//! both: a `tokio` runtime drives sockets, a `stakker` actor owns the core.

pub mod core;
pub mod settings;
pub mod shell;
