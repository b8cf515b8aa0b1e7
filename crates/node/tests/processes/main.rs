//! Integration tests with real processes on loopback.

mod bad_input;
mod bad_upstream;
mod failures;
mod load;
mod planned_stop;
mod support;
mod thin_path;
