//! Choice among engines that can fetch cached prefixes from one another.

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
            local_backlog: 0.0,
            remote_backlog: 0.0,
            block_seconds: 0.036,
            eviction_age: 30_000,
            delay_penalty: 0.0,
            version_penalty: 0.0,
            store_hits: 0.0,
            store_wait: 0.0,
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
        fetch_cost: Some(0.15),
        home_prior: 0.95,
        is_sole: false,
        tolerance: 0.0,
    };
    pick(candidates, table, &request, &mut Scratch::default()).unwrap()
}

fn chain(prefix: u64) -> Chain {
    Chain::from_segments(
        7,
        [(prefix, 13_300), (prefix + 1_000_000, 3_720)].into_iter(),
    )
}

/// Guards against a prefix that is computed at many engines: there are hundreds of prefixes, each
/// requested every few seconds through a different instance.
#[test]
fn instances_without_beliefs_send_a_prefix_to_one_home() {
    let names = names();
    let candidates = engines(&names);
    let no_beliefs = Table::new(1024);
    for prefix in 0..200 {
        let chain = chain(prefix);
        let homes: Vec<usize> = (0..20)
            .map(|seed| choose(&candidates, &no_beliefs, &chain, seed).index)
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

/// Guards against a long queue at one engine: one prefix gets most of the requests, so that its
/// home has a backlog.
#[test]
fn a_loaded_home_is_avoided_and_used_as_source() {
    let names = names();
    let mut candidates = engines(&names);
    let chain = chain(5);
    let mut beliefs = Table::new(1024);
    let home = choose(&candidates, &beliefs, &chain, 1).index;
    for level in chain.hashes() {
        beliefs.insert(level, holder(home), NOW - 500);
    }
    candidates[home].local_backlog = 12.0;
    let choice = choose(&candidates, &beliefs, &chain, 1);
    assert_ne!(choice.index, home);
    assert_eq!(choice.source, Some(Source::Endpoint(home)));
    // Fetched blocks are not computed.
    assert!(choice.missed < chain.prefix_blocks(), "{choice:?}");
}

#[test]
fn the_engine_with_the_most_hits_fetches_nothing() {
    let names = names();
    let candidates = engines(&names);
    let chain = chain(9);
    let mut beliefs = Table::new(1024);
    let home = choose(&candidates, &beliefs, &chain, 1).index;
    for level in chain.hashes() {
        beliefs.insert(level, holder(home), NOW);
    }
    let choice = choose(&candidates, &beliefs, &chain, 3);
    assert_eq!((choice.index, choice.source), (home, None));
}

#[test]
fn the_last_segment_is_not_shared() {
    let one = Chain::from_segments(7, [(1, 3 * BLOCK_TOKENS), (2, 9_000)].into_iter());
    let other = Chain::from_segments(7, [(1, 3 * BLOCK_TOKENS), (3, 9_000)].into_iter());
    assert_eq!(one.levels, other.levels);
    assert_eq!(one.levels.len(), 1);
    assert!((one.prefix_blocks() - 3.0).abs() < 1e-3);
    assert!((one.tail - 9_000.0 / BLOCK_TOKENS as f32).abs() < 1e-3);
    let salted = Chain::from_segments(8, [(1, 3 * BLOCK_TOKENS), (2, 9_000)].into_iter());
    assert!(
        salted
            .levels
            .iter()
            .all(|level| !one.levels.contains(level))
    );
}

/// Pattern: short requests whose shared parts are a few hundred tokens. Where a link is fast, they are
/// fetched from the engine that has them; where it is not, or nothing is gained, they are computed.
#[test]
fn short_shared_parts_are_fetched_if_the_link_is_faster() {
    let names = names();
    let mut candidates = engines(&names);
    let segments = [(1, 341), (2, 227), (3, 1_800)];
    let chain = Chain::from_segments(7, segments.into_iter());
    let mut beliefs = Table::new(1024);
    for level in chain.hashes() {
        beliefs.insert(level, holder(3), NOW - 500);
    }
    candidates[3].local_backlog = 12.0;
    let choose = |fetch_cost, candidates: &[Candidate<'_>]| {
        let request = Request {
            levels: &chain.levels,
            tail: chain.tail,
            now: NOW,
            seed: 1,
            fetch_cost: Some(fetch_cost),
            home_prior: 0.0,
            is_sole: true,
            tolerance: 0.0,
        };
        pick(candidates, &beliefs, &request, &mut Scratch::default()).unwrap()
    };
    let choice = choose(0.2, &candidates);
    assert_eq!(choice.source, Some(Source::Endpoint(3)));
    assert!(
        (choice.fetched - 568.0 / BLOCK_TOKENS as f32).abs() < 0.02,
        "{choice:?}"
    );
    assert_eq!(choose(1.0, &candidates).source, None);
    // Engines that compute the parts within a moment.
    for candidate in &mut candidates {
        candidate.block_seconds /= 10.0;
    }
    assert_eq!(choose(0.2, &candidates).source, None);
}
