//! The clock that a process decides by.
//!
//! A machine may be suspended for seconds. The steady clock, by which timers fire, does
//! not count that time; the boot clock does. Leases, holds, deadlines and the age of what
//! was heard are all counted from moments that other machines count from too, so they are
//! read off the boot clock. Counter-case: a granter that counts its lease on the steady
//! clock believes after 6 s asleep that it has it still, while another one has taken its
//! place and given its keys away.
//!
//! Timers may stay steady: they end late, never early, and what is due is looked at again
//! after each. [`SuspendDetector`] tells when that is needed.

mod boot;
mod suspend;

pub use boot::{BootClock, ClockSource, SystemClocks};
pub use suspend::SuspendDetector;
