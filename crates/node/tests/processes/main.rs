//! Tests with real processes on loopback.

mod failures;
mod load;
mod support;
mod thin_path;
