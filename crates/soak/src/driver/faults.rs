//! Injects faults and ends them.

use super::cluster::{Cluster, now};
use crate::checker::{DelayedDelivery, Disturbed, FaultEnd, PlannedStop};
use crate::message::{Command, StoreFaults};
use crate::plan::{PlannedFault, SoakFault};
use crate::proxy::LinkFault;
use beamtray_types::Time;
use eyre::Result;
use nix::sys::signal::Signal;
use std::time::Duration;

/// Response delay of a slow store in milliseconds.
const SLOW_STORE_MS: u32 = 200;
/// Additional latency of a slow link.
const SLOW_LINK: Duration = Duration::from_millis(120);
/// Percentage of lost responses.
const LOST_PERCENT: u32 = 30;
/// Percentage of spoiled answers.
const SPOILED_PERCENT: u32 = 10;
/// Rate limit that an upstream announces, in requests per 1000 seconds: less than half of what
/// it receives without a limit.
const ANNOUNCED_RATE_MILLI: u32 = 3_000;
/// Length of the pause that an upstream asks for, in milliseconds.
const PAUSE_MS: u32 = 3_000;
/// Age of the snapshot from which the store is restored, in milliseconds.
const SNAPSHOT_AGE_MS: u32 = 5_000;
/// How long watches receive nothing before the history is compacted.
const WATCH_SILENCE: Duration = Duration::from_secs(1);
/// How long a planned stop may take before the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// Which processes the checks consider disturbed by a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    Nobody,
    Some(Disturbed),
    AllRouters,
    RoutersAndUpstreams,
}

/// A fault in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveFault {
    pub fault: SoakFault,
    pub from: Time,
    until: Time,
    pub target: Target,
}

fn target(fault: SoakFault) -> Target {
    match fault {
        SoakFault::RouterKill(node)
        | SoakFault::RouterPause(node)
        | SoakFault::StoreCut(node)
        | SoakFault::StoreOneWay(node)
        | SoakFault::StoreReset(node)
        | SoakFault::StoreDelay(node) => Target::Some(Disturbed::Router(node)),
        SoakFault::KillAll => Target::AllRouters,
        SoakFault::PowerLoss(_) => Target::RoutersAndUpstreams,
        SoakFault::StoreDownLapse
        | SoakFault::StoreDown
        | SoakFault::StoreBusy
        | SoakFault::StoreSlow
        | SoakFault::StoreLost
        | SoakFault::StoreLate
        | SoakFault::StoreGoesBack
        | SoakFault::StoreCompact => Target::Some(Disturbed::Store),
        SoakFault::UpstreamKill(_)
        | SoakFault::UpstreamPause(_)
        | SoakFault::UpstreamCut(_)
        | SoakFault::UpstreamUnreachable(_)
        | SoakFault::UpstreamReset(_)
        | SoakFault::UpstreamDelay(_)
        | SoakFault::AnswersSpoiled(_)
        | SoakFault::AnswersLost(_) => Target::Some(Disturbed::Upstream),
        SoakFault::RouterStop(_)
        | SoakFault::RouterReload(_)
        | SoakFault::UpstreamDrain(_)
        | SoakFault::UpstreamInNeed(_)
        | SoakFault::UpstreamRests(_)
        | SoakFault::Configure => Target::Nobody,
    }
}

/// The zone whose upstreams a fault takes the power from.
fn lost_zone(fault: &SoakFault) -> Option<usize> {
    match fault {
        SoakFault::PowerLoss(zone) => Some(*zone),
        _ => None,
    }
}

impl Cluster {
    /// Whether any fault or planned stop is in progress.
    pub fn has_active_faults(&self) -> bool {
        let stopping = self.routers.iter().any(|slot| slot.stopping.is_some());
        stopping || !self.active.is_empty()
    }

    /// Starts a fault. Faults of a process that is down or suspended are skipped.
    pub fn inject(&mut self, now: Time, planned: &PlannedFault) -> Result<()> {
        let fault = planned.fault;
        if self.is_busy(fault) {
            return Ok(());
        }
        let lasts = match fault {
            SoakFault::StoreCompact => WATCH_SILENCE,
            _ => Duration::from_millis(planned.for_ms),
        };
        self.begin(now, fault)?;
        self.active.push(ActiveFault {
            fault,
            from: now,
            until: now + lasts,
            target: target(fault),
        });
        self.apply_states();
        Ok(())
    }

    /// Whether another fault already affects the target process.
    fn is_busy(&self, fault: SoakFault) -> bool {
        let down = |node: usize| {
            self.active.iter().any(|one| {
                matches!(one.fault, SoakFault::KillAll | SoakFault::PowerLoss(_))
                    || matches!(one.fault, SoakFault::RouterKill(other) | SoakFault::RouterPause(other) if other == node)
            })
        };
        let router = |node: usize| down(node) || self.routers[node].stopping.is_some();
        let upstream = |index: usize| {
            self.is_upstream_faulted(index) || self.upstreams[index].replaced_at.is_some()
        };
        match fault {
            SoakFault::RouterKill(node)
            | SoakFault::RouterPause(node)
            | SoakFault::RouterStop(node) => router(node),
            // A router may be told to reload its settings while it stops.
            SoakFault::RouterReload(node) => down(node),
            SoakFault::KillAll => (0..self.routers.len()).any(router),
            SoakFault::PowerLoss(zone) => {
                let upstreams = self.upstreams_of_zone(zone);
                let has_fault = |index: &usize| self.is_upstream_faulted(*index);
                (0..self.routers.len()).any(router) || upstreams.iter().any(has_fault)
            }
            SoakFault::UpstreamKill(index)
            | SoakFault::UpstreamPause(index)
            | SoakFault::UpstreamDrain(index) => upstream(index),
            _ => false,
        }
    }

    /// Whether a fault has ended or suspended the process of an upstream.
    pub fn is_upstream_faulted(&self, index: usize) -> bool {
        self.active.iter().any(|one| match one.fault {
            SoakFault::UpstreamKill(other)
            | SoakFault::UpstreamPause(other)
            | SoakFault::UpstreamDrain(other) => other == index,
            SoakFault::PowerLoss(zone) => self.zone_of_upstream(index) == zone,
            _ => false,
        })
    }

    /// Suspends all routers and the upstreams of a zone: their sockets stay open, and nothing
    /// answers on them. Their links are cut with [`Cluster::apply_states`].
    fn lose_power(&mut self, zone: usize) -> Result<()> {
        for node in 0..self.routers.len() {
            self.signal_router(node, Signal::SIGSTOP)?;
        }
        for index in self.upstreams_of_zone(zone) {
            self.signal_upstream(index, Signal::SIGSTOP)?;
        }
        Ok(())
    }

    /// Starts new processes in place of those that lost power. The kernel resets the old
    /// connections now, as machines do that know nothing of them.
    fn restore_power(&mut self, zone: usize) -> Result<()> {
        for slot in &mut self.routers {
            slot.process = None;
            slot.store_proxy.reset();
        }
        for index in self.upstreams_of_zone(zone) {
            self.upstreams[index].process = None;
            if let Some(links) = &self.upstreams[index].links {
                links.proxy.reset();
                links.store_proxy.reset();
            }
            self.upstream_ended(index);
            self.start_upstream(index)?;
        }
        for node in 0..self.routers.len() {
            self.start_router(node)?;
        }
        self.returns.push(now());
        Ok(())
    }

    fn begin(&mut self, now: Time, fault: SoakFault) -> Result<()> {
        match fault {
            SoakFault::RouterKill(node) => self.routers[node].process = None,
            SoakFault::KillAll => {
                for slot in &mut self.routers {
                    slot.process = None;
                }
            }
            SoakFault::PowerLoss(zone) => self.lose_power(zone)?,
            SoakFault::RouterPause(node) => self.signal_router(node, Signal::SIGSTOP)?,
            SoakFault::RouterStop(node) => {
                self.routers[node].stopping = Some(now);
                self.signal_router(node, Signal::SIGTERM)?;
            }
            SoakFault::RouterReload(node) => self.signal_router(node, Signal::SIGHUP)?,
            SoakFault::StoreReset(node) => self.routers[node].store_proxy.reset(),
            SoakFault::UpstreamKill(index) => {
                self.upstreams[index].process = None;
                self.upstream_ended(index);
            }
            SoakFault::UpstreamPause(index) => self.signal_upstream(index, Signal::SIGSTOP)?,
            SoakFault::UpstreamDrain(index) => self.signal_upstream(index, Signal::SIGTERM)?,
            SoakFault::UpstreamReset(index) => {
                if let Some(links) = &self.upstreams[index].links {
                    links.proxy.reset();
                }
            }
            SoakFault::AnswersLost(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::DropResponses(LOST_PERCENT));
            }
            SoakFault::AnswersSpoiled(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::SpoilAnswers(SPOILED_PERCENT));
            }
            SoakFault::UpstreamInNeed(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::AnnounceRate(Some(ANNOUNCED_RATE_MILLI)));
            }
            SoakFault::UpstreamRests(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::RequestPause(Some(PAUSE_MS)));
            }
            SoakFault::Configure => self.configure(),
            _ => {}
        }
        Ok(())
    }

    fn signal_router(&mut self, node: usize, signal: Signal) -> Result<()> {
        match &mut self.routers[node].process {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    fn signal_upstream(&mut self, index: usize, signal: Signal) -> Result<()> {
        match &mut self.upstreams[index].process {
            Some(process) => process.signal(signal),
            None => Ok(()),
        }
    }

    /// Ends faults whose time is over, and restarts routers that have stopped.
    pub fn end_due_faults(&mut self, at: Time) -> Result<()> {
        let mut over = Vec::new();
        let mut active = std::mem::take(&mut self.active);
        active.retain(|fault| {
            let is_over = at >= fault.until && self.can_end(fault.fault);
            if is_over {
                over.push(*fault);
            }
            !is_over
        });
        self.active = active;
        for fault in &over {
            self.end(fault.fault)?;
        }
        if !over.is_empty() {
            self.apply_states();
        }
        for fault in over {
            self.record_disturbance(&fault, now());
            self.record_fault_end(fault.fault);
        }
        self.collect_delayed_deliveries();
        self.restart_stopped_routers(at)
    }

    /// Whether a fault may end: a drain lasts until its process has exited.
    fn can_end(&mut self, fault: SoakFault) -> bool {
        match fault {
            SoakFault::UpstreamDrain(index) => {
                let process = self.upstreams[index].process.as_mut();
                process.is_none_or(|process| process.has_ended())
            }
            _ => true,
        }
    }

    fn end(&mut self, fault: SoakFault) -> Result<()> {
        match fault {
            SoakFault::RouterKill(node) => self.start_router(node)?,
            SoakFault::KillAll => {
                for node in 0..self.routers.len() {
                    self.start_router(node)?;
                }
                self.returns.push(now());
            }
            SoakFault::PowerLoss(zone) => self.restore_power(zone)?,
            SoakFault::RouterPause(node) => self.signal_router(node, Signal::SIGCONT)?,
            SoakFault::UpstreamKill(index) => self.start_upstream(index)?,
            SoakFault::UpstreamDrain(index) => {
                self.upstream_ended(index);
                self.start_upstream(index)?;
            }
            SoakFault::UpstreamPause(index) => self.signal_upstream(index, Signal::SIGCONT)?,
            SoakFault::AnswersLost(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::DropResponses(0));
            }
            SoakFault::AnswersSpoiled(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::SpoilAnswers(0));
            }
            SoakFault::UpstreamInNeed(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::AnnounceRate(None));
            }
            SoakFault::UpstreamRests(index) => {
                let name = self.upstream_name(index);
                self.send_command(&name, &Command::RequestPause(None));
            }
            SoakFault::StoreGoesBack => {
                self.send_command("store", &Command::RestoreSnapshot(SNAPSHOT_AGE_MS))
            }
            SoakFault::StoreCompact => self.send_command("store", &Command::Compact),
            _ => {}
        }
        Ok(())
    }

    /// Records the end of a fault after which a grant may arrive that its sender would no
    /// longer send.
    fn record_fault_end(&mut self, fault: SoakFault) {
        let upstream = match fault {
            SoakFault::RouterPause(_) => None,
            SoakFault::UpstreamCut(index) | SoakFault::UpstreamUnreachable(index) => {
                Some(self.upstream_name(index))
            }
            _ => return,
        };
        self.fault_ends.push(FaultEnd {
            upstream,
            at: now(),
        });
    }

    /// Records delayed deliveries to upstreams.
    pub fn collect_delayed_deliveries(&mut self) {
        for index in 0..self.upstreams.len() {
            let Some(links) = &self.upstreams[index].links else {
                continue;
            };
            let times = links.proxy.take_delayed_deliveries().into_iter();
            let upstream = self.upstream_name(index);
            let deliveries = times.map(|at| DelayedDelivery {
                upstream: upstream.clone(),
                at,
            });
            self.delayed_deliveries.extend(deliveries);
        }
    }

    fn restart_stopped_routers(&mut self, at: Time) -> Result<()> {
        for node in 0..self.routers.len() {
            let slot = &mut self.routers[node];
            let Some(begun) = slot.stopping else { continue };
            let ended = slot
                .process
                .as_mut()
                .is_none_or(|process| process.has_ended());
            if !ended && at.since(begun) < STOP_TIMEOUT {
                continue;
            }
            slot.stopping = None;
            slot.process = None;
            self.start_router(node)?;
            self.stops.push(PlannedStop {
                node,
                at: begun,
                until: now(),
            });
        }
        Ok(())
    }

    /// Sets the store and the links to the state that the active faults require.
    fn apply_states(&mut self) {
        let active: Vec<SoakFault> = self.active.iter().map(|one| one.fault).collect();
        let has = |fault: SoakFault| active.contains(&fault);
        let faults = StoreFaults {
            silent: has(SoakFault::StoreDown)
                || has(SoakFault::StoreDownLapse)
                || has(SoakFault::StoreGoesBack),
            lapse: has(SoakFault::StoreDownLapse),
            busy: has(SoakFault::StoreBusy),
            delay_ms: if has(SoakFault::StoreSlow) {
                SLOW_STORE_MS
            } else {
                0
            },
            lost_percent: if has(SoakFault::StoreLost) || has(SoakFault::StoreLate) {
                LOST_PERCENT
            } else {
                0
            },
            late: has(SoakFault::StoreLate),
            watches_silent: has(SoakFault::StoreCompact),
        };
        self.send_command("store", &Command::Store(faults));
        let lost_zones: Vec<usize> = active.iter().filter_map(lost_zone).collect();
        let is_dark = !lost_zones.is_empty();
        for (node, slot) in self.routers.iter().enumerate() {
            slot.store_proxy
                .set_fault(if is_dark || has(SoakFault::StoreCut(node)) {
                    LinkFault::cut()
                } else if has(SoakFault::StoreOneWay(node)) {
                    LinkFault::one_way()
                } else if has(SoakFault::StoreDelay(node)) {
                    LinkFault::delayed(SLOW_LINK)
                } else {
                    LinkFault::default()
                });
        }
        for (index, slot) in self.upstreams.iter().enumerate() {
            let Some(links) = &slot.links else {
                continue;
            };
            let is_dark = lost_zones.contains(&self.zone_of_upstream(index));
            let is_unreachable = is_dark || has(SoakFault::UpstreamUnreachable(index));
            links.store_proxy.set_fault(if is_unreachable {
                LinkFault::cut()
            } else {
                LinkFault::default()
            });
            let is_cut = is_unreachable || has(SoakFault::UpstreamCut(index));
            links.proxy.set_fault(if is_cut {
                LinkFault::cut()
            } else if has(SoakFault::UpstreamDelay(index)) {
                LinkFault::delayed(SLOW_LINK)
            } else {
                LinkFault::default()
            });
        }
    }
}
