//! The one place where the HTTP libraries are used: `tiny_http` to serve,
//! `ureq` to call.
//!
//! Both block, so they run on edge threads that only carry bytes and typed
//! messages; every decision is made elsewhere. Ambiguous framing and oversized
//! bodies are refused here, before anyone sees them.

mod client;
mod server;
mod target;

pub use client::{CallError, ClientConfig, HttpCall, HttpClient, HttpReply};
pub use server::{HttpRequest, HttpResponse, HttpServer, Responder, ServerConfig};
pub use target::Target;
