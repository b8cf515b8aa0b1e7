//! Runs a fault plan: starts the processes, injects the faults, and checks the observations.

mod cluster;
mod faults;
mod ports;

pub use ports::Ports;

use crate::checker::{Verdict, check};
use crate::clock;
use crate::config::RECOVERY;
use crate::message::Command;
use crate::plan::Plan;
use crate::size::Size;
use crate::timeline::{Timeline, timeline};
use beamtray_types::Time;
use cluster::Cluster;
use eyre::{Result, WrapErr};
use std::path::PathBuf;
use std::time::Duration;

/// Time before the first fault, for the processes to start and settle.
const WARM_UP: Duration = Duration::from_secs(7);
/// Time after the recovery in which requests must be served.
const MEASURED: Duration = Duration::from_secs(6);
/// Time for the last requests to complete.
const LAST_REQUESTS: Duration = Duration::from_millis(2_500);
/// Interval at which due faults are checked.
const TICK: Duration = Duration::from_millis(5);
/// Interval at which upstreams that exited by themselves are sought.
const EXIT_POLL: Duration = Duration::from_millis(100);
/// A tick that takes longer than this shows that the machine did not schedule the processes.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
/// Minimum length of the fault phase.
const MIN_FAULT_TIME: Duration = Duration::from_secs(3);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run.
    pub length: Duration,
    /// Directory for logs and the plan of a failed run.
    pub folder: PathBuf,
    /// Requests per second.
    pub rate: u32,
    /// Numbers of processes.
    pub size: Size,
    /// Whether upstreams spoil answers and reject what they can't queue, and requests that must not
    /// be retried have keys.
    pub spoils: bool,
}

impl RunSettings {
    /// Draws the plan of the seed.
    pub fn plan(&self) -> Plan {
        let calm = WARM_UP + RECOVERY + MEASURED;
        let troubled = self.length.saturating_sub(calm).max(MIN_FAULT_TIME);
        let plan = Plan::draw(self.seed, troubled, self.size);
        if self.spoils {
            return plan.with_spoiled_answers(self.seed, troubled, self.size);
        }
        plan
    }
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Checks of the guarantees.
    pub verdict: Verdict,
    /// What became of the requests after the start of the traffic and each return of all routers.
    pub returns: Vec<Timeline>,
    /// Upstreams that exited by themselves.
    pub exits: usize,
}

/// Runs a plan and checks the outcome.
///
/// # Errors
/// When a process can't be started or signalled.
pub async fn run_plan(settings: &RunSettings, plan: &Plan) -> Result<RunOutcome> {
    std::fs::create_dir_all(&settings.folder)
        .wrap_err_with(|| format!("make {}", settings.folder.display()))?;
    let mut cluster = Cluster::start(settings, plan).await?;
    cluster.warm_up(WARM_UP).await?;
    let begin = clock::now();
    let end = begin + Duration::from_millis(plan.end_ms());
    let mut due: Vec<_> = plan.faults.clone();
    due.sort_by_key(|fault| std::cmp::Reverse(fault.at_ms));
    while clock::now() < end || cluster.has_active_faults() {
        let now = clock::now();
        while due
            .last()
            .is_some_and(|fault| at(begin, fault.at_ms) <= now)
        {
            if let Some(fault) = due.pop() {
                cluster.inject(now, &fault)?;
            }
        }
        cluster.end_due_faults(now)?;
        watched_sleep(&mut cluster, TICK).await?;
    }
    watched_sleep(&mut cluster, RECOVERY).await?;
    let recovered = clock::now();
    watched_sleep(&mut cluster, MEASURED).await?;
    cluster.send_command("caller", &Command::StopTraffic);
    watched_sleep(&mut cluster, LAST_REQUESTS).await?;
    cluster.require_routers()?;
    cluster.require_links()?;
    cluster.collect_reports().await?;
    let history = cluster.history(recovered);
    let returns = cluster.returns.iter();
    Ok(RunOutcome {
        verdict: check(&history),
        returns: returns.map(|at| timeline(&history.reports, *at)).collect(),
        exits: cluster.exits,
    })
}

/// Sleeps, and records stalls of the whole machine, since the routers are not responsible for
/// delays during a stall. Replaces upstreams that exit meanwhile.
async fn watched_sleep(cluster: &mut Cluster, time: Duration) -> Result<()> {
    let end = clock::now() + time;
    loop {
        let before = clock::now();
        let left = end.since(before);
        if left.is_zero() {
            return Ok(());
        }
        tokio::time::sleep(left.min(TICK)).await;
        let after = clock::now();
        if after.since(before) >= STALL_THRESHOLD {
            cluster.record_stall(before, after);
        }
        if polls(after) != polls(before) {
            cluster.replace_exited_upstreams(after)?;
        }
    }
}

/// Number of polls for exited upstreams that are due by `at`.
fn polls(at: Time) -> u128 {
    at.since(Time::ZERO).as_micros() / EXIT_POLL.as_micros()
}

fn at(begin: Time, millis: u64) -> Time {
    begin + Duration::from_millis(millis)
}

/// Removes faults as long as the run still fails; returns the shortest plan found.
///
/// # Errors
/// When a run can't be carried out.
pub async fn shorten(settings: &RunSettings, plan: &Plan) -> Result<Plan> {
    let mut plan = plan.clone();
    let mut index = 0;
    while index < plan.faults.len() {
        let shorter = plan.without(index);
        if run_plan(settings, &shorter).await?.verdict.is_clean() {
            index += 1;
        } else {
            plan = shorter;
        }
    }
    Ok(plan)
}
