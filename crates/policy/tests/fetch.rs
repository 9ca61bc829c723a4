//! Choice among engines that can fetch cached prefixes from each other.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use policy::{
    belief::{
        Holder,
        Table, //
    },
    choice::{
        Candidate,
        Choice,
        Request,
        Scratch,
        Source,
        pick, //
    },
    prefix::{
        BLOCK_TOKENS,
        Chain,
        name_hash, //
    }, //
};

const ENGINES: usize = 18;
const NOW: u64 = 100_000;

fn holder(index: usize) -> Holder {
    Holder {
        slot: u16::try_from(index).unwrap(),
        epoch: 0,
    }
}

fn engines(names: &[String]) -> Vec<Candidate<'_>> {
    let numbered = names.iter().enumerate();
    numbered
        .map(|(index, name)| Candidate {
            name,
            hash: name_hash(name),
            holder: holder(index),
            in_flight: 0,
            ahead: 0.0,
            reported: 0.0,
            block_seconds: 0.036,
            horizon: 30_000,
            harm: 0.0,
            doubt: 0.0,
            kept: 0.0,
            kept_wait: 0.0,
        })
        .collect()
}

fn names() -> Vec<String> {
    (0..ENGINES).map(|n| format!("engine-{n}")).collect()
}

fn choose(candidates: &[Candidate<'_>], table: &Table, chain: &Chain, seed: u64) -> Choice {
    let request = Request {
        levels: &chain.levels,
        tail: chain.tail,
        now: NOW,
        seed,
        fetch: Some(0.15),
        home_prior: 0.95,
        is_sole: false,
    };
    pick(candidates, table, &request, &mut Scratch::default()).unwrap()
}

fn chain(part: u64) -> Chain {
    Chain::of_parts(7, [(part, 13_300), (part + 1_000_000, 3_720)].into_iter())
}

/// Pattern: hundreds of prefixes, each asked for every few seconds at another instance.
#[test]
fn instances_without_beliefs_send_a_prefix_to_one_home() {
    let names = names();
    let candidates = engines(&names);
    let nothing = Table::new(1024);
    for part in 0..200 {
        let chain = chain(part);
        let homes: Vec<usize> = (0..20)
            .map(|seed| choose(&candidates, &nothing, &chain, seed).index)
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

/// Pattern: one prefix gets much of the traffic, so that its home queues.
#[test]
fn a_loaded_home_is_left_and_fetched_from() {
    let names = names();
    let mut candidates = engines(&names);
    let chain = chain(5);
    let mut beliefs = Table::new(1024);
    let home = choose(&candidates, &beliefs, &chain, 1).index;
    for &level in &chain.levels {
        beliefs.raise(level, holder(home), NOW - 500);
    }
    candidates[home].ahead = 12.0;
    let choice = choose(&candidates, &beliefs, &chain, 1);
    assert_ne!(choice.index, home);
    assert_eq!(choice.source, Some(Source::Endpoint(home)));
    // What is fetched is computed no more.
    assert!(choice.missed < chain.levels.len() as f32, "{choice:?}");
}

#[test]
fn the_engine_that_has_most_fetches_nothing() {
    let names = names();
    let candidates = engines(&names);
    let chain = chain(9);
    let mut beliefs = Table::new(1024);
    let home = choose(&candidates, &beliefs, &chain, 1).index;
    for &level in &chain.levels {
        beliefs.raise(level, holder(home), NOW);
    }
    let choice = choose(&candidates, &beliefs, &chain, 3);
    assert_eq!((choice.index, choice.source), (home, None));
}

#[test]
fn the_last_part_is_the_requests_own() {
    let one = Chain::of_parts(7, [(1, 3 * BLOCK_TOKENS), (2, 9_000)].into_iter());
    let other = Chain::of_parts(7, [(1, 3 * BLOCK_TOKENS), (3, 9_000)].into_iter());
    assert_eq!(one.levels, other.levels);
    assert_eq!(one.levels.len(), 3);
    assert!((one.tail - 9_000.0 / BLOCK_TOKENS as f32).abs() < 1e-3);
    let salted = Chain::of_parts(8, [(1, 3 * BLOCK_TOKENS), (2, 9_000)].into_iter());
    assert!(
        salted
            .levels
            .iter()
            .all(|level| !one.levels.contains(level))
    );
}
