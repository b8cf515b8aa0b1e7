//! Limits the processor time of processes by suspending them in short turns.
//!
//! Works like a quota: a process runs at full speed until its time is used up, and is then
//! suspended until it has some again. A process that a fault suspends is not resumed here.

use nix::sys::signal::{Signal, kill};
use nix::time::{ClockId, clock_getcpuclockid, clock_gettime};
use nix::unistd::Pid;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which used processor time is read.
const INTERVAL: Duration = Duration::from_millis(4);
/// Period whose processor time may be used at once.
const PERIOD: Duration = Duration::from_millis(100);

struct Limited {
    clock: ClockId,
    used: Duration,
    /// Processor time left, in seconds; negative after an overrun.
    left_s: f64,
    is_suspended: bool,
    /// Whether a fault suspends the process.
    is_held: bool,
}

type Processes = Mutex<HashMap<Pid, Limited>>;

/// Limits the processor time of registered processes until it is dropped.
#[derive(Clone)]
pub(crate) struct ProcessorLimit {
    processes: Arc<Processes>,
}

fn lock(processes: &Processes) -> MutexGuard<'_, HashMap<Pid, Limited>> {
    processes.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProcessorLimit {
    /// Starts the thread that limits each process to `percent` of a core.
    pub fn start(percent: u32) -> Self {
        let processes = Arc::<Processes>::default();
        let weak = Arc::downgrade(&processes);
        thread::spawn(move || run(&weak, f64::from(percent) / 100.0));
        Self { processes }
    }

    /// Limits a process from now on.
    pub fn add(&self, pid: Pid) {
        let Ok(clock) = clock_getcpuclockid(pid) else {
            return;
        };
        let limited = Limited {
            clock,
            used: Duration::ZERO,
            left_s: 0.0,
            is_suspended: false,
            is_held: false,
        };
        lock(&self.processes).insert(pid, limited);
    }

    /// Forgets a process. Called before it is reaped, since its id may be used again after that.
    pub fn remove(&self, pid: Pid) {
        lock(&self.processes).remove(&pid);
    }

    /// Sets whether a fault suspends a process, before the signal that does so.
    pub fn set_held(&self, pid: Pid, is_held: bool) {
        if let Some(limited) = lock(&self.processes).get_mut(&pid) {
            limited.is_held = is_held;
            limited.is_suspended = false;
        }
    }
}

fn run(processes: &Weak<Processes>, share: f64) {
    let mut last = Instant::now();
    while let Some(processes) = processes.upgrade() {
        let now = Instant::now();
        let elapsed = now - last;
        last = now;
        for (pid, limited) in lock(&processes).iter_mut() {
            limited.review(*pid, elapsed, share);
        }
        drop(processes);
        thread::sleep(INTERVAL);
    }
}

impl Limited {
    fn review(&mut self, pid: Pid, elapsed: Duration, share: f64) {
        let Ok(used) = clock_gettime(self.clock).map(Duration::from) else {
            return;
        };
        let spent = used.saturating_sub(self.used);
        self.used = used;
        let most = share * PERIOD.as_secs_f64();
        self.left_s = (self.left_s + share * elapsed.as_secs_f64()).min(most);
        self.left_s -= spent.as_secs_f64();
        if self.is_held {
            return;
        }
        let must_wait = self.left_s < 0.0;
        if must_wait != self.is_suspended {
            let signal = if must_wait {
                Signal::SIGSTOP
            } else {
                Signal::SIGCONT
            };
            // Fails only if the process has just exited.
            let _ = kill(pid, signal);
            self.is_suspended = must_wait;
        }
    }
}
