//! Simulates token rights and two baselines, and counts their wrongful refusals.
//!
//! Buckets, loans, shares and the number of wanted parts are computed by `policy::rights`,
//! the code that the daemon runs. Only the code around it, which decides when to ask the
//! table and the peers, is simulated here; their answers take no time. The baselines exist
//! only in this simulation.

mod fleet;
mod report;

use std::time::Duration;

use anyhow::Context;
use history::rate::{
    Admission,
    check, //
};
use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};
use policy::rights::Limit;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

use fleet::Fleet;
use report::Outcome;

/// Number of instances.
pub const INSTANCES: usize = 8;
/// Simulated duration of a run.
const RUN_DURATION: Duration = Duration::from_secs(120);
/// Simulated time at which the disturbance starts.
const DISTURBED_AT: Duration = Duration::from_secs(40);
/// Duration of an outage of the table.
const OUTAGE_DURATION: Duration = Duration::from_secs(60);
/// Time from the kill of an instance to its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(5);
/// How long skewed traffic goes mainly to the same instance, the hot one.
const HOT_INSTANCE_PERIOD: Duration = Duration::from_secs(20);
/// Percentage of skewed traffic that goes to the hot instance.
const HOT_PERCENT: u32 = 80;
/// Rates of the workspaces, in tokens per second; a few of them are large.
const RATES: [u64; 5] = [16_000, 8_000, 2_000, 1_000, 1_000];
/// Burst of a workspace, in seconds of its rate.
const BURST_SECONDS: u64 = 4;

/// How a workspace's limit is divided among the instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Division {
    /// By token rights, as in the daemon.
    Rights,
    /// An equal share of the rate and burst at each instance.
    EqualSplit,
    /// The whole rate and burst at each instance, which can admit more than the limit.
    FullEach,
}

/// A fault that is injected into the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disturbance {
    /// No fault.
    Calm,
    /// One instance is killed and replaced at another address.
    Kill,
    /// One instance is killed and replaced at the same address.
    KillSame,
    /// All instances are killed and replaced at the same addresses.
    HerdSame,
    /// All instances are killed and replaced at other addresses.
    HerdNew,
    /// The table is unavailable for a minute.
    Outage,
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Whether most traffic of a workspace goes to one instance at a time.
    pub skewed: bool,
    /// Offered load, in percent of the rate.
    pub load_percent: u64,
    /// The fault that is injected.
    pub disturbance: Disturbance,
    /// Lease term of token rights.
    pub term: Duration,
    /// Seed of the random arrivals.
    pub seed: u64,
}

/// The arrival of one request.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    workspace: usize,
    tokens: u64,
    /// Random number that selects the target instance.
    random: u32,
}

/// Limits of all workspaces.
pub fn limits() -> Vec<Limit> {
    let limit = |rate: &u64| Limit {
        rate: *rate,
        burst: rate * BURST_SECONDS,
    };
    RATES.iter().map(limit).collect()
}

/// Runs all scenarios and prints their outcomes as a Markdown table.
///
/// # Errors
///
/// Returns an error if a flag is unknown or its value is invalid.
pub fn run(mut parser: Parser) -> anyhow::Result<()> {
    let (mut seed_count, mut term_s) = (3, 600);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seeds") => seed_count = parser.value()?.parse()?,
            Arg::Long("term-s") => term_s = parser.value()?.parse()?,
            other => return Err(other.unexpected()).context("see damask-load --help"),
        }
    }
    println!("{}", report::MARKDOWN_HEADER);
    for skewed in [false, true] {
        for load_percent in [50, 80, 95] {
            for disturbance in [
                Disturbance::Calm,
                Disturbance::Kill,
                Disturbance::KillSame,
                Disturbance::HerdSame,
                Disturbance::HerdNew,
                Disturbance::Outage,
            ] {
                let scenario = Scenario {
                    skewed,
                    load_percent,
                    disturbance,
                    term: Duration::from_secs(term_s),
                    seed: 0,
                };
                compare(scenario, seed_count);
            }
        }
    }
    Ok(())
}

/// Simulates the scenario for each division, and prints one row per division with the totals over
/// the seeds from 1 to `seed_count`.
fn compare(scenario: Scenario, seed_count: u64) {
    for division in [Division::Rights, Division::EqualSplit, Division::FullEach] {
        let mut total = Outcome::default();
        for seed in 1..=seed_count {
            total.merge(&simulate(division, Scenario { seed, ..scenario }));
        }
        println!("{}", total.markdown_row(division, scenario));
    }
}

/// Generates the requests of all workspaces in order of arrival: a Poisson process at the offered
/// load for each workspace.
fn generate_arrivals(scenario: Scenario) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (workspace, limit) in limits().iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed * 1000 + workspace as u64);
        // From tens to thousands of tokens, at most an eighth of the burst.
        let (min_tokens, max_tokens) = (limit.rate / 20, limit.rate / 2);
        let mean_tokens = (min_tokens + max_tokens) / 2;
        let offered_rate = limit.rate * scenario.load_percent / 100;
        let mut at_s = 0.0;
        loop {
            let uniform: f64 = rng.random();
            at_s -= (1.0 - uniform).ln() * mean_tokens as f64 / offered_rate as f64;
            if at_s >= RUN_DURATION.as_secs_f64() {
                break;
            }
            arrivals.push(Arrival {
                at: Duration::from_secs_f64(at_s),
                workspace,
                tokens: rng.random_range(min_tokens..=max_tokens),
                random: rng.random(),
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// The instance that receives the request, or `None` if none is live.
fn select_instance(scenario: Scenario, arrival: &Arrival, live: &[usize]) -> Option<usize> {
    if live.is_empty() {
        return None;
    }
    let period = (arrival.at.as_secs() / HOT_INSTANCE_PERIOD.as_secs()) as usize;
    let hot = live[(period + arrival.workspace) % live.len()];
    let is_hot = scenario.skewed && arrival.random % 100 < HOT_PERCENT;
    let uniform = live[(arrival.random / 100) as usize % live.len()];
    Some(if is_hot { hot } else { uniform })
}

fn simulate(division: Division, scenario: Scenario) -> Outcome {
    let mut fleet = Fleet::new(division, scenario.term);
    let mut outcome = Outcome::default();
    let mut admitted = vec![Vec::new(); RATES.len()];
    let mut oracle = report::Oracle::new();
    for arrival in generate_arrivals(scenario) {
        apply_disturbance(&mut fleet, scenario, arrival.at);
        fleet.advance(arrival.at);
        let Some(index) = select_instance(scenario, &arrival, &fleet.live_instances()) else {
            continue;
        };
        let oracle_admits = oracle.would_admit(arrival.workspace, arrival.tokens, arrival.at);
        if fleet.admit(index, arrival.workspace, arrival.tokens) {
            oracle.charge(arrival.workspace, arrival.tokens);
            let at_us = arrival.at.as_micros() as u64;
            admitted[arrival.workspace].push(Admission {
                sent_us: at_us,
                answered_us: at_us,
                tokens: arrival.tokens,
            });
            outcome.record_admission(arrival.workspace);
        } else {
            outcome.record_refusal(arrival.workspace, oracle_admits);
        }
    }
    outcome.writes = fleet.writes;
    outcome.loan_requests = fleet.loan_requests;
    outcome.seconds = RUN_DURATION.as_secs();
    for (limit, admitted) in limits().iter().zip(&admitted) {
        if let Err(excess) = check(admitted, limit.rate, limit.burst) {
            outcome.record_excess(excess.admitted as f64 / excess.allowed as f64);
        }
    }
    outcome
}

/// Starts or ends the scenario's disturbance if it is due at `now`.
fn apply_disturbance(fleet: &mut Fleet, scenario: Scenario, now: Duration) {
    let started = now >= DISTURBED_AT;
    let all: Vec<usize> = (0..INSTANCES).collect();
    match scenario.disturbance {
        Disturbance::Calm => {}
        Disturbance::Outage => fleet.table_up = !started || now >= DISTURBED_AT + OUTAGE_DURATION,
        _ if !started || fleet.kill_applied => {}
        Disturbance::Kill => fleet.kill(&[0], now + REPLACEMENT_DELAY, false),
        Disturbance::KillSame => fleet.kill(&[0], now + REPLACEMENT_DELAY, true),
        Disturbance::HerdSame => fleet.kill(&all, now + REPLACEMENT_DELAY, true),
        Disturbance::HerdNew => fleet.kill(&all, now + REPLACEMENT_DELAY, false),
    }
}
