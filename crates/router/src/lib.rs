//! The router process: one node that serves client requests, follows the metadata store and can be
//! elected granter.
//!
//! [`core`] holds the pure decision logic; [`shell`] performs the I/O. Both run on a single thread:
//! a `tokio` runtime drives the sockets and a `stakker` actor owns the core.

pub mod core;
pub mod settings;
pub mod shell;
