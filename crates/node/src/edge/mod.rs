//! I/O threads: HTTP servers and clients that pass typed messages to and from the
//! event loop and make no decisions.

mod callers;
mod operators;
mod platform;
mod responders;
mod upstreams;

pub(crate) use callers::serve_callers;
pub(crate) use operators::{operator_response, serve_operators};
pub(crate) use platform::PlatformClient;
pub(crate) use responders::ResponderPool;
pub(crate) use upstreams::UpstreamClient;
