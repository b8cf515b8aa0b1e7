//! Rates that upstreams name.

mod known;

pub(crate) use known::KnownLimits;
pub use known::LimitNotice;
