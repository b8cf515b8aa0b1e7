//! The cases.

pub mod granter;
pub mod keep_alive;
pub mod standby;
pub mod surplus;
pub mod switching;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}
