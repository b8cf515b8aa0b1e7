//! Tests that placement assigns every slice, moves few and splits hot ones.

use beamtray_placement::{Change, PlacementInput, Policy, SliceLoad, imbalance, plan};
use beamtray_types::{ServerName, SliceRange};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_202;
const SLICES_PER_SERVER: u32 = 8;

fn servers(count: usize) -> Vec<ServerName> {
    (0..count)
        .map(|number| ServerName(format!("s{number}")))
        .collect()
}

fn input(slices: Vec<SliceLoad>, available: Vec<ServerName>) -> PlacementInput {
    PlacementInput {
        slices,
        available,
        unresponsive: Vec::new(),
        move_cost: 0.05,
        slices_per_server: SLICES_PER_SERVER,
        policy: Policy::Balanced,
        allow_balance: true,
    }
}

/// Slices assigned round-robin, with the rate given for each position.
fn round_robin(servers: &[ServerName], rate: impl Fn(usize) -> f64) -> Vec<SliceLoad> {
    let count = servers.len() as u32 * SLICES_PER_SERVER;
    let ranges = SliceRange::split_evenly(count).into_iter().enumerate();
    ranges
        .map(|(position, range)| SliceLoad {
            range,
            owner: Some(servers[position % servers.len()].clone()),
            moving: false,
            rate: rate(position),
            hot_hash: None,
        })
        .collect()
}

/// Applies planned changes until none is left; returns the number of moves.
fn apply_until_stable(input: &mut PlacementInput) -> usize {
    let mut moves = 0;
    for _ in 0..500 {
        let changes = plan(input);
        if changes.is_empty() {
            return moves;
        }
        for change in changes {
            moves += usize::from(matches!(change, Change::Move { .. }));
            apply(input, change);
        }
    }
    moves
}

fn apply(input: &mut PlacementInput, change: Change) {
    let position = |first: u64, input: &PlacementInput| {
        input
            .slices
            .iter()
            .position(|slice| slice.range.first == first)
            .expect("a slice begins at this hash")
    };
    match change {
        Change::Place { first, to } | Change::Move { first, to } => {
            let position = position(first, input);
            input.slices[position].owner = Some(to);
        }
        Change::Split { first, at } => {
            let position = position(first, input);
            let mut upper = input.slices[position].clone();
            input.slices[position].range.last = at - 1;
            upper.range.first = at;
            input.slices[position].rate /= 2.0;
            upper.rate /= 2.0;
            input.slices.insert(position + 1, upper);
        }
        Change::Merge { first } => {
            let position = position(first, input);
            let upper = input.slices.remove(position + 1);
            input.slices[position].range.last = upper.range.last;
            input.slices[position].rate += upper.rate;
        }
    }
}

#[test]
fn unowned_slices_are_spread_evenly() {
    let servers = servers(5);
    let mut slices = round_robin(&servers, |_| 0.0);
    for slice in &mut slices {
        slice.owner = None;
    }
    let mut input = input(slices, servers.clone());
    apply_until_stable(&mut input);
    assert!(imbalance(&input.slices, &servers).keys < 1.01);
}

#[test]
fn a_lost_server_moves_only_its_own_slices() {
    let servers = servers(6);
    let mut input = input(round_robin(&servers, |_| 50.0), servers[1..].to_vec());
    let moves = apply_until_stable(&mut input);
    let held = SLICES_PER_SERVER as usize;
    assert!(moves <= held * 12 / 10, "{moves} moves for {held} slices");
    assert!(
        input
            .slices
            .iter()
            .all(|slice| slice.owner.as_ref() != Some(&servers[0]))
    );
}

#[test]
fn a_new_server_gets_its_share_and_little_else_moves() {
    let all = servers(6);
    let mut input = input(round_robin(&all[..5], |_| 50.0), all.clone());
    let moves = apply_until_stable(&mut input);
    let share = 5 * SLICES_PER_SERVER as usize / 6;
    assert!(
        moves <= share * 12 / 10,
        "{moves} moves for a share of {share}"
    );
    assert!(imbalance(&input.slices, &all).load < 1.3);
}

#[test]
fn an_unresponsive_server_keeps_its_slices_and_gets_no_more() {
    let servers = servers(4);
    let mut input = input(round_robin(&servers, |_| 50.0), servers[1..].to_vec());
    input.unresponsive = vec![servers[0].clone()];
    assert!(plan(&input).is_empty());
}

#[test]
fn random_load_variation_causes_no_moves() {
    let servers = servers(10);
    // A few unevenly distributed requests per second do not justify a move.
    let input = input(
        round_robin(&servers, |position| (position % 3) as f64 * 0.1),
        servers.clone(),
    );
    assert!(plan(&input).is_empty());
}

#[test]
fn a_hot_slice_is_split_at_its_hot_key() {
    let servers = servers(4);
    let mut slices = round_robin(
        &servers,
        |position| if position == 3 { 4_000.0 } else { 10.0 },
    );
    let hot = slices[3].range.first + 12_345;
    slices[3].hot_hash = Some(hot);
    let changes = plan(&input(slices, servers));
    let split = changes.iter().find_map(|change| match change {
        Change::Split { at, .. } => Some(*at),
        _ => None,
    });
    assert_eq!(split, Some(hot));
}

#[test]
fn a_high_cost_keeps_slices_where_they_are() {
    let servers = servers(4);
    let load = |position: usize| {
        if position.is_multiple_of(4) {
            140.0
        } else {
            100.0
        }
    };
    let moves = |cost| {
        let mut input = input(round_robin(&servers, load), servers.clone());
        input.move_cost = cost;
        apply_until_stable(&mut input)
    };
    assert!(
        moves(10.0) < moves(0.0),
        "{} and {}",
        moves(10.0),
        moves(0.0)
    );
}

/// After any server is lost, the slices still partition the hash space and each
/// has an available owner.
#[test]
fn slices_cover_the_hash_space_exactly_once() {
    fn covers(rates: Vec<u16>, gone: u8) -> bool {
        let all = servers(5);
        let rate = |position: usize| rates.get(position).map_or(1.0, |rate| f64::from(*rate));
        let gone = usize::from(gone % 5);
        let mut available = all.clone();
        available.remove(gone);
        let mut input = input(round_robin(&all, rate), available.clone());
        apply_until_stable(&mut input);
        let mut next = Some(0u64);
        for slice in &input.slices {
            if next != Some(slice.range.first) {
                return false;
            }
            next = slice.range.last.checked_add(1);
        }
        let owned = |slice: &SliceLoad| slice.owner.as_ref().is_some_and(|o| available.contains(o));
        next.is_none() && input.slices.iter().all(owned)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .quickcheck(covers as fn(Vec<u16>, u8) -> bool);
}
