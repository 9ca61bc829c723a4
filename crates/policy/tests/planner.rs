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
    pace::{
        Estimator,
        Pace, //
    },
    prefix::{
        BLOCK_TOKENS,
        Chain,
        name_hash, //
    },
    speed::{
        Reference,
        Speed,
        cost_factor, //
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
const SEED: u64 = 0x5eed;
const REQUESTS: u64 = 1_600;
/// Windows over which the load of engines is compared.
const WINDOW_MS: Millis = 200;
/// Lateness from which a start counts as late, in seconds.
const LATE_SECONDS: f32 = 0.5;
/// Slow spells: one in every period, at another time on each engine.
const SPELL_PERIOD_MS: Millis = 4_000;
const SPELL_MS: Millis = 600;
const SPELL_FACTOR: f32 = 2.5;

/// The actual state of an engine.
struct Engine {
    name: String,
    /// Prefixes with their length in tokens, least recently used first.
    cached: Vec<(u64, u64)>,
    /// Time at which the engine becomes idle, in seconds.
    busy_until: f32,
    /// Time that it takes relative to the others.
    factor: f32,
    /// When its spells begin within their period; `None` for an engine without spells.
    spell: Option<Millis>,
}

impl Engine {
    /// Seconds at which work that begins at `start` and takes `seconds` at the common pace is done.
    fn end(&self, start: f32, mut seconds: f32) -> f32 {
        let mut now = start;
        while seconds > 0.0 {
            let phase = (now * 1_000.0) as Millis % SPELL_PERIOD_MS;
            let is_slow =
                |spell: Millis| (phase + SPELL_PERIOD_MS - spell) % SPELL_PERIOD_MS < SPELL_MS;
            let slowness = if self.spell.is_some_and(is_slow) {
                SPELL_FACTOR
            } else {
                1.0
            };
            let step = seconds.min(0.005);
            now += step * self.factor * slowness;
            seconds -= step;
        }
        now
    }

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
    speeds: Vec<Speed>,
    reference: Reference,
    pace: Estimator,
    inflows: Vec<Inflow>,
}

/// Result of one simulation.
#[derive(Debug)]
struct Outcome {
    /// Queueing times of the requests, in seconds, sorted.
    waits: Vec<f32>,
    /// Blocks that were computed.
    blocks: f32,
    /// Seconds of work that were sent, by window and engine.
    work: Vec<[f32; ENGINES]>,
}

impl Outcome {
    /// The busiest engine's work over the mean, averaged over the windows.
    fn busiest_to_mean(&self) -> f32 {
        let ratio = |work: &[f32; ENGINES]| {
            let mean = work.iter().sum::<f32>() / ENGINES as f32;
            work.iter().copied().fold(0.0, f32::max) / mean.max(f32::MIN_POSITIVE)
        };
        self.work.iter().map(ratio).sum::<f32>() / self.work.len() as f32
    }

    /// Fraction of the requests that started late.
    fn late(&self) -> f32 {
        let late = self.waits.iter().filter(|wait| **wait > LATE_SECONDS);
        late.count() as f32 / self.waits.len() as f32
    }
}

/// What is simulated.
#[derive(Clone, Copy)]
struct Scenario {
    seed: u64,
    is_sole: bool,
    requests: u64,
    interval_ms: Millis,
    /// Whether engines run at 0.6, 1.0 and 1.6 of the pace, with slow spells.
    is_uneven: bool,
    /// Whether the planner learns the speed of each engine.
    learns: bool,
}

fn simulate(scenario: Scenario) -> Outcome {
    let Scenario {
        seed,
        is_sole,
        requests,
        interval_ms,
        is_uneven,
        learns,
    } = scenario;
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|n| Engine {
            name: format!("engine-{n}"),
            cached: Vec::new(),
            busy_until: 0.0,
            factor: if is_uneven {
                [0.6, 1.0, 1.6][n % 3]
            } else {
                1.0
            },
            spell: is_uneven.then_some(n as Millis * 1_237 % SPELL_PERIOD_MS),
        })
        .collect();
    let views = if is_sole { 1 } else { INSTANCES };
    let mut views: Vec<View> = (0..views)
        .map(|_| View {
            beliefs: Table::new(1 << 14),
            queues: vec![Queue::default(); ENGINES],
            speeds: vec![Speed::default(); ENGINES],
            reference: Reference::default(),
            pace: Estimator::new(PACE),
            inflows: vec![Inflow::default(); ENGINES],
        })
        .collect();
    let mut random = seed;
    let mut draw = |below: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % below
    };
    let mut outcome = Outcome {
        waits: Vec::new(),
        blocks: 0.0,
        work: vec![[0.0; ENGINES]; (requests * interval_ms).div_ceil(WINDOW_MS) as usize],
    };
    // End of the computation in seconds, index of the view, index of the engine, ticket.
    let mut running: Vec<(f32, usize, usize, u64)> = Vec::new();
    for number in 0..requests {
        let now = 100_000 + number * interval_ms;
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
                let at = (end * 1_000.0) as Millis;
                let sample = view.queues[engine].begin(at, ticket);
                if let Some(sample) = sample.filter(|_| is_uneven) {
                    let pace = view.pace.pace();
                    view.reference.record(at, &sample, &pace);
                    let typical = view.reference.ratio();
                    view.speeds[engine].record(at, &sample, &pace, typical);
                    view.pace.record(&sample);
                }
            }
            !has_ended
        });
        let view = &mut views[view_index];
        let pace = view.pace.pace();
        let typical = view.reference.ratio();
        let candidate = |index: usize| {
            let queue = &mut view.queues[index];
            let speed = view.speeds[index];
            let (factor, cost_factor) = if learns {
                let factor = speed.factor(now, typical);
                (factor, cost_factor(factor))
            } else {
                (1.0, 1.0)
            };
            let block_seconds = pace.block * cost_factor;
            Candidate {
                name: &engines[index].name,
                hash: name_hash(&engines[index].name),
                holder: holder(index),
                in_flight: 0,
                local_backlog: 0.0,
                remote_backlog: queue.remaining(now, &pace.scaled(factor), 0) / block_seconds,
                block_seconds,
                eviction_age: view.inflows[index].eviction_age(now, CAPACITY),
                delay_penalty: 0.0,
                version_penalty: 0.0,
                store_hits: 0.0,
                store_wait: 0.0,
            }
        };
        let candidates: Vec<Candidate<'_>> = (0..ENGINES).map(candidate).collect();
        let request = Request {
            levels: &chain.levels,
            tail: chain.tail,
            now,
            seed: draw(u64::MAX),
            fetch_cost: None,
            home_prior: if is_sole { 0.1 } else { 0.95 },
            is_sole,
            tolerance: 0.0,
        };
        let scratch = &mut Scratch::default();
        let choice = pick(&candidates, &view.beliefs, &request, scratch).unwrap();
        let engine = &mut engines[choice.index];
        let blocks = engine.compute(prefix, tokens, suffix);
        let seconds = now as f32 / 1_000.0;
        let start = engine.busy_until.max(seconds);
        engine.busy_until = engine.end(start, blocks * BLOCK_SECONDS);
        let window = (number * interval_ms / WINDOW_MS) as usize;
        outcome.work[window][choice.index] += engine.busy_until - start;
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
    let scenario = |is_sole| Scenario {
        seed: SEED,
        is_sole,
        requests: REQUESTS,
        interval_ms: INTERVAL_MS,
        is_uneven: false,
        learns: false,
    };
    let (one, many) = (simulate(scenario(true)), simulate(scenario(false)));
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

/// Guards against engines of different speed that get the same work, so that the slow ones start late.
#[test]
fn a_planner_that_learns_the_speed_of_each_engine_has_fewer_late_starts() {
    // From half to most of what the engines can do.
    let mut sums = [0.0; 2];
    for interval_ms in [8, 6, 5] {
        let [before, after] = [false, true].map(|learns| {
            let outcomes = (SEED..SEED + 6).map(|seed| {
                simulate(Scenario {
                    seed,
                    is_sole: true,
                    requests: 4_800,
                    interval_ms,
                    is_uneven: true,
                    learns,
                })
            });
            let sums = outcomes.fold([0.0; 3], |[late, ratio, blocks], outcome| {
                [
                    late + outcome.late(),
                    ratio + outcome.busiest_to_mean(),
                    blocks + outcome.blocks,
                ]
            });
            let [late, ratio, blocks] = sums.map(|sum| sum / 6.0);
            println!(
                "interval {interval_ms} learns {learns}: late {late:.4}, busiest to mean {ratio:.2}, \
                 blocks {blocks:.0}"
            );
            (late, blocks)
        });
        assert!(after.0 < before.0, "{interval_ms}: {after:?} {before:?}");
        assert!(
            after.1 < before.1 * 1.05,
            "{interval_ms}: {after:?} {before:?}"
        );
        sums = [sums[0] + before.0, sums[1] + after.0];
    }
    assert!(sums[1] < sums[0] * 0.85, "{sums:?}");
}
