//! The process clock and the suspend detector across suspensions of the machine.

use beamtray_clock::{BootClock, ClockSource, SuspendDetector, SystemClocks};
use beamtray_types::Time;
use std::cell::Cell;
use std::time::Duration;

/// A simulated machine with explicit running and suspended time.
#[derive(Default)]
struct Machine {
    monotonic: Cell<Duration>,
    suspended: Cell<Duration>,
}

impl Machine {
    fn run(&self, millis: u64) {
        let monotonic = self.monotonic.get() + Duration::from_millis(millis);
        self.monotonic.set(monotonic);
    }

    fn suspend(&self, millis: u64) {
        let suspended = self.suspended.get() + Duration::from_millis(millis);
        self.suspended.set(suspended);
    }
}

impl ClockSource for &Machine {
    fn boot(&self) -> Duration {
        self.monotonic.get() + self.suspended.get()
    }

    fn monotonic(&self) -> Duration {
        self.monotonic.get()
    }
}

#[test]
fn suspended_time_is_counted() {
    let machine = Machine::default();
    machine.run(5_000);
    let clock = BootClock::start(&machine);
    let lease_ends = Time(2_000_000);
    machine.run(500);
    assert_eq!(clock.time_until(lease_ends), Duration::from_millis(1_500));
    machine.suspend(6_000);
    assert_eq!(clock.now(), Time(6_500_000));
    assert!(clock.time_until(lease_ends).is_zero());
}

#[test]
fn suspension_is_reported_once() {
    let machine = Machine::default();
    let mut detector = SuspendDetector::new(&&machine);
    machine.run(10_000);
    assert_eq!(detector.suspended_for(&&machine), None);
    machine.suspend(6_000);
    machine.run(10);
    assert_eq!(
        detector.suspended_for(&&machine),
        Some(Duration::from_secs(6))
    );
    assert_eq!(detector.suspended_for(&&machine), None);
}

/// A machine that preempts the process after each clock reading while `preempts` is set.
#[derive(Default)]
struct Preempted {
    machine: Machine,
    preempts: Cell<bool>,
}

impl Preempted {
    fn read(&self, clock: impl Fn(&Machine) -> Duration) -> Duration {
        let reading = clock(&self.machine);
        if self.preempts.get() {
            self.machine.run(80);
        }
        reading
    }
}

impl ClockSource for Preempted {
    fn boot(&self) -> Duration {
        self.read(|machine| machine.boot())
    }

    fn monotonic(&self) -> Duration {
        self.read(|machine| machine.monotonic())
    }
}

#[test]
fn preemption_between_readings_is_not_a_suspension() {
    let source = Preempted::default();
    source.machine.run(1_000);
    let mut detector = SuspendDetector::new(&source);
    for preempts in [false, true, false, true, true, false] {
        source.preempts.set(preempts);
        assert_eq!(detector.suspended_for(&source), None);
    }
}

#[test]
fn system_clocks_are_readable() {
    let clocks = SystemClocks::new().expect("both clocks can be read");
    let detector = &mut SuspendDetector::new(&clocks);
    let clock = BootClock::start(clocks);
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now().since(before) >= Duration::from_millis(20));
    assert_eq!(detector.suspended_for(clock.source()), None);
}
