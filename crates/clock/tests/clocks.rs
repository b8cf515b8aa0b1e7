//! The process's clock where the steady one stands still.

use beamtray_clock::{BootClock, ClockSource, SuspendDetector, SystemClocks};
use beamtray_types::Time;
use std::cell::Cell;
use std::time::Duration;

/// A machine that runs and is suspended as told.
#[derive(Default)]
struct Machine {
    monotonic: Cell<Duration>,
    asleep: Cell<Duration>,
}

impl Machine {
    fn run(&self, millis: u64) {
        let monotonic = self.monotonic.get() + Duration::from_millis(millis);
        self.monotonic.set(monotonic);
    }

    fn suspend(&self, millis: u64) {
        let asleep = self.asleep.get() + Duration::from_millis(millis);
        self.asleep.set(asleep);
    }
}

impl ClockSource for &Machine {
    fn boot(&self) -> Duration {
        self.monotonic.get() + self.asleep.get()
    }

    fn monotonic(&self) -> Duration {
        self.monotonic.get()
    }
}

#[test]
fn time_asleep_counts() {
    let machine = Machine::default();
    machine.run(5_000);
    let clock = BootClock::start(&machine);
    let lease_ends = Time(2_000_000);
    machine.run(500);
    assert_eq!(clock.until(lease_ends), Duration::from_millis(1_500));
    machine.suspend(6_000);
    assert_eq!(clock.now(), Time(6_500_000));
    assert!(clock.until(lease_ends).is_zero());
}

#[test]
fn a_suspension_is_noticed_once() {
    let machine = Machine::default();
    let mut watch = SuspendDetector::new(&&machine);
    machine.run(10_000);
    assert_eq!(watch.suspended_for(&&machine), None);
    machine.suspend(6_000);
    machine.run(10);
    assert_eq!(watch.suspended_for(&&machine), Some(Duration::from_secs(6)));
    assert_eq!(watch.suspended_for(&&machine), None);
}

/// A machine that gives its process no processor after some readings.
#[derive(Default)]
struct Interrupted {
    machine: Machine,
    pauses: Cell<bool>,
}

impl Interrupted {
    fn read(&self, clock: impl Fn(&Machine) -> Duration) -> Duration {
        let reading = clock(&self.machine);
        if self.pauses.get() {
            self.machine.run(80);
        }
        reading
    }
}

impl ClockSource for Interrupted {
    fn boot(&self) -> Duration {
        self.read(|machine| machine.boot())
    }

    fn monotonic(&self) -> Duration {
        self.read(|machine| machine.monotonic())
    }
}

#[test]
fn a_pause_between_two_readings_is_no_suspension() {
    let source = Interrupted::default();
    source.machine.run(1_000);
    let mut watch = SuspendDetector::new(&source);
    for pauses in [false, true, false, true, true, false] {
        source.pauses.set(pauses);
        assert_eq!(watch.suspended_for(&source), None);
    }
}

#[test]
fn the_system_has_both_clocks() {
    let clocks = SystemClocks::new().expect("both clocks can be read");
    let watch = &mut SuspendDetector::new(&clocks);
    let clock = BootClock::start(clocks);
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    assert!(clock.now().since(before) >= Duration::from_millis(20));
    assert_eq!(watch.suspended_for(clock.source()), None);
}
