//! HTTP servers and client. The only crate that uses the HTTP libraries: `hyper`
//! to serve callers, `tiny_http` to serve operators and in stand-ins, `ureq` as
//! the client.
//!
//! The libraries run on I/O threads that exchange typed messages with the rest
//! of the process and contain no decision logic. Requests with ambiguous framing
//! and oversized requests are rejected here, before a handler sees them.

mod caller_server;
mod client;
mod framing;
mod message;
mod responder;
mod server;
mod target;
mod worker_server;

pub use caller_server::{CallerServer, CallerServerConfig};
pub use client::{CallError, ClientConfig, HttpCall, HttpClient, HttpReply};
pub use message::{HttpRequest, HttpResponse};
pub use responder::Responder;
pub use server::{HttpServer, ServerConfig};
pub use target::Target;
pub use worker_server::WorkerServer;
