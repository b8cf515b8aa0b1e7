//! Nodes and upstreams that name the requests a second that they take.
//!
//! Seen: two holders of keys named 4.5 a second each and went on getting 12, from all of
//! eleven nodes that had passed such an answer on, each of which sent 1 to 8 in four seconds.
//! Cause: nobody read what the answers named, and no node knows what the others are about
//! to send. Proof: with permits lent by three nodes at a share of the rate each, all nodes
//! together stay below the rate over any four seconds below, and use it.

mod common;

use beamtray_catalog::{AdvertisedRate, RequestRate};
use beamtray_dispatch::{
    AttemptOutcome, Conclusion, Decision, Dispatcher, LimitWord, NodeHash, PermitReply,
    PermitRequest, RefusalReason, Ticket, UpstreamHash,
};
use common::*;
use quickcheck::{QuickCheck, TestResult};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const WINDOW_MS: u64 = 4_000;
/// Requests beyond the rate over the window.
const SLACK: f64 = 5.0;
/// How long an upstream works on a request.
const WORK_MS: u64 = 40;
/// When the upstream begins to name its rate.
const NAMED_MS: u64 = 6_000;
const LONGEST_DELAY_MS: u64 = 30;

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn limited(a_second: f64) -> AdvertisedRate {
    AdvertisedRate::Limited(RequestRate::new(a_second).expect("a rate"))
}

/// What one node has said to another.
enum Message {
    Limit(LimitWord),
    Ask(PermitRequest),
    Reply(PermitReply),
}

struct Sent {
    due: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// Nodes with requests for one upstream, and the words between them.
struct World {
    nodes: Vec<Dispatcher>,
    is_there: Vec<bool>,
    is_cut: Vec<bool>,
    random: ChaCha8Rng,
    directory: beamtray_catalog::Directory,
    word: AdvertisedRate,
    messages: Vec<Sent>,
    under_way: Vec<(u64, usize, Ticket)>,
    next: u64,
    /// When nodes that knew of the rate sent it requests.
    sent: Vec<u64>,
    refused: Vec<(u64, Conclusion)>,
    has_word: Vec<bool>,
}

impl World {
    fn new(seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            is_there: vec![true; nodes],
            is_cut: vec![false; nodes],
            random: ChaCha8Rng::seed_from_u64(seed),
            directory: directory(),
            word: AdvertisedRate::Unlimited,
            messages: Vec::new(),
            under_way: Vec::new(),
            next: 0,
            sent: Vec::new(),
            refused: Vec::new(),
            has_word: vec![false; nodes],
        };
        for node in 0..nodes {
            let dispatcher = world.start(0, node);
            world.nodes.push(dispatcher);
        }
        for node in 0..nodes {
            world.tell_members(0, node);
        }
        world
    }

    fn start(&mut self, millis: u64, node: usize) -> Dispatcher {
        let mut dispatcher = unconfigured_as(&name(node));
        dispatcher.configure(&configuration());
        assign_at(&mut dispatcher, millis, 1, held());
        dispatcher
    }

    fn members(&self) -> Vec<NodeHash> {
        let there = (0..self.is_there.len()).filter(|node| self.is_there[*node]);
        there.map(|node| NodeHash::of(&name(node))).collect()
    }

    fn tell_members(&mut self, millis: u64, node: usize) {
        let members = self.members();
        self.nodes[node].set_members(at(millis), members);
    }

    fn send(&mut self, millis: u64, from: usize, to: usize, message: Message) {
        const LOST_PERCENT: u32 = 5;
        if self.random.random_ratio(LOST_PERCENT, 100) {
            return;
        }
        let due = millis + self.random.random_range(1..LONGEST_DELAY_MS);
        self.messages.push(Sent {
            due,
            from,
            to,
            message,
        });
    }

    fn deliver(&mut self, millis: u64) {
        let due: Vec<Sent> = self
            .messages
            .extract_if(.., |sent| sent.due <= millis)
            .collect();
        for sent in due {
            let Sent { from, to, .. } = sent;
            if !self.is_there[to] || self.is_cut[to] || self.is_cut[from] {
                continue;
            }
            match sent.message {
                Message::Limit(word) => {
                    self.nodes[to].limit_told(at(millis), &word);
                    self.has_word[to] |= word.rate.is_some();
                }
                Message::Ask(request) => {
                    self.has_word[to] = true;
                    let reply = self.nodes[to].lend_permits(at(millis), &request);
                    self.send(millis, to, from, Message::Reply(reply));
                }
                Message::Reply(reply) => self.nodes[to].permits_lent(at(millis), &reply),
            }
        }
    }

    /// One millisecond; `arrives` tells whether a request comes to a node.
    fn step(
        &mut self,
        millis: u64,
        path: &str,
        key: Option<u16>,
        arrives: &dyn Fn(u64, usize) -> bool,
    ) {
        let now = at(millis);
        self.deliver(millis);
        let ended: Vec<_> = self
            .under_way
            .extract_if(.., |(due, ..)| *due <= millis)
            .collect();
        for (_, node, ticket) in ended {
            if !self.is_there[node] {
                continue;
            }
            self.nodes[node].rate_named(now, ticket, self.word);
            self.has_word[node] |= matches!(self.word, AdvertisedRate::Limited(_));
            let outcome = AttemptOutcome::Answered { success: true };
            self.nodes[node].ended(now, ticket, outcome);
        }
        for node in 0..self.nodes.len() {
            if self.is_there[node] {
                self.step_node(millis, node, path, key, arrives(millis, node));
            }
        }
    }

    fn step_node(&mut self, millis: u64, node: usize, path: &str, key: Option<u16>, arrives: bool) {
        let now = at(millis);
        self.nodes[node].expire(now);
        if arrives {
            self.next += 1;
            let admitted = self.nodes[node].admit(now, Ticket(self.next), &head(path, key));
            admitted.expect("it is admitted");
        }
        for decision in self.nodes[node].poll(now, &self.directory) {
            match decision {
                Decision::Forward(ticket, _) => {
                    if self.has_word[node] {
                        self.sent.push(millis);
                    }
                    self.under_way.push((millis + WORK_MS, node, ticket));
                }
                Decision::AskPermit(request) => {
                    let to = (0..self.nodes.len())
                        .find(|node| NodeHash::of(&name(*node)) == request.lender);
                    if let Some(to) = to {
                        self.send(millis, node, to, Message::Ask(request));
                    }
                }
                Decision::Conclude(_, ending) => self.refused.push((millis, ending.conclusion)),
                _ => {}
            }
        }
        let words = self.nodes[node].take_untold_limits(now);
        for word in words {
            for to in (0..self.nodes.len()).filter(|to| *to != node) {
                self.send(millis, node, to, Message::Limit(word));
            }
        }
    }

    /// Most requests in any window that begins after the rate was named.
    fn most_in_window(&self) -> usize {
        let windows = self.sent.iter().enumerate().map(|(first, begin)| {
            let within = self.sent[first..].iter();
            within.take_while(|at| **at < begin + WINDOW_MS).count()
        });
        windows.max().unwrap_or_default()
    }
}

/// Each node gets a request in so many milliseconds, now sooner and now later.
fn every(pause: u64) -> impl Fn(u64, usize) -> bool {
    move |millis, node| {
        let seed = millis << 8 | node as u64;
        ChaCha8Rng::seed_from_u64(seed).random_range(0..pause) == 0
    }
}

/// The keys' only holder names that rate while so many nodes get requests for it.
fn holder_in_need(nodes: usize, rate: f64, arrives: &dyn Fn(u64, usize) -> bool) -> World {
    let mut world = World::new(1, nodes);
    for millis in 0..NAMED_MS + lasts_ms(rate) {
        if millis == NAMED_MS {
            world.word = limited(rate);
        }
        world.step(millis, "/keyed/1", Some(7), arrives);
    }
    world
}

fn kept(world: &World, rate: f64) {
    let allowed = rate * WINDOW_MS as f64 / 1e3 + SLACK;
    let most = world.most_in_window();
    assert!((most as f64) < allowed, "{most} in 4 s, allowed {allowed}");
}

/// How long a rate is named: long enough for many requests.
fn lasts_ms(rate: f64) -> u64 {
    if rate < 2.0 { 120_000 } else { 20_000 }
}

/// Part of the rate that is used from five seconds after it was named.
fn used(world: &World, rate: f64) -> f64 {
    let first = NAMED_MS + 5_000;
    let sent = world.sent.iter().filter(|at| **at >= first).count();
    let seconds = (lasts_ms(rate) - 5_000) as f64 / 1e3;
    sent as f64 / seconds / rate
}

#[test]
fn all_nodes_together_keep_to_the_rate_and_use_it() {
    for (nodes, rate) in [
        (1, 4.5),
        (3, 4.5),
        (11, 4.5),
        (11, 0.5),
        (30, 4.5),
        (30, 50.0),
    ] {
        // Three times what it takes.
        let pause = (nodes as f64 * 1e3 / (rate * 3.0)) as u64;
        let world = holder_in_need(nodes, rate, &every(pause.max(1)));
        kept(&world, rate);
        let used = used(&world, rate);
        assert!(used >= 0.8, "{nodes} nodes use {used:.2} of {rate}");
    }
}

#[test]
fn one_node_that_has_all_the_requests_uses_the_rate() {
    for rate in [4.5, 50.0] {
        let pause = (1e3 / (rate * 2.0)) as u64;
        let all_at_one = move |millis: u64, node: usize| node == 4 && millis.is_multiple_of(pause);
        let world = holder_in_need(11, rate, &all_at_one);
        kept(&world, rate);
        let used = used(&world, rate);
        assert!(used >= 0.8, "it uses {used:.2} of {rate}");
    }
}

/// Half of what the upstream takes: hardly anything is refused.
#[test]
fn who_gets_less_than_it_takes_gets_all_of_it() {
    let world = holder_in_need(11, 20.0, &every(1_100));
    let (refused, all) = (world.refused.len(), world.next as usize);
    assert!(refused * 50 <= all, "{refused} of {all} are refused");
}

#[test]
fn a_lender_that_is_lost_costs_a_part_of_the_rate_for_a_while() {
    let rate = 9.0;
    for lost in 0..11 {
        let mut world = World::new(lost as u64, 11);
        for millis in 0..NAMED_MS + 20_000 {
            if millis == NAMED_MS {
                world.word = limited(rate);
            }
            if millis == NAMED_MS + 6_000 {
                world.is_there[lost] = false;
            }
            if millis == NAMED_MS + 8_000 {
                // Its entry is gone.
                for node in (0..11).filter(|node| *node != lost) {
                    world.tell_members(millis, node);
                }
            }
            world.step(millis, "/keyed/1", Some(7), &every(400));
        }
        kept(&world, rate);
        let used = used(&world, rate);
        assert!(used >= 0.8, "without {lost} {used:.2} are used");
    }
}

/// What no lender can give in time is refused at once, and says when there will be room.
#[test]
fn what_has_no_permit_in_time_is_refused_at_once() {
    let world = holder_in_need(3, 0.5, &every(300));
    let refused = world
        .refused
        .iter()
        .filter(|(at, _)| *at > NAMED_MS + 1_000);
    let mut times = Vec::new();
    for (_, conclusion) in refused {
        let Conclusion::Refused {
            reason,
            retry_after,
        } = conclusion
        else {
            panic!("nothing ran");
        };
        assert_eq!(*reason, RefusalReason::Limited);
        assert!(
            *retry_after >= Duration::from_millis(120),
            "{retry_after:?}"
        );
        times.push(*retry_after);
    }
    let (least, most) = (times.iter().min(), times.iter().max());
    let spread = most
        .expect("some are refused")
        .saturating_sub(*least.expect("as above"));
    assert!(
        spread > Duration::from_millis(500),
        "all come back within {spread:?}"
    );
}

/// An upstream that takes nothing gets a request now and then, the answer to which may tell
/// that it takes some again.
#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let mut world = holder_in_need(3, 0.0, &every(100));
    let trials = world
        .sent
        .iter()
        .filter(|at| **at > NAMED_MS + 1_000)
        .count();
    assert!((1..=30).contains(&trials), "{trials} in two minutes");
    world.word = AdvertisedRate::Unlimited;
    world.sent.clear();
    let begin = NAMED_MS + lasts_ms(0.0);
    for millis in begin..begin + 25_000 {
        world.step(millis, "/keyed/1", Some(7), &every(100));
    }
    let last = world
        .sent
        .iter()
        .filter(|at| **at >= begin + 24_000)
        .count();
    assert!(last >= 15, "{last} in the last second");
}

/// An upstream that names another rate with each answer gets no more than its highest allows,
/// and something.
#[test]
fn a_rate_that_changes_with_each_answer_is_kept_to() {
    let rates = [3.0, 9.0, 0.0];
    let highest = 9.0;
    let mut world = World::new(5, 5);
    for millis in 0..NAMED_MS + 20_000 {
        if millis >= NAMED_MS {
            world.word = limited(rates[millis as usize % rates.len()]);
        }
        if millis % 977 == 0 && millis > NAMED_MS {
            world.word = AdvertisedRate::Unreadable;
        }
        world.step(millis, "/keyed/1", Some(7), &every(200));
    }
    kept(&world, highest);
    // What it gets where it takes nothing: one in five seconds.
    let sent = world.sent.len();
    assert!(sent >= 4, "{sent} in 20 s");
}

/// Half of a pool is in need: the other half gets what is too much for it.
#[test]
fn requests_without_a_key_go_to_others_that_have_room() {
    let mut world = World::new(3, 5);
    for millis in 0..NAMED_MS + 12_000 {
        if millis == NAMED_MS {
            let word = LimitWord {
                upstream: UpstreamHash::of(&record("near", "pool", "here", 8_000).id),
                rate: RequestRate::new(4.0),
                age_ms: 0,
            };
            for node in 0..5 {
                world.nodes[node].limit_told(at(millis), &word);
            }
        }
        world.word = AdvertisedRate::Unlimited;
        world.step(millis, "/read/1", None, &every(250));
    }
    assert!(
        world.refused.is_empty(),
        "{} are refused",
        world.refused.len()
    );
}

#[test]
fn an_answer_to_an_older_request_changes_nothing() {
    let mut node = dispatcher();
    assign(&mut node, 1, held());
    node.set_members(at(0), vec![NodeHash::of("node")]);
    let holder = UpstreamHash::of(&record("holder", "keyed", "here", 8_003).id);
    let send = |node: &mut Dispatcher, millis: u64, number: u64| {
        node.admit(at(millis), Ticket(number), &head("/keyed/1", Some(7)))
            .expect("it is admitted");
        forwarded(node.poll(at(millis), &directory())).expect("it is sent");
    };
    send(&mut node, 2_000, 1);
    send(&mut node, 2_001, 2);
    send(&mut node, 2_002, 3);
    node.rate_named(at(2_100), Ticket(1), limited(100.0));
    // It was answered before.
    node.rate_named(at(2_101), Ticket(2), AdvertisedRate::Unlimited);
    assert_eq!(node.named_rate(holder), RequestRate::new(100.0));
    send(&mut node, 2_200, 4);
    node.rate_named(at(2_300), Ticket(4), AdvertisedRate::Unlimited);
    assert_eq!(node.named_rate(holder), None);
    node.rate_named(at(2_301), Ticket(3), limited(100.0));
    assert_eq!(node.named_rate(holder), None);
    // Nor does another node's word that is older.
    let word = |rate, age_ms| LimitWord {
        upstream: holder,
        rate,
        age_ms,
    };
    assert!(!node.limit_told(at(2_400), &word(RequestRate::new(5.0), 200)));
    assert!(node.limit_told(at(2_400), &word(RequestRate::new(5.0), 50)));
    // What is no rate tells nothing.
    node.rate_named(at(2_500), Ticket(3), AdvertisedRate::Unreadable);
    assert_eq!(node.named_rate(holder), RequestRate::new(5.0));
}

const HISTORIES: u64 = 100;

/// Drawn histories: loads, rates that change, nodes that end, start and are cut off.
fn keeps_to_the_rate(seed: u64) -> TestResult {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let nodes = random.random_range(1..12);
    let rate = [0.5, 2.0, 4.5, 12.0, 50.0][random.random_range(0..5)];
    let pause = random.random_range(20..400);
    let mut world = World::new(seed, nodes);
    world.word = limited(rate);
    world.has_word = vec![true; nodes];
    let mut changes = 0;
    for millis in 0..16_000 {
        // One change of the nodes within a window, which all hear of within a moment.
        if millis % 5_000 == 4_999 {
            let node = random.random_range(0..nodes);
            match random.random_range(0..3) {
                0 => world.is_there[node] = !world.is_there[node],
                1 => {
                    world.nodes[node] = world.start(millis, node);
                    world.is_there[node] = true;
                    // It knows of no rate before it hears of one.
                    world.has_word[node] = false;
                }
                _ => world.is_cut[node] = !world.is_cut[node],
            }
            changes += 1;
        }
        if millis % 5_000 == 500 && changes > 0 {
            for node in 0..nodes {
                world.tell_members(millis, node);
            }
        }
        world.step(millis, "/keyed/1", Some(7), &every(pause));
    }
    // Nodes that did not know sent without a limit up to the first answers.
    world.sent.retain(|at| *at > 1_000);
    let allowed = rate * WINDOW_MS as f64 / 1e3 + SLACK;
    if (world.most_in_window() as f64) < allowed {
        TestResult::passed()
    } else {
        let most = world.most_in_window();
        TestResult::error(format!("{nodes} nodes: {most} in 4 s, allowed {allowed}"))
    }
}

#[test]
fn drawn_histories_keep_to_the_rate() {
    QuickCheck::new()
        .tests(HISTORIES)
        .quickcheck(keeps_to_the_rate as fn(u64) -> TestResult);
}
