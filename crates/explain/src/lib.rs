//! Tells the story of a request, or of a key, from the lines of many nodes.
//!
//! [`Line`] is one parsed line, [`request_timeline`] and [`key_timeline`] put the
//! lines that matter in order, with what the node believed at that time.

mod line;
mod story;

pub use line::Line;
pub use story::{TimelineEntry, key_timeline, request_timeline};
