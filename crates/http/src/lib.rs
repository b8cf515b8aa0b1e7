//! The one place where the HTTP libraries are used: `hyper` to serve callers,
//! `tiny_http` to serve operators and in stand-ins, `ureq` to call.
//!
//! They run on edge threads that only carry bytes and typed messages; every
//! decision is made elsewhere. Ambiguous framing and oversized requests are
//! refused here, before anyone sees them.

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
