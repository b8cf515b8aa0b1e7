//! Plays a plan: starts the processes, harms them, and judges what they saw.

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
use beamtray_types::Time;
use cluster::Cluster;
use eyre::{Result, WrapErr};
use std::path::PathBuf;
use std::time::Duration;

/// Time before the first fault.
const WARM_UP: Duration = Duration::from_secs(7);
/// Requests after the recovery that are counted.
const MEASURED: Duration = Duration::from_secs(6);
/// Time for the last requests to end.
const LAST_REQUESTS: Duration = Duration::from_millis(2_500);
/// Between looks at what is due.
const TICK: Duration = Duration::from_millis(5);
/// A step that takes so long shows that the machine had no time for its processes.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
/// Least time of troubles.
const MIN_FAULT_TIME: Duration = Duration::from_secs(3);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Its seed.
    pub seed: u64,
    /// Its length.
    pub length: Duration,
    /// Where logs and a broken run's plan go.
    pub folder: PathBuf,
    /// Requests a second.
    pub rate: u32,
    /// How many processes.
    pub size: Size,
}

impl RunSettings {
    /// The plan of the seed.
    pub fn plan(&self) -> Plan {
        let calm = WARM_UP + RECOVERY + MEASURED;
        let troubled = self.length.saturating_sub(calm).max(MIN_FAULT_TIME);
        Plan::draw(self.seed, troubled, self.size)
    }
}

/// Plays a plan and judges it.
///
/// # Errors
/// When a process can't be started or told something.
pub async fn run_plan(settings: &RunSettings, plan: &Plan) -> Result<Verdict> {
    std::fs::create_dir_all(&settings.folder)
        .wrap_err_with(|| format!("make {}", settings.folder.display()))?;
    let mut cluster = Cluster::start(settings).await?;
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
        watched_sleep(&mut cluster, TICK).await;
    }
    watched_sleep(&mut cluster, RECOVERY).await;
    let recovered = clock::now();
    watched_sleep(&mut cluster, MEASURED).await;
    cluster.send_command("caller", &Command::StopTraffic);
    watched_sleep(&mut cluster, LAST_REQUESTS).await;
    cluster.require_routers()?;
    Ok(check(&cluster.history(recovered)))
}

/// Sleeps, and notes when the machine ran nobody meanwhile: what was late then is not the
/// routers' doing.
async fn watched_sleep(cluster: &mut Cluster, time: Duration) {
    let end = clock::now() + time;
    loop {
        let before = clock::now();
        let left = end.since(before);
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(TICK)).await;
        let after = clock::now();
        if after.since(before) >= STALL_THRESHOLD {
            cluster.record_stall(before, after);
        }
    }
}

fn at(begin: Time, millis: u64) -> Time {
    begin + Duration::from_millis(millis)
}

/// Drops faults as long as the run still fails; the shortest plan found.
///
/// # Errors
/// When a run can't be played.
pub async fn shorten(settings: &RunSettings, plan: &Plan) -> Result<Plan> {
    let mut plan = plan.clone();
    let mut index = 0;
    while index < plan.faults.len() {
        let shorter = plan.without(index);
        if run_plan(settings, &shorter).await?.is_clean() {
            index += 1;
        } else {
            plan = shorter;
        }
    }
    Ok(plan)
}
