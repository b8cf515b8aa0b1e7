//! The cases.

pub mod keep_alive;
pub mod standby;
pub mod surplus;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}
