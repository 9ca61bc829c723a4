//! Simulation: one planner that places the model requests of all instances, compared with instances
//! that each place their own.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use policy::{
    backlog::{
        Queue,
        Work, //
    },
    belief::{
        Holder,
        Millis,
        Table, //
    },
    choice::{
        Candidate,
        Request,
        Scratch,
        pick, //
    },
    inflow::Inflow,
    pace::Pace,
    prefix::{
        BLOCK_TOKENS,
        Chain,
        name_hash, //
    }, //
};

const ENGINES: usize = 30;
const INSTANCES: usize = 40;
const PREFIXES: u64 = 120;
/// Cache capacity of an engine, in tokens.
const CAPACITY: f32 = 150_000.0;
const BLOCK_SECONDS: f32 = 0.045;
const PACE: Pace = Pace {
    base: 0.0,
    block: BLOCK_SECONDS,
    fetch: 0.0,
};
/// Interval between requests; without any cache hit the engines are busy about half of the time.
const INTERVAL_MS: Millis = 25;
const REQUESTS: u64 = 1_600;

/// The actual state of an engine.
struct Engine {
    name: String,
    /// Prefixes with their length in tokens, least recently used first.
    cached: Vec<(u64, u64)>,
    /// Time at which the engine becomes idle, in seconds.
    busy_until: f32,
}

impl Engine {
    /// Computes the prefix, unless it is cached, and the `suffix` tokens that are specific to the
    /// request; returns the number of blocks computed.
    fn compute(&mut self, prefix: u64, tokens: u64, suffix: u64) -> f32 {
        let known = self.cached.iter().position(|(cached, _)| *cached == prefix);
        let missing = if known.is_some() { 0 } else { tokens };
        if let Some(index) = known {
            self.cached.remove(index);
        }
        self.cached.push((u64::MAX, suffix));
        self.cached.push((prefix, tokens));
        while self.cached.iter().map(|(_, tokens)| tokens).sum::<u64>() > CAPACITY as u64 {
            self.cached.remove(0);
        }
        (missing + suffix) as f32 / BLOCK_TOKENS as f32
    }
}

/// The local state of one instance, or of the planner.
struct View {
    beliefs: Table,
    queues: Vec<Queue>,
    inflows: Vec<Inflow>,
}

/// Result of one simulation.
#[derive(Debug)]
struct Outcome {
    /// Queueing times of the requests, in seconds, sorted.
    waits: Vec<f32>,
    /// Blocks that were computed.
    blocks: f32,
}

fn simulate(is_sole: bool) -> Outcome {
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|n| Engine {
            name: format!("engine-{n}"),
            cached: Vec::new(),
            busy_until: 0.0,
        })
        .collect();
    let views = if is_sole { 1 } else { INSTANCES };
    let mut views: Vec<View> = (0..views)
        .map(|_| View {
            beliefs: Table::new(1 << 14),
            queues: vec![Queue::default(); ENGINES],
            inflows: vec![Inflow::default(); ENGINES],
        })
        .collect();
    let mut random = 0x5eed_u64;
    let mut draw = |below: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % below
    };
    let mut outcome = Outcome {
        waits: Vec::new(),
        blocks: 0.0,
    };
    // End of the computation in seconds, index of the view, index of the engine, ticket.
    let mut running: Vec<(f32, usize, usize, u64)> = Vec::new();
    for number in 0..REQUESTS {
        let now = 100_000 + number * INTERVAL_MS;
        // Skews the popularity of the prefixes.
        let prefix = draw(PREFIXES).min(draw(PREFIXES));
        let tokens = 6_000 + 2_048 * (prefix % 8);
        let suffix = 1_000 + draw(4_000);
        let chain = Chain::from_segments(
            7,
            [(prefix, tokens), (1_000_000 + number, suffix)].into_iter(),
        );
        let view_index = draw(views.len() as u64) as usize;
        // A view learns when the computation of a request that it placed is over.
        running.retain(|&(end, view_index, engine, ticket)| {
            let has_ended = end <= now as f32 / 1_000.0;
            if has_ended {
                let view: &mut View = &mut views[view_index];
                view.queues[engine].remove(now, ticket);
            }
            !has_ended
        });
        let view = &mut views[view_index];
        let candidates: Vec<Candidate<'_>> = (0..ENGINES)
            .map(|index| Candidate {
                name: &engines[index].name,
                hash: name_hash(&engines[index].name),
                holder: holder(index),
                in_flight: 0,
                local_backlog: 0.0,
                remote_backlog: view.queues[index].remaining(now, &PACE, 0) / BLOCK_SECONDS,
                block_seconds: BLOCK_SECONDS,
                eviction_age: view.inflows[index].eviction_age(now, CAPACITY),
                delay_penalty: 0.0,
                version_penalty: 0.0,
                store_hits: 0.0,
                store_wait: 0.0,
            })
            .collect();
        let request = Request {
            levels: &chain.levels,
            tail: chain.tail,
            now,
            seed: draw(u64::MAX),
            fetch_cost: None,
            home_prior: if is_sole { 0.1 } else { 0.95 },
            is_sole,
        };
        let scratch = &mut Scratch::default();
        let choice = pick(&candidates, &view.beliefs, &request, scratch).unwrap();
        let engine = &mut engines[choice.index];
        let blocks = engine.compute(prefix, tokens, suffix);
        let seconds = now as f32 / 1_000.0;
        let start = engine.busy_until.max(seconds);
        engine.busy_until = start + blocks * BLOCK_SECONDS;
        outcome.waits.push(start - seconds);
        outcome.blocks += blocks;
        let work = Work {
            rank: 0,
            computed: choice.missed,
            fetched: choice.fetched,
        };
        view.queues[choice.index].push(now, number, work);
        view.inflows[choice.index].add(now, blocks * BLOCK_TOKENS as f32);
        for level in chain.hashes() {
            view.beliefs.insert(level, holder(choice.index), now);
        }
        running.push((engine.busy_until, view_index, choice.index, number));
    }
    outcome.waits.sort_by(f32::total_cmp);
    outcome
}

fn holder(index: usize) -> Holder {
    Holder {
        slot: u16::try_from(index).unwrap(),
        epoch: 0,
    }
}

/// Guards against long queues if instances place long requests independently. Traffic: hundreds of
/// long prompts a minute over many instances, each of which sees one in forty of the requests with
/// one prefix.
#[test]
fn one_planner_has_shorter_waits_than_independent_instances() {
    let (one, many) = (simulate(true), simulate(false));
    let p95 = |outcome: &Outcome| outcome.waits[outcome.waits.len() * 95 / 100];
    println!(
        "p95 {} and {}, blocks {} and {}",
        p95(&one),
        p95(&many),
        one.blocks,
        many.blocks,
    );
    assert!(p95(&one) < p95(&many) / 2.0);
    assert!(one.blocks <= many.blocks * 1.1);
}
