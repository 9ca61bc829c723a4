//! Choice of the endpoint for one request by expected time to first token.

use crate::{
    baseline,
    belief::{
        self,
        Holder,
        Millis,
        Table, //
    },
    mix::mix,
    pace::is_fetch_faster,
    prefix::{
        Level,
        cached_levels,
        total_blocks, //
    },
    spread, //
};

/// Strategy for choosing endpoints; all but the default are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// Round robin over the endpoints.
    RoundRobin,
    /// The endpoint with the least load, local and reported.
    LeastLoad,
    /// The home selected by a hash of the prompt's first blocks, with bounded load.
    PrefixHash,
    /// The home of the deepest prefix whose home is not overloaded.
    DeepestHome,
    /// The endpoint with the least expected time to first token.
    #[default]
    Cost,
}

/// Number of homes of a prompt's prefix, the candidates with its highest rendezvous hashes, that are
/// considered regardless of beliefs.
const HOMES_PER_PREFIX: usize = 2;
/// Number of further candidates that are sampled at random.
const RANDOM_SAMPLES: usize = 2;
/// Fraction of the missing blocks that a home is expected to cache if instances exchange their
/// beliefs.
pub const HOME_PRIOR: f32 = 0.5;
/// Fraction of a prompt's levels that a candidate must be believed to cache to be considered.
const MIN_HIT_FRACTION: f32 = 0.02;
/// Weight of the wait in the cost: a request that joins a queue also delays those that join it
/// later.
const WAIT_WEIGHT: f32 = 1.3;
/// Maximum relative jitter of costs, so that instances do not all choose the same endpoint.
const COST_JITTER: f32 = 0.05;

/// An endpoint that may be chosen for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Hash of the name.
    pub hash: u64,
    /// Holder under which beliefs about the endpoint are stored.
    pub holder: Holder,
    /// Requests of this instance that the endpoint is running.
    pub in_flight: u32,
    /// Blocks of this instance's requests that the endpoint computes before this request.
    pub local_backlog: f32,
    /// Blocks of other instances' requests that the endpoint computes before this request.
    pub remote_backlog: f32,
    /// Time that the endpoint takes to compute one block, in seconds; the unit of its values in blocks.
    pub block_seconds: f32,
    /// Age at which half of the blocks are evicted.
    pub eviction_age: Millis,
    /// Penalty for delaying more urgent requests, in blocks; capped at the blocks of this request.
    pub delay_penalty: f32,
    /// Penalty for an endpoint that may serve another weights version, in blocks.
    pub version_penalty: f32,
    /// Blocks of the prompt that a prefix store holds for the endpoint.
    pub store_hits: f32,
    /// Time until the prefix store begins to send, in blocks that the endpoint computes meanwhile.
    pub store_wait: f32,
}

/// A request for which an endpoint is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Prefix levels of the prompt, shallowest first.
    pub levels: &'a [Level],
    /// Length of the remainder after the last level, in blocks.
    pub tail: f32,
    /// Current time.
    pub now: Millis,
    /// Seed of the sampling and of the cost jitter; breaks ties in the baselines.
    pub seed: u64,
    /// Cost of fetching a block from another endpoint, relative to the cost of computing it;
    /// `None` if endpoints do not fetch blocks.
    pub fetch_cost: Option<f32>,
    /// Fraction of the missing blocks that the home of the first missing level is expected to
    /// cache, since other instances send that level there too; [`HOME_PRIOR`] if beliefs are
    /// exchanged.
    pub home_prior: f32,
    /// Whether no other instance chooses among these candidates; all of them are then considered,
    /// without jitter.
    pub is_sole: bool,
    /// Seconds by which costs may differ without meaning, since other instances choose with the same
    /// old loads; all candidates are then considered. 0 if the others are few.
    pub tolerance: f32,
}

/// The chosen candidate with the estimates behind the choice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Blocks that are believed to be cached at the endpoint.
    pub hits: f32,
    /// Blocks of this request that the endpoint is expected to compute.
    pub missed: f32,
    /// Blocks of this request that the endpoint is expected to fetch.
    pub fetched: f32,
    /// Blocks of other requests that the endpoint is expected to compute before, in its unit.
    pub wait: f32,
    /// Expected time to first token including all weights and penalties, in seconds.
    pub cost: f32,
    /// Source to fetch blocks from, if that is cheaper than computing them.
    pub source: Option<Source>,
    /// Blocks that are believed to be at the source.
    pub source_hits: f32,
}

/// A source from which an endpoint can fetch blocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The candidate with this index.
    Endpoint(usize),
    /// The prefix store.
    Store,
}

/// Buffers that are reused across choices.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    /// Index of the candidate by slot; `u16::MAX` for none.
    by_slot: Vec<u16>,
    /// Probability that the current level is cached, by candidate.
    probabilities: Vec<f32>,
    /// Blocks believed to be cached, by candidate.
    hits: Vec<f32>,
    /// Indexes of the considered candidates.
    considered: Vec<u16>,
    /// Highest score and index of its candidate, by depth.
    homes: Vec<(u64, u16)>,
    /// Costs of the considered candidates.
    costs: Vec<f32>,
}

impl Scratch {
    /// Computes the number of blocks that each candidate is believed to cache.
    ///
    /// Iterates from the deepest level up, since a holder of a level holds all levels before it.
    fn estimate_hits(
        &mut self,
        candidates: &[Candidate<'_>],
        beliefs: &Table,
        request: &Request<'_>,
    ) {
        self.reset(candidates);
        for level in request.levels.iter().rev() {
            for belief in beliefs.holders(level.hash, request.now) {
                let slot = usize::from(belief.holder.slot);
                let Some(&index) = self.by_slot.get(slot) else {
                    continue;
                };
                let Some(candidate) = candidates.get(usize::from(index)) else {
                    continue;
                };
                if candidate.holder == belief.holder {
                    let probability = &mut self.probabilities[usize::from(index)];
                    *probability =
                        probability.max(belief::survival(belief.age, candidate.eviction_age));
                }
            }
            for (hits, probability) in self.hits.iter_mut().zip(&self.probabilities) {
                *hits += probability * level.blocks;
            }
        }
    }

    fn reset(&mut self, candidates: &[Candidate<'_>]) {
        self.by_slot.fill(u16::MAX);
        for (index, candidate) in (0..).zip(candidates) {
            let slot = usize::from(candidate.holder.slot);
            if slot >= self.by_slot.len() {
                self.by_slot.resize(slot + 1, u16::MAX);
            }
            self.by_slot[slot] = index;
        }
        for list in [&mut self.probabilities, &mut self.hits] {
            list.clear();
            list.resize(candidates.len(), 0.0);
        }
    }

    /// Collects the candidates to evaluate: believed holders, homes and random samples.
    fn select_candidates(&mut self, candidates: &[Candidate<'_>], request: &Request<'_>) {
        self.considered.clear();
        if request.is_sole || request.tolerance > 0.0 {
            self.considered.extend((0..).take(candidates.len()));
            return;
        }
        let min_hits = MIN_HIT_FRACTION * total_blocks(request.levels);
        for (index, hits) in (0..).zip(&self.hits) {
            if *hits > min_hits {
                self.considered.push(index);
            }
        }
        if let Some(first_level) = request.levels.first() {
            self.add_homes(candidates, first_level.hash);
        }
        let mut random = request.seed;
        for _ in 0..RANDOM_SAMPLES {
            random = mix(random);
            let index = random % candidates.len().max(1) as u64;
            self.considered.push(index as u16);
        }
    }

    /// Finds the home of each level among the considered candidates that hold all levels before it.
    ///
    /// Instances with similar beliefs select the same home without communication.
    fn find_homes(&mut self, candidates: &[Candidate<'_>], levels: &[Level]) {
        self.homes.clear();
        self.homes.resize(levels.len(), (0, u16::MAX));
        for &index in &self.considered {
            let hash = candidates[usize::from(index)].hash;
            let depth = cached_levels(levels, self.hits[usize::from(index)]);
            for (home, level) in self.homes.iter_mut().zip(levels).take(depth + 1) {
                *home = (*home).max((mix(hash ^ level.hash), index));
            }
        }
    }

    /// The considered candidate that is expected to cache most of the prompt.
    fn best_source(&self, request: &Request<'_>) -> Option<Expectation> {
        let expectations = self.considered.iter();
        let expectations = expectations.map(|&index| self.expectation(index, request));
        let blocks = total_blocks(request.levels);
        expectations.max_by(|a, b| a.expected_hits(blocks).total_cmp(&b.expected_hits(blocks)))
    }

    /// What the candidate with this index is expected to cache.
    fn expectation(&self, index: u16, request: &Request<'_>) -> Expectation {
        let hits = self.hits[usize::from(index)];
        let first_missing = cached_levels(request.levels, hits);
        let home = self.homes.get(first_missing);
        Expectation {
            index: usize::from(index),
            hits,
            prior: if home.is_some_and(|home| home.1 == index) {
                request.home_prior
            } else {
                0.0
            },
        }
    }

    /// Adds the homes of the prompt's prefix, which its first level identifies.
    fn add_homes(&mut self, candidates: &[Candidate<'_>], first_level: u64) {
        let mut best = [(0_u64, u16::MAX); HOMES_PER_PREFIX];
        for (index, candidate) in (0..).zip(candidates) {
            let mut entry = (mix(candidate.hash ^ first_level), index);
            for home in &mut best {
                if entry.0 > home.0 {
                    std::mem::swap(home, &mut entry);
                }
            }
        }
        let homes = best.iter().filter(|(_, index)| *index != u16::MAX);
        self.considered.extend(homes.map(|(_, index)| index));
    }
}

/// Picks the considered candidate with the least cost, or `None` if there are no candidates.
pub fn pick(
    candidates: &[Candidate<'_>],
    beliefs: &Table,
    request: &Request<'_>,
    scratch: &mut Scratch,
) -> Option<Choice> {
    if candidates.is_empty() {
        return None;
    }
    scratch.estimate_hits(candidates, beliefs, request);
    scratch.select_candidates(candidates, request);
    scratch.find_homes(candidates, request.levels);
    let source = request
        .fetch_cost
        .and_then(|_| scratch.best_source(request));
    let mut costs = std::mem::take(&mut scratch.costs);
    let mut choices = scratch.considered.iter().map(|&index| {
        let expectation = scratch.expectation(index, request);
        evaluate(candidates, &expectation, source.as_ref(), request)
    });
    if request.tolerance > 0.0 {
        costs.clear();
        costs.extend(choices.clone().map(|choice| choice.cost));
        let drawn = spread::draw(costs.iter().copied(), request.tolerance, request.seed);
        let choice = choices.nth(drawn?);
        scratch.costs = costs;
        return choice;
    }
    let jitter = if request.is_sole { 0.0 } else { COST_JITTER };
    choices.min_by(|a, b| {
        let cost = |choice| jittered(choice, request.seed, jitter);
        cost(a).total_cmp(&cost(b))
    })
}

/// Expected cache contents of a candidate.
#[derive(Clone, Copy, Debug)]
struct Expectation {
    index: usize,
    /// Blocks that are believed to be cached at the candidate.
    hits: f32,
    /// Fraction of the other blocks that is expected to be cached too.
    prior: f32,
}

impl Expectation {
    /// Blocks that are expected to be cached, out of `prompt_blocks`.
    fn expected_hits(&self, prompt_blocks: f32) -> f32 {
        self.hits + (prompt_blocks - self.hits).max(0.0) * self.prior
    }
}

/// A possible fetch of blocks that a candidate lacks.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    source: Source,
    /// Blocks that are believed to be at the source.
    hits: f32,
    /// Blocks that the source is expected to have beyond those of the candidate.
    gain: f32,
    /// Time until the source begins to send, in blocks that the candidate computes meanwhile.
    wait: f32,
}

impl Fetch {
    /// The cost of `missing` blocks with this fetch, in computed blocks; fetching a block costs
    /// `fetch_cost`.
    fn cost(&self, missing: f32, fetch_cost: f32) -> f32 {
        self.wait + (missing - self.gain).max(0.0) + self.gain * fetch_cost
    }
}

/// The cheapest fetch with its cost in computed blocks, if any costs less than computing all
/// missing blocks.
fn cheapest_fetch(
    candidate: &Candidate<'_>,
    expectation: &Expectation,
    source: Option<&Expectation>,
    request: &Request<'_>,
) -> Option<(Fetch, f32)> {
    let fetch_cost = request.fetch_cost?;
    let prompt_blocks = total_blocks(request.levels);
    let local_hits = expectation.expected_hits(prompt_blocks);
    let missing = (prompt_blocks - local_hits).max(0.0);
    let peer = source.filter(|source| source.index != expectation.index);
    let peer = peer.map(|source| Fetch {
        source: Source::Endpoint(source.index),
        hits: source.hits,
        gain: source.expected_hits(prompt_blocks) - local_hits,
        wait: 0.0,
    });
    let store = Fetch {
        source: Source::Store,
        hits: candidate.store_hits,
        gain: candidate.store_hits - local_hits,
        wait: candidate.store_wait,
    };
    let options = peer.into_iter().chain([store]);
    options
        .filter(|option| is_fetch_faster(option.gain, candidate.block_seconds, fetch_cost))
        .map(|option| (option, option.cost(missing, fetch_cost)))
        .filter(|(_, cost)| *cost < missing)
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

/// Evaluates the candidate that `expectation` is about.
fn evaluate(
    candidates: &[Candidate<'_>],
    expectation: &Expectation,
    source: Option<&Expectation>,
    request: &Request<'_>,
) -> Choice {
    let candidate = &candidates[expectation.index];
    let prompt_blocks = total_blocks(request.levels);
    let missing = (prompt_blocks - expectation.expected_hits(prompt_blocks)).max(0.0);
    let fetch = cheapest_fetch(candidate, expectation, source, request);
    let computed = fetch.map_or(missing, |(_, cost)| cost) + request.tail;
    let (missed, fetched) = match fetch {
        Some((option, _)) => ((missing - option.gain).max(0.0), option.gain),
        None => ((prompt_blocks - expectation.hits).max(0.0), 0.0),
    };
    let wait = candidate.local_backlog + candidate.remote_backlog;
    let delay_penalty = candidate.delay_penalty.min(computed);
    Choice {
        index: expectation.index,
        hits: expectation.hits,
        missed: missed + request.tail,
        fetched,
        wait,
        cost: (wait * WAIT_WEIGHT + computed + delay_penalty + candidate.version_penalty)
            * candidate.block_seconds,
        source: fetch.map(|(option, _)| option.source),
        source_hits: fetch.map_or(0.0, |(option, _)| option.hits),
    }
}

fn jittered(choice: &Choice, seed: u64, jitter: f32) -> f32 {
    let fraction = mix(seed ^ choice.index as u64) as f32 / u64::MAX as f32;
    choice.cost * (1.0 + jitter * fraction)
}

/// Picks a candidate by one of the baseline strategies, or `None` if there are no candidates.
///
/// `turn` counts the choices, for round robin; [`Strategy::Cost`] falls back to the least load.
pub fn pick_baseline(
    strategy: Strategy,
    candidates: &[Candidate<'_>],
    request: &Request<'_>,
    turn: usize,
) -> Option<usize> {
    let reported = |c: &Candidate<'_>| (c.remote_backlog + 0.5) as u32;
    let baseline_candidates: Vec<baseline::Candidate<'_>> = candidates
        .iter()
        .map(|candidate| baseline::Candidate {
            name: candidate.name,
            in_flight: candidate.in_flight,
            reported: reported(candidate),
        })
        .collect();
    let Request { levels, seed, .. } = *request;
    let hashes: Vec<u64> = levels.iter().map(|level| level.hash).collect();
    match strategy {
        Strategy::RoundRobin => baseline::round_robin(&baseline_candidates, turn),
        Strategy::PrefixHash => baseline::prefix_hash(&baseline_candidates, &hashes, seed),
        Strategy::DeepestHome => baseline::deepest_home(&baseline_candidates, &hashes, seed),
        Strategy::LeastLoad | Strategy::Cost => baseline::least_load(&baseline_candidates, seed),
    }
}
