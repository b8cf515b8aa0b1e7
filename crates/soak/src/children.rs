//! Child processes of a run. Only these are signalled, by process id, and all of them are
//! killed when the driver drops them.

use crate::processor_limit::ProcessorLimit;
use eyre::{Result, WrapErr};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A child process, killed on drop.
pub(crate) struct Process {
    name: String,
    child: Child,
    limit: Option<ProcessorLimit>,
}

impl Process {
    /// Starts a program with its output appended to a log in `folder`.
    pub fn start(folder: &Path, name: &str, program: &Path, arguments: &[String]) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let output = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .wrap_err_with(|| format!("open {}", log.display()))?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stderr(output.try_clone()?)
            .stdout(output)
            .spawn()
            .wrap_err_with(|| format!("start {name}: {}", program.display()))?;
        let name = name.to_owned();
        Ok(Self {
            name,
            child,
            limit: None,
        })
    }

    /// Limits the processor time of the process.
    pub fn limit_processor(&mut self, limit: &ProcessorLimit) {
        limit.add(self.pid());
        self.limit = Some(limit.clone());
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Sends a signal if the process is still running.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        if self.has_ended() {
            return Ok(());
        }
        let pid = self.pid();
        if let Some(limit) = &self.limit {
            match signal {
                Signal::SIGSTOP => limit.set_held(pid, true),
                Signal::SIGCONT => limit.set_held(pid, false),
                _ => {}
            }
        }
        kill(pid, signal).wrap_err_with(|| format!("{signal} to {}", self.name))
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(limit) = &self.limit {
            limit.remove(self.pid());
        }
        // Both calls may fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of the router binary, in the same directory as this program.
pub(crate) fn router_program() -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("find the router's program")?;
    Ok(own.with_file_name("beamtray"))
}
