//! Process and network I/O around the core. Takes no routing decisions.

mod actor;
mod answer;
mod attempt;
mod calls;
mod clients;
mod connections;
mod handle;
mod held_body;
mod log;
mod log_rate;
mod metrics;
mod observer;
mod outputs;
mod peers;
mod probe;
mod process;
mod readiness;
mod reload;
mod sendings;
mod single_endpoint;
mod startup;
mod tenant_headers;
mod tunnel;

pub use log::{LogLevel, build_logger, dropped_lines};
pub use process::{ProcessError, run};
