//! Reconstructs the timeline of a request or a key from the logs of many nodes.
//!
//! [`Line`] is a parsed log line. [`request_timeline`] and [`key_timeline`] select the
//! relevant lines in order of time, with the state that the node assumed at that time.

mod line;
mod timeline;

pub use line::Line;
pub use timeline::{TimelineEntry, key_timeline, request_timeline};
