//! Beliefs about the prefix stores, derived from the fetches and saves that this instance ordered.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use policy::{
    belief::{
        Millis,
        survival, //
    },
    pace::Pace,
    prefix::{
        BLOCK_TOKENS,
        Level,
        cached_levels, //
    },
    save, //
};
use state::health;
use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

use super::decide::Query;
use crate::{
    catalog::PrefixStore,
    fleet::Endpoint,
    node::Node, //
};

/// Survival probability above which a level is assumed to be in the store.
const MIN_SURVIVAL: f32 = 0.5;
/// Factor by which transfers between failure domains take longer.
const CROSS_DOMAIN_FACTOR: f32 = 2.0;

/// The prefix of a prompt that a prefix store is believed to have.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hit {
    /// Leading blocks of the prompt that the store has.
    pub blocks: f32,
    /// Wait until the store starts to send, in blocks that an engine could compute meanwhile.
    pub wait_blocks: f32,
}

/// A prefix store with this instance's estimates of it.
struct Store<'a> {
    config: &'a PrefixStore,
    health: Arc<health::Endpoint>,
}

impl<'a> Store<'a> {
    fn for_domain<P>(node: &Node<P>, query: &Query<'a>, domain: &str) -> Option<Self> {
        let (name, config) = query.catalog.prefix_store(domain)?;
        let health = node.health.endpoint(name);
        Some(Self { config, health })
    }

    /// Time until the store's link is free, in seconds.
    fn wait_seconds(&self, now: Millis) -> f32 {
        let estimate = self.health.view("", now).estimate;
        estimate.link.remaining(now)
    }

    /// Time to transfer one block to or from `endpoint`, in seconds.
    fn block_seconds(&self, query: &Query<'_>, endpoint: &Endpoint) -> f32 {
        let engine = query.engine();
        let token_bytes = engine.map_or(0, |engine| engine.token_bytes) as f32;
        let megabits = BLOCK_TOKENS as f32 * token_bytes * 8.0 / 1e6;
        let is_same_domain = *self.config.domain == *endpoint.registration.domain;
        let factor = if is_same_domain {
            1.0
        } else {
            CROSS_DOMAIN_FACTOR
        };
        factor * megabits / (self.config.link_mbps as f32).max(1.0)
    }

    /// Pace of the service's engines, with the time to fetch a block from this store.
    fn pace<P>(&self, node: &Node<P>, query: &Query<'_>, endpoint: &Endpoint) -> Pace {
        Pace {
            fetch: self.block_seconds(query, endpoint),
            ..node.planner.queues.pace(query.service)
        }
    }

    /// Adds a transfer of `blocks` to or from `endpoint` to the link's backlog.
    fn record_transfer<P>(
        &self,
        node: &Node<P>,
        query: &Query<'_>,
        endpoint: &Endpoint,
        blocks: f32,
    ) {
        let seconds = blocks * self.block_seconds(query, endpoint);
        let now = node.beliefs.now();
        self.health
            .update_estimate(|estimate| estimate.link.add(now, seconds));
    }
}

/// Expected hit in the store near `endpoint`.
pub fn estimate_hit<P>(node: &Node<P>, query: &Query<'_>, endpoint: &Endpoint) -> Hit {
    let domain = &endpoint.registration.domain;
    let Some(store) = Store::for_domain(node, query, domain) else {
        return Hit::default();
    };
    let now = node.beliefs.now();
    let view = store.health.view("", now);
    let eviction_age = view
        .estimate
        .inflow
        .eviction_age(now, store.config.cache_tokens as f32);
    let blocks = node.beliefs.read(|beliefs| {
        let is_stored = |level: &&Level| {
            let mut holders = beliefs.holders(stored_level(level.hash, endpoint), now);
            holders.any(|b| b.holder == view.holder && survival(b.age, eviction_age) > MIN_SURVIVAL)
        };
        let stored = query.chain.levels.iter().take_while(is_stored);
        stored.map(|level| level.blocks).sum()
    });
    Hit {
        blocks,
        wait_blocks: store.wait_seconds(now) / node.planner.queues.pace(query.service).block,
    }
}

/// Address of the store near `endpoint` from which it fetches `blocks` of the prompt, if there is
/// a store; records the transfer.
pub fn plan_fetch<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    blocks: f32,
) -> Option<SocketAddr> {
    let store = Store::for_domain(node, query, &endpoint.registration.domain)?;
    store.record_transfer(node, query, endpoint, blocks);
    record_stored(node, query, endpoint, &store, blocks);
    Some(store.config.address)
}

/// Address of the store near `endpoint` that is asked for the prompt although it is not known to have
/// any of it; `None` if computing the `missing` blocks is faster.
pub fn plan_query<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    missing: f32,
) -> Option<SocketAddr> {
    let store = Store::for_domain(node, query, &endpoint.registration.domain)?;
    let is_faster = store.pace(node, query, endpoint).is_fetch_faster(missing);
    is_faster.then_some(store.config.address)
}

/// Address of the store that should save the prompt, of which `endpoint` computes `blocks`, if
/// saving is worth the transfer; records the transfer.
pub fn plan_save<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    blocks: f32,
) -> Option<SocketAddr> {
    let first_level = query.chain.levels.first()?.hash;
    let store = Store::for_domain(node, query, &endpoint.registration.domain)?;
    let now = node.beliefs.now();
    let requested_before = node
        .beliefs
        .read(|beliefs| beliefs.holders(first_level, now).next().is_some());
    let pace = store.pace(node, query, endpoint);
    if !save::should_save(blocks, &pace, store.wait_seconds(now), requested_before) {
        return None;
    }
    let prefix_blocks = query.chain.prefix_blocks();
    let sent_blocks = prefix_blocks + query.chain.tail;
    store.record_transfer(node, query, endpoint, sent_blocks);
    let tokens = sent_blocks * BLOCK_TOKENS as f32;
    store
        .health
        .update_estimate(|estimate| estimate.inflow.add(now, tokens));
    record_stored(node, query, endpoint, &store, prefix_blocks);
    Some(store.config.address)
}

/// Records that the store now has the first `blocks` of the prompt.
fn record_stored<P>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    store: &Store<'_>,
    blocks: f32,
) {
    let holder = store.health.view("", node.beliefs.now()).holder;
    let levels = &query.chain.levels;
    let levels = levels[..cached_levels(levels, blocks)].iter();
    let levels: Vec<u64> = levels
        .map(|level| stored_level(level.hash, endpoint))
        .collect();
    node.beliefs.raise(&levels, holder);
}

/// Key of a level as `endpoint` stores it: levels are independent of weights version and build, but
/// stored blocks are not.
fn stored_level(level: u64, endpoint: &Endpoint) -> u64 {
    let build = xxh3_64(endpoint.registration.build.as_bytes());
    xxh3_64_with_seed(&(level ^ build).to_le_bytes(), endpoint.version())
}
