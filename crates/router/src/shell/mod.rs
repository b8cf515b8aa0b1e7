//! Carries bytes between sockets and the core. Decides nothing.

mod actor;
mod answer;
mod attempt;
mod calls;
mod clients;
mod connections;
mod handle;
mod log;
mod peers;
mod process;
mod readiness;

pub use log::{LogLevel, build_logger};
pub use process::{ProcessError, run};
