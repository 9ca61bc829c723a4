//! One instance that places the long requests of all, against each for itself.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use policy::{
    backlog::Queue,
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
    prefix::{
        BLOCK_TOKENS,
        Chain,
        name_hash, //
    }, //
};

const ENGINES: usize = 30;
const INSTANCES: usize = 40;
const PARTS: u64 = 120;
/// Tokens that fit into an engine.
const CAPACITY: f32 = 150_000.0;
const BLOCK_SECONDS: f32 = 0.045;
/// Time between two requests: the engines are busy for about half of their time without any hit.
const INTERVAL_MS: Millis = 25;
const REQUESTS: u64 = 1_600;

/// An engine as it is: what it caches, and until when it computes.
struct Engine {
    name: String,
    /// Prefixes with their tokens, the one used last at the end.
    cached: Vec<(u64, u64)>,
    busy_until: f32,
}

impl Engine {
    /// Computes what it lacks of a prefix and a part of its own; returns the blocks.
    fn compute(&mut self, part: u64, tokens: u64, own: u64) -> f32 {
        let known = self.cached.iter().position(|(cached, _)| *cached == part);
        let missing = if known.is_some() { 0 } else { tokens };
        if let Some(index) = known {
            self.cached.remove(index);
        }
        self.cached.push((u64::MAX, own));
        self.cached.push((part, tokens));
        while self.cached.iter().map(|(_, tokens)| tokens).sum::<u64>() > CAPACITY as u64 {
            self.cached.remove(0);
        }
        (missing + own) as f32 / BLOCK_TOKENS as f32
    }
}

/// What one instance, or the planner, knows.
struct View {
    beliefs: Table,
    queues: Vec<Queue>,
    inflows: Vec<Inflow>,
}

/// Seconds that requests waited, and blocks that were computed.
#[derive(Debug)]
struct Outcome {
    waits: Vec<f32>,
    blocks: f32,
}

fn play(is_sole: bool) -> Outcome {
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
    let mut under_way: Vec<(f32, usize, usize, u64)> = Vec::new();
    for number in 0..REQUESTS {
        let now = 100_000 + number * INTERVAL_MS;
        // Some prefixes are asked for far more often than others.
        let part = draw(PARTS).min(draw(PARTS));
        let tokens = 6_000 + 2_048 * (part % 8);
        let own = 1_000 + draw(4_000);
        let chain = Chain::of_parts(7, [(part, tokens), (1_000_000 + number, own)].into_iter());
        let who = draw(views.len() as u64) as usize;
        // Whoever placed a request hears when it begins.
        under_way.retain(|&(end, who, engine, ticket)| {
            let has_begun = end <= now as f32 / 1_000.0;
            if has_begun {
                let view: &mut View = &mut views[who];
                view.queues[engine].remove(now, ticket);
            }
            !has_begun
        });
        let view = &mut views[who];
        let candidates: Vec<Candidate<'_>> = (0..ENGINES)
            .map(|index| Candidate {
                name: &engines[index].name,
                hash: name_hash(&engines[index].name),
                holder: holder(index),
                in_flight: 0,
                ahead: 0.0,
                reported: view.queues[index].remaining(now, BLOCK_SECONDS),
                block_seconds: BLOCK_SECONDS,
                horizon: view.inflows[index].horizon(now, CAPACITY),
                harm: 0.0,
                doubt: 0.0,
                kept: 0.0,
                kept_wait: 0.0,
            })
            .collect();
        let request = Request {
            levels: &chain.levels,
            tail: chain.tail,
            now,
            seed: draw(u64::MAX),
            fetch: None,
            home_prior: if is_sole { 0.1 } else { 0.95 },
            is_sole,
        };
        let scratch = &mut Scratch::default();
        let choice = pick(&candidates, &view.beliefs, &request, scratch).unwrap();
        let engine = &mut engines[choice.index];
        let blocks = engine.compute(part, tokens, own);
        let seconds = now as f32 / 1_000.0;
        let begins = engine.busy_until.max(seconds);
        engine.busy_until = begins + blocks * BLOCK_SECONDS;
        outcome.waits.push(begins - seconds);
        outcome.blocks += blocks;
        view.queues[choice.index].push(now, number, choice.missed);
        view.inflows[choice.index].add(now, blocks * BLOCK_TOKENS as f32);
        for &level in &chain.levels {
            view.beliefs.raise(level, holder(choice.index), now);
        }
        under_way.push((engine.busy_until, who, choice.index, number));
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

/// Pattern: hundreds of long prompts a minute over many instances, each of which sees one in forty
/// of the requests with one prefix.
#[test]
fn one_view_of_all_requests_waits_less_than_many_views() {
    let (one, many) = (play(true), play(false));
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
