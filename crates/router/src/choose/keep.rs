//! Stores that keep prefixes for engines, as far as this instance told them to.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use policy::{
    belief::{
        Millis,
        survival, //
    },
    prefix::BLOCK_TOKENS,
    save, //
};
use state::health;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::decide::{
    BLOCK_SECONDS,
    Query, //
};
use crate::{
    catalog::PrefixStore,
    fleet::Endpoint,
    node::Node, //
};

/// Least probability at which a level is taken to be kept.
const LIKELY: f32 = 0.5;
/// Transfers between failure domains take so many times as long.
const FAR: f32 = 2.0;

/// What the store near an endpoint is believed to have of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Look {
    /// Blocks from the beginning.
    pub blocks: f32,
    /// Blocks that an engine could compute before the store begins to send.
    pub wait: f32,
}

/// A store with what is believed of it.
struct Store<'a> {
    of: &'a PrefixStore,
    known: Arc<health::Endpoint>,
}

impl<'a> Store<'a> {
    fn near<P>(node: &Node<P>, query: &Query<'a>, domain: &str) -> Option<Self> {
        let (name, of) = query.catalog.prefix_store(domain)?;
        let known = node.health.endpoint(name);
        Some(Self { of, known })
    }

    /// Time until its link is free, in seconds.
    fn wait(&self, now: Millis) -> f32 {
        let estimate = self.known.view("", now).estimate;
        estimate.link.remaining(now)
    }

    /// Counts a transfer of `blocks` to or from `endpoint`.
    fn transfer<P>(&self, node: &Node<P>, query: &Query<'_>, endpoint: &Endpoint, blocks: f32) {
        let service = query.catalog.service(query.service);
        let engine = service.and_then(|service| service.engine);
        let token_bytes = engine.map_or(0, |engine| engine.token_bytes) as f32;
        let megabits = blocks * BLOCK_TOKENS as f32 * token_bytes * 8.0 / 1e6;
        let is_near = *self.of.domain == *endpoint.registration.domain;
        let times = if is_near { 1.0 } else { FAR };
        let seconds = times * megabits / (self.of.link_mbps as f32).max(1.0);
        let now = node.beliefs.now();
        self.known
            .update_estimate(|estimate| estimate.link.add(now, seconds));
    }
}

/// What the store near `domain` is believed to have of the prompt, for weights of `version`.
pub fn look<P>(node: &Node<P>, query: &Query<'_>, domain: &str, version: u64) -> Look {
    let Some(store) = Store::near(node, query, domain) else {
        return Look::default();
    };
    let now = node.beliefs.now();
    let view = store.known.view("", now);
    let horizon = view
        .estimate
        .inflow
        .horizon(now, store.of.cache_tokens as f32);
    let blocks = node.beliefs.read(|beliefs| {
        let is_kept = |level: &&u64| {
            let mut holders = beliefs.holders(of_version(**level, version), now);
            holders.any(|b| b.holder == view.holder && survival(b.age, horizon) > LIKELY)
        };
        query.chain.levels.iter().take_while(is_kept).count()
    });
    Look {
        blocks: blocks as f32,
        wait: store.wait(now) / BLOCK_SECONDS,
    }
}

/// Where `endpoint` fetches `blocks` of the prompt from, if there is a store.
pub fn fetch<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    blocks: f32,
) -> Option<SocketAddr> {
    let store = Store::near(node, query, &endpoint.registration.domain)?;
    if blocks > 0.0 {
        store.transfer(node, query, endpoint, blocks);
        note(node, query, endpoint, &store, blocks as usize);
    }
    Some(store.of.address)
}

/// The store that is to keep the prompt, of which `endpoint` computes `blocks`, if that is worth it.
pub fn save<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    blocks: f32,
) -> Option<SocketAddr> {
    let first = *query.chain.levels.first()?;
    let store = Store::near(node, query, &endpoint.registration.domain)?;
    let now = node.beliefs.now();
    let asked_before = node
        .beliefs
        .read(|beliefs| beliefs.holders(first, now).next().is_some());
    if !save::should_save(blocks, store.wait(now), asked_before) {
        return None;
    }
    let all = query.chain.levels.len();
    let sent = all as f32 + query.chain.tail;
    store.transfer(node, query, endpoint, sent);
    let tokens = sent * BLOCK_TOKENS as f32;
    store
        .known
        .update_estimate(|estimate| estimate.inflow.add(now, tokens));
    note(node, query, endpoint, &store, all);
    Some(store.of.address)
}

/// Notes that the store has the first `count` levels now.
fn note<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    store: &Store<'_>,
    count: usize,
) {
    let holder = store.known.view("", node.beliefs.now()).holder;
    let levels = query.chain.levels.iter().take(count);
    let levels: Vec<u64> = levels
        .map(|level| of_version(*level, endpoint.version()))
        .collect();
    node.beliefs.raise(&levels, holder);
}

/// Levels do not depend on the weights, what is kept does.
fn of_version(level: u64, version: u64) -> u64 {
    xxh3_64_with_seed(&level.to_le_bytes(), version)
}
