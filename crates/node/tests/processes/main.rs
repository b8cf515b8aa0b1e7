//! Tests with real processes on loopback.

mod bad_input;
mod failures;
mod load;
mod planned_stop;
mod support;
mod thin_path;
