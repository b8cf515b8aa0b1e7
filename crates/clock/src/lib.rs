//! The process clock, which includes time spent suspended.
//!
//! A machine may be suspended for seconds. The monotonic clock, which drives timers, does
//! not advance during that time; the boot clock does. Leases, holds, deadlines and the age
//! of received data are shared with other machines, so they are measured on the boot clock.
//! On the monotonic clock, a granter suspended for 6 s would still consider its lease valid
//! while another granter has replaced it and reassigned its keys.
//!
//! Timers may use the monotonic clock: they fire late, never early, and deadlines are
//! checked again whenever one fires. [`SuspendDetector`] reports when a suspension makes an
//! additional check necessary.

mod boot;
mod suspend;

pub use boot::{BootClock, ClockSource, SystemClocks};
pub use suspend::SuspendDetector;
