//! Choice of an endpoint for one request, by expected time to the first token.

use crate::{
    baseline,
    belief::{
        self,
        Holder,
        Millis,
        Table, //
    },
    mix::mix, //
};

/// How endpoints are chosen; all but the default exist to be measured against.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Strategy {
    /// Each in turn.
    RoundRobin,
    /// The least own and reported load.
    LeastLoad,
    /// Home by a hash of the prefix's first blocks, with bounded load.
    PrefixHash,
    /// Home of the deepest prefix unless it is loaded.
    DeepestHome,
    /// The least expected time to the first token.
    #[default]
    Cost,
}

/// Homes of a prefix that are considered whether or not anything is believed of them.
const HOMES: usize = 2;
/// Other candidates that are considered, drawn at random.
const SAMPLES: usize = 2;
/// Share of the missing blocks that a home is expected to have where instances share what they
/// believe.
pub const HOME_PRIOR: f32 = 0.5;
/// Least blocks for which a fetch is worth its set-up.
const MIN_FETCHED: f32 = 0.5;
/// Share of the cost by which choices vary, so that instances do not all make the same.
const JITTER: f32 = 0.05;

/// An endpoint that could take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Hash of the name.
    pub hash: u64,
    /// Under what its beliefs are kept.
    pub holder: Holder,
    /// Requests of this instance that run there now.
    pub in_flight: u32,
    /// Blocks of this instance that will be computed there first.
    pub ahead: f32,
    /// Blocks of other instances that will be computed there first.
    pub reported: f32,
    /// Time to compute one block, in seconds.
    pub block_seconds: f32,
    /// Age at which half of the blocks are evicted.
    pub horizon: Millis,
    /// Blocks that this request's work would delay for more urgent requests.
    pub harm: f32,
    /// Blocks by which it is held dearer since it may serve other weights.
    pub doubt: f32,
    /// Blocks of the prompt that a store of prefixes keeps for it.
    pub kept: f32,
    /// Blocks that it could compute before that store begins to send.
    pub kept_wait: f32,
}

/// What is asked of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Hashes of the whole blocks of the prompt, shallowest first.
    pub levels: &'a [u64],
    /// Length of what follows the last whole block, in blocks.
    pub tail: f32,
    /// The time.
    pub now: Millis,
    /// Random number for ties and samples.
    pub seed: u64,
    /// Cost of fetching a block from another endpoint, as a part of the cost of computing it;
    /// `None` if endpoints do not fetch.
    pub fetch: Option<f32>,
    /// Share of the missing blocks that the home of the first missing level is expected to have,
    /// since other instances send that level there too; [`HOME_PRIOR`] where beliefs are shared.
    pub home_prior: f32,
    /// Whether no other instance chooses: all candidates are then worth a look, and choices need
    /// not vary.
    pub is_sole: bool,
}

/// A choice with its reasons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Blocks that are expected to be cached.
    pub hits: f32,
    /// Blocks that are expected to be computed.
    pub missed: f32,
    /// Blocks that are expected to be computed before.
    pub wait: f32,
    /// Expected time to the first token with all penalties, in seconds.
    pub cost: f32,
    /// Where blocks can be fetched from.
    pub source: Option<Source>,
    /// Blocks that are believed to be there.
    pub source_hits: f32,
}

/// Where an endpoint can fetch blocks from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The candidate with this index.
    Endpoint(usize),
    /// The store of prefixes.
    Store,
}

/// Buffers that are used again for each choice.
#[derive(Clone, Debug, Default)]
pub struct Scratch {
    /// Candidate by slot; `u16::MAX` for none.
    by_slot: Vec<u16>,
    /// Probability that the current level is cached, by candidate.
    held: Vec<f32>,
    /// Blocks expected to be cached, by candidate.
    hits: Vec<f32>,
    considered: Vec<u16>,
    /// For each depth, the best score and whose it is.
    homes: Vec<(u64, u16)>,
}

impl Scratch {
    /// Sums up, for each candidate, how many blocks it is expected to have.
    ///
    /// Goes from the deepest level up, since who holds a level holds all before it.
    fn expect(&mut self, candidates: &[Candidate<'_>], beliefs: &Table, request: &Request<'_>) {
        self.reset(candidates);
        for &level in request.levels.iter().rev() {
            for belief in beliefs.holders(level, request.now) {
                let slot = usize::from(belief.holder.slot);
                let Some(&index) = self.by_slot.get(slot) else {
                    continue;
                };
                let Some(candidate) = candidates.get(usize::from(index)) else {
                    continue;
                };
                if candidate.holder == belief.holder {
                    let held = &mut self.held[usize::from(index)];
                    *held = held.max(belief::survival(belief.age, candidate.horizon));
                }
            }
            for (hits, held) in self.hits.iter_mut().zip(&self.held) {
                *hits += held;
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
        for list in [&mut self.held, &mut self.hits] {
            list.clear();
            list.resize(candidates.len(), 0.0);
        }
    }

    /// Collects the candidates worth a look: believed holders, homes and samples.
    fn consider(&mut self, candidates: &[Candidate<'_>], request: &Request<'_>) {
        self.considered.clear();
        if request.is_sole {
            self.considered.extend((0..).take(candidates.len()));
            return;
        }
        for (index, hits) in (0..).zip(&self.hits) {
            if *hits > 0.1 {
                self.considered.push(index);
            }
        }
        if let Some(&key) = request.levels.first() {
            self.add_homes(candidates, key);
        }
        let mut random = request.seed;
        for _ in 0..SAMPLES {
            random = mix(random);
            let index = random % candidates.len().max(1) as u64;
            self.considered.push(index as u16);
        }
    }

    /// Finds, for each depth, the home of that level among the candidates that hold all before.
    ///
    /// Instances that hold about the same beliefs find the same home without a message.
    fn find_homes(&mut self, candidates: &[Candidate<'_>], levels: &[u64]) {
        self.homes.clear();
        self.homes.resize(levels.len(), (0, u16::MAX));
        for &index in &self.considered {
            let hash = candidates[usize::from(index)].hash;
            let depth = first_missing(self.hits[usize::from(index)]);
            for (home, level) in self.homes.iter_mut().zip(levels).take(depth + 1) {
                *home = (*home).max((mix(hash ^ level), index));
            }
        }
    }

    /// The considered candidate that is expected to have most of the prompt.
    fn source(&self, home_prior: f32) -> Option<Place> {
        let places = self.considered.iter().map(|&index| {
            let hits = self.hits[usize::from(index)];
            Place {
                index: usize::from(index),
                hits,
                prior: if self.is_home(index, first_missing(hits)) {
                    home_prior
                } else {
                    0.0
                },
            }
        });
        let all = self.homes.len() as f32;
        places.max_by(|a, b| a.expected(all).total_cmp(&b.expected(all)))
    }

    fn is_home(&self, index: u16, depth: usize) -> bool {
        self.homes.get(depth).is_some_and(|home| home.1 == index)
    }

    fn add_homes(&mut self, candidates: &[Candidate<'_>], key: u64) {
        let mut best = [(0_u64, u16::MAX); HOMES];
        for (index, candidate) in (0..).zip(candidates) {
            let mut entry = (mix(candidate.hash ^ key), index);
            for place in &mut best {
                if entry.0 > place.0 {
                    std::mem::swap(place, &mut entry);
                }
            }
        }
        let found = best.iter().filter(|(_, index)| *index != u16::MAX);
        self.considered.extend(found.map(|(_, index)| index));
    }
}

/// Picks the considered candidate of least cost, or `None` if there are no candidates.
pub fn pick(
    candidates: &[Candidate<'_>],
    beliefs: &Table,
    request: &Request<'_>,
    scratch: &mut Scratch,
) -> Option<Choice> {
    if candidates.is_empty() {
        return None;
    }
    scratch.expect(candidates, beliefs, request);
    scratch.consider(candidates, request);
    scratch.find_homes(candidates, request.levels);
    let source = request
        .fetch
        .and_then(|_| scratch.source(request.home_prior));
    let choices = scratch.considered.iter().map(|&index| {
        let hits = scratch.hits[usize::from(index)];
        let is_home = scratch.is_home(index, first_missing(hits));
        let place = Place {
            index: usize::from(index),
            hits,
            prior: if is_home { request.home_prior } else { 0.0 },
        };
        assess(candidates, &place, source.as_ref(), request)
    });
    let jitter = if request.is_sole { 0.0 } else { JITTER };
    choices.min_by(|a, b| {
        let cost = |choice| jittered(choice, request.seed, jitter);
        cost(a).total_cmp(&cost(b))
    })
}

/// A candidate with what it is expected to have.
#[derive(Clone, Copy, Debug)]
struct Place {
    index: usize,
    /// Blocks that are believed to be cached there.
    hits: f32,
    /// Part of the others that is expected to be cached too.
    prior: f32,
}

impl Place {
    /// Blocks that are expected to be cached, of `all`.
    fn expected(&self, all: f32) -> f32 {
        self.hits + (all - self.hits).max(0.0) * self.prior
    }
}

/// Depth of the first level that is not expected to be cached.
fn first_missing(hits: f32) -> usize {
    (hits + 0.5) as usize
}

/// A way to get blocks that a candidate lacks.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    source: Source,
    /// Blocks that are believed to be at the source.
    hits: f32,
    /// Blocks that it has beyond those of the candidate.
    gain: f32,
    /// Blocks that could be computed before the source begins to send.
    wait: f32,
}

impl Fetch {
    /// The cost of `missing` blocks, in blocks that are computed.
    fn cost(&self, missing: f32, fetch: f32) -> f32 {
        self.wait + (missing - self.gain).max(0.0) + self.gain * fetch
    }
}

/// The cheapest way to get blocks that `place` lacks, if that is worth it.
fn fetch(
    candidate: &Candidate<'_>,
    place: &Place,
    source: Option<&Place>,
    request: &Request<'_>,
) -> Option<(Fetch, f32)> {
    let cost_of_one = request.fetch?;
    let all = request.levels.len() as f32;
    let own = place.expected(all);
    let missing = (all - own).max(0.0);
    let other = source.filter(|source| source.index != place.index);
    let other = other.map(|source| Fetch {
        source: Source::Endpoint(source.index),
        hits: source.hits,
        gain: source.expected(all) - own,
        wait: 0.0,
    });
    let store = Fetch {
        source: Source::Store,
        hits: candidate.kept,
        gain: candidate.kept - own,
        wait: candidate.kept_wait,
    };
    let ways = other.into_iter().chain([store]);
    ways.filter(|way| way.gain > MIN_FETCHED)
        .map(|way| (way, way.cost(missing, cost_of_one)))
        .filter(|(_, cost)| *cost < missing)
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

/// The cost of one candidate.
fn assess(
    candidates: &[Candidate<'_>],
    place: &Place,
    source: Option<&Place>,
    request: &Request<'_>,
) -> Choice {
    let candidate = &candidates[place.index];
    let all = request.levels.len() as f32;
    let missing = (all - place.expected(all)).max(0.0);
    let fetch = fetch(candidate, place, source, request);
    let expected = fetch.map_or(missing, |(_, cost)| cost) + request.tail;
    let missed = (all - place.hits).max(0.0) + request.tail;
    let wait = candidate.ahead + candidate.reported;
    let harm = candidate.harm.min(expected);
    Choice {
        index: place.index,
        hits: place.hits,
        missed: if fetch.is_some() { expected } else { missed },
        wait,
        cost: (wait + expected + harm + candidate.doubt) * candidate.block_seconds,
        source: fetch.map(|(way, _)| way.source),
        source_hits: fetch.map_or(0.0, |(way, _)| way.hits),
    }
}

fn jittered(choice: &Choice, seed: u64, jitter: f32) -> f32 {
    let dice = mix(seed ^ choice.index as u64) as f32 / u64::MAX as f32;
    choice.cost * (1.0 + jitter * dice)
}

/// Picks by one of the baselines.
pub fn pick_baseline(
    strategy: Strategy,
    candidates: &[Candidate<'_>],
    request: &Request<'_>,
    turn: usize,
) -> Option<usize> {
    let reported = |c: &Candidate<'_>| (c.reported + 0.5) as u32;
    let simple: Vec<baseline::Candidate<'_>> = candidates
        .iter()
        .map(|candidate| baseline::Candidate {
            name: candidate.name,
            in_flight: candidate.in_flight,
            reported: reported(candidate),
        })
        .collect();
    let Request { levels, seed, .. } = *request;
    match strategy {
        Strategy::RoundRobin => baseline::round_robin(&simple, turn),
        Strategy::PrefixHash => baseline::prefix_hash(&simple, levels, seed),
        Strategy::DeepestHome => baseline::deepest_home(&simple, levels, seed),
        Strategy::LeastLoad | Strategy::Cost => baseline::least_load(&simple, seed),
    }
}
