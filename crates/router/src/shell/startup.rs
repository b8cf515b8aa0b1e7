//! A log line each second after the start of a process that tells what it waits for.
//!
//! Bounded: the lines end a while after the start, by when a node serves or another line says why
//! it does not.

use crate::shell::handle::Shared;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of the lines.
const INTERVAL: Duration = Duration::from_secs(1);
/// Number of lines after a start.
const LINES: u32 = 30;
/// Length of one sleep; how much longer it takes shows how late the process gets its processor.
const STEP: Duration = Duration::from_millis(50);

/// Tells each second what the process waits for.
pub(crate) async fn report_waits(shared: Rc<Shared>) {
    for _ in 0..LINES {
        let late = sleep_and_measure().await;
        let reporter = shared.clone();
        shared.inspect(move |core| {
            let waits = core.waits(reporter.now());
            reporter.observer.waits(&waits, late);
        });
    }
}

/// Sleeps for the interval; returns by how much the latest of its steps ended late.
async fn sleep_and_measure() -> Duration {
    let begin = Instant::now();
    let mut most_late = Duration::ZERO;
    while begin.elapsed() < INTERVAL {
        let due = Instant::now() + STEP;
        tokio::time::sleep_until(due.into()).await;
        most_late = most_late.max(due.elapsed());
    }
    most_late
}
