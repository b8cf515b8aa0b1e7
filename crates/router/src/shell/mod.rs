//! Carries bytes between sockets and the core. Decides nothing.

mod actor;
mod answer;
mod attempt;
mod calls;
mod clients;
mod connections;
mod handle;
mod log;
mod metrics;
mod observer;
mod outputs;
mod peers;
mod probe;
mod process;
mod rate;
mod readiness;
mod reload;
mod small_server;

pub use log::{LogLevel, build_logger, dropped_lines};
pub use process::{ProcessError, run};
