//! `beamtray-grantsearch`: searches one scope and prints the result.

use beamtray_grantsearch::{Faults, Limits, Scope, Transport, search};
use eyre::{Result, eyre};
use gumdrop::Options;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "most steps of a history", default = "10", no_short)]
    depth: usize,
    #[options(help = "most states", default = "2000000", no_short)]
    states: usize,
    #[options(help = "upstreams, 2 or 3", default = "2", no_short)]
    upstreams: usize,
    #[options(help = "ranges, 1 or 2", default = "1", no_short)]
    ranges: usize,
    #[options(
        help = "connections are closed in the ordinary way, not reset",
        no_short
    )]
    plain_close: bool,
    #[options(
        help = "how long copies live after a reset, in ms; the granter counts 300",
        default = "300",
        no_short
    )]
    copy_life: u64,
    #[options(
        help = "how long the granter counts with an order after it gave it up, in ms",
        default = "300",
        no_short
    )]
    transit: u64,
    #[options(
        help = "how long they live after the end of their sender, in ms; as above if not given",
        no_short
    )]
    copy_life_after_end: Option<u64>,
    #[options(help = "a node is a standby", no_short)]
    standby: bool,
    #[options(help = "most cuts", default = "1", no_short)]
    cuts: u8,
    #[options(help = "most orders held up without a cut", default = "0", no_short)]
    messages: u8,
    #[options(
        help = "most orders that an upstream carries out late, without an answer",
        default = "0",
        no_short
    )]
    late: u8,
    #[options(help = "most upstreams that stand still", default = "0", no_short)]
    stands: u8,
    #[options(
        help = "a grant is only written to a process that has just answered",
        no_short
    )]
    asks_first: bool,
    #[options(help = "most restarts under the same id", default = "0", no_short)]
    same_id: u8,
    #[options(help = "most restarts under another id", default = "0", no_short)]
    new_id: u8,
    #[options(help = "most upstreams that drain", default = "0", no_short)]
    drains: u8,
    #[options(help = "most ends of a granter", default = "0", no_short)]
    ends: u8,
    #[options(help = "most granters that stand still", default = "0", no_short)]
    freezes: u8,
    #[options(help = "most outages of the store", default = "0", no_short)]
    store_outages: u8,
    #[options(help = "most rollbacks of the store", default = "0", no_short)]
    rollbacks: u8,
    #[options(help = "a rollback may lose all records", no_short)]
    loses_all_records: bool,
    #[options(help = "all processes are lost with a granter that ends", no_short)]
    loses_all_processes: bool,
    #[options(help = "check that keys have an owner within so many ms", no_short)]
    owned_within: Option<u64>,
    #[options(
        help = "longest time that passes in one step, in ms",
        default = "3000",
        no_short
    )]
    longest_pass: u64,
    #[options(
        help = "count also grants that the rule excludes for a path that healed just before",
        no_short
    )]
    counts_excluded: bool,
    #[options(
        help = "copies don't reach an upstream that was started again",
        no_short
    )]
    lost_by_restarts: bool,
    #[options(
        help = "an upstream that was started again under its id needs a higher token",
        no_short
    )]
    tells_lives_apart: bool,
    #[options(
        help = "switch a guard of the granter off; may be given several times",
        no_short
    )]
    without: Vec<String>,
}

fn scope(arguments: &Arguments) -> Result<Scope> {
    let lifetime = Duration::from_millis(arguments.copy_life);
    let after_end = arguments.copy_life_after_end.map(Duration::from_millis);
    let transport = if arguments.plain_close {
        Transport::PLAIN_CLOSE
    } else {
        Transport {
            after_timeout: Some(lifetime),
            after_process_exit: Some(after_end.unwrap_or(lifetime)),
            reaches_next_process: true,
        }
    };
    let transport = Transport {
        reaches_next_process: !arguments.lost_by_restarts,
        ..transport
    };
    let mut scope = Scope::new(transport);
    scope.timing.transit = Duration::from_millis(arguments.transit);
    scope.upstreams = arguments.upstreams.clamp(2, 3);
    scope.ranges = arguments.ranges.clamp(1, 2);
    scope.standby = arguments.standby;
    scope.probe_before_grant = arguments.asks_first;
    scope.owned_within = arguments.owned_within.map(Duration::from_millis);
    scope.max_time_step = Duration::from_millis(arguments.longest_pass);
    scope.distinguish_restarts = arguments.tells_lives_apart;
    scope.loses_all_records = arguments.loses_all_records;
    scope.loses_all_processes = arguments.loses_all_processes;
    scope.count_excluded = arguments.counts_excluded;
    scope.faults = Faults {
        cuts: arguments.cuts,
        delayed_messages: arguments.messages,
        deferred_orders: arguments.late,
        upstream_pauses: arguments.stands,
        restarts_same_id: arguments.same_id,
        restarts_new_id: arguments.new_id,
        drains: arguments.drains,
        granter_exits: arguments.ends,
        granter_pauses: arguments.freezes,
        store_outages: arguments.store_outages,
        rollbacks: arguments.rollbacks,
    };
    for guard in &arguments.without {
        let guards = &mut scope.timing.guards;
        let guard = match guard.as_str() {
            "records_first" => &mut guards.records_first,
            "waits_for_lapse" => &mut guards.waits_for_lapse,
            "respects_predecessor" => &mut guards.respects_predecessor,
            "counts_unanswered" => &mut guards.counts_unanswered,
            "waits_for_doubt" => &mut guards.waits_for_doubt,
            "waits_for_standbys" => &mut guards.waits_for_standbys,
            "fences_lost_holders" => &mut guards.fences_lost_holders,
            "renews_tokens" => &mut guards.renews_tokens,
            "doubts_records" => &mut guards.doubts_records,
            "fences_all_upstreams" => &mut guards.fences_all_upstreams,
            "suspends_renewals" => &mut guards.suspends_renewals,
            "assumes_grants_in_flight" => &mut guards.assumes_grants_in_flight,
            other => return Err(eyre!("there is no guard {other}")),
        };
        *guard = false;
    }
    Ok(scope)
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse_args_default_or_exit();
    let scope = scope(&arguments)?;
    let limits = Limits {
        depth: arguments.depth,
        states: arguments.states,
    };
    let begin = Instant::now();
    let search = search(&scope, limits);
    println!("{search}");
    println!("{:.1} s", begin.elapsed().as_secs_f64());
    Ok(match search.found() {
        Some(_) => ExitCode::FAILURE,
        None => ExitCode::SUCCESS,
    })
}
