//! Property tests of endpoint choice, beliefs, prefix chains and the learnt estimates.

use policy::{
    belief::{
        Holder,
        Millis,
        Table, //
    },
    breaker::Breaker,
    choice::{
        Candidate,
        HOME_PRIOR,
        Request,
        Scratch,
        pick, //
    },
    load::Estimate,
    prefix::{
        BLOCK_BYTES,
        Chain,
        Level,
        Root, //
    },
    retry::Budget, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 0x5eed;
const NAMES: [&str; 20] = [
    "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12", "e13", "e14",
    "e15", "e16", "e17", "e18", "e19",
];

fn seeded_quickcheck() -> QuickCheck {
    QuickCheck::new()
        .tests(25)
        .rng(Gen::from_size_and_seed(64, SEED))
}

fn holder(slot: u16) -> Holder {
    Holder { slot, epoch: 0 }
}

/// Idle endpoints with initial estimates.
fn idle_endpoints(count: usize) -> Vec<Candidate<'static>> {
    let estimate = Estimate::default();
    (0..)
        .zip(&NAMES[..count])
        .map(|(slot, name)| Candidate {
            name,
            hash: policy::prefix::name_hash(name),
            holder: holder(slot),
            in_flight: 0,
            local_backlog: 0.0,
            remote_backlog: 0.0,
            block_seconds: estimate.block_seconds,
            eviction_age: estimate.eviction_age,
            delay_penalty: 0.0,
            version_penalty: 0.0,
            store_hits: 0.0,
            store_wait: 0.0,
        })
        .collect()
}

/// The state of one instance that its choices depend on.
struct Instance {
    beliefs: Table,
    candidates: Vec<Candidate<'static>>,
    scratch: Scratch,
    random: u64,
}

impl Instance {
    fn new(number: u64) -> Self {
        Self {
            beliefs: Table::new(4096),
            candidates: idle_endpoints(NAMES.len()),
            scratch: Scratch::default(),
            random: number.wrapping_mul(0x9e37_79b9_7f4a_7c15) + SEED,
        }
    }

    /// Chooses an endpoint and records the request in its backlog and in the beliefs.
    fn send(&mut self, levels: &[Level], now: Millis) -> Option<usize> {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005) + 1;
        let request = Request {
            levels,
            tail: 0.3,
            now,
            seed: self.random,
            fetch_cost: None,
            home_prior: HOME_PRIOR,
            is_sole: false,
            tolerance: 0.0,
        };
        let choice = pick(&self.candidates, &self.beliefs, &request, &mut self.scratch)?;
        let candidate = &mut self.candidates[choice.index];
        candidate.local_backlog += choice.missed;
        for level in levels {
            self.beliefs.insert(level.hash, candidate.holder, now);
        }
        Some(choice.index)
    }
}

/// Levels of prompt number `prompt`; prompts with different numbers have no level in common.
fn levels(prompt: u64, count: u64) -> Vec<Level> {
    let level = |depth: u64| Level {
        hash: policy::prefix::name_hash(&format!("{prompt}/{depth}")),
        blocks: 1.0,
    };
    (0..count).map(level).collect()
}

#[test]
fn holders_returns_only_beliefs_of_the_level_and_none_of_a_new_epoch() {
    fn property(inserted: Vec<(u8, u8, u16)>) -> bool {
        let mut table = Table::new(1024);
        for &(level, slot, at) in &inserted {
            table.insert(u64::from(level), holder(slot.into()), at.into());
        }
        (0..=u8::MAX).all(|slot| {
            let next_epoch = Holder {
                slot: slot.into(),
                epoch: 1,
            };
            (0..=u8::MAX).all(|level| {
                let mut found = table.holders(level.into(), Millis::MAX / 2);
                found.all(|b| b.holder != next_epoch && b.level == u64::from(level))
            })
        })
    }
    seeded_quickcheck().quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn a_choice_expects_no_hits_at_a_new_incarnation() {
    let mut instance = Instance::new(0);
    let prompt = levels(1, 8);
    let index = instance.send(&prompt, 1000).unwrap();
    let request = Request {
        levels: &prompt,
        tail: 0.0,
        now: 1000,
        seed: 7,
        fetch_cost: None,
        home_prior: HOME_PRIOR,
        is_sole: false,
        tolerance: 0.0,
    };
    let mut hits = |epoch| {
        let mut candidate = instance.candidates[index];
        candidate.holder.epoch = epoch;
        let choice = pick(
            &[candidate],
            &instance.beliefs,
            &request,
            &mut instance.scratch,
        );
        choice.unwrap().hits
    };
    assert!(hits(0) > 7.0);
    assert!(hits(1) == 0.0);
}

#[test]
fn roots_that_differ_in_any_field_share_no_level() {
    fn property(fields: (String, String), version: (u8, u8), text: Vec<u8>) -> bool {
        let root = |workspace, model, version| Root {
            workspace,
            model,
            adapter: "",
            version,
        };
        let versions = (version.0.to_string(), version.1.to_string());
        let (a, b) = &fields;
        let roots = [
            root(a, "m", &versions.0),
            root(b, "m", &versions.0),
            root(a, "m", &versions.1),
            root(a, b, &versions.0),
        ];
        let prompt: Vec<u8> = text.iter().copied().cycle().take(3 * BLOCK_BYTES).collect();
        let chains = roots.map(|root| Chain::new(&root, &prompt).levels);
        let overlap = |i: usize, j: usize| chains[i].iter().any(|level| chains[j].contains(level));
        (0..4).all(|i| (0..i).all(|j| prompt.is_empty() || overlap(i, j) == (roots[i] == roots[j])))
    }
    seeded_quickcheck().quickcheck(property as fn((String, String), (u8, u8), Vec<u8>) -> bool);
}

#[test]
fn table_memory_stays_within_the_capacity() {
    fn property(capacity: u16, prompts: Vec<u64>) -> bool {
        let capacity = usize::from(capacity).max(64);
        let mut table = Table::new(capacity);
        for prompt in prompts {
            for level in levels(prompt, 100) {
                table.insert(level.hash, holder((prompt % 60) as u16), prompt % 100_000);
            }
        }
        table.capacity() <= capacity && table.iter(0).count() <= capacity
    }
    seeded_quickcheck().quickcheck(property as fn(u16, Vec<u64>) -> bool);
    assert_eq!(Table::entry_bytes(), 16);
}

#[test]
fn a_full_bucket_evicts_the_oldest_belief() {
    let mut table = Table::new(64);
    for level in 0..65 {
        table.insert(level, holder(0), 1000 + level * 10);
    }
    let held = |level| table.holders(level, 2000).count();
    assert_eq!((held(0), held(1), held(64)), (0, 1, 1));
}

#[test]
fn eight_instances_do_not_herd_onto_one_endpoint() {
    let mut instances: Vec<Instance> = (0..8).map(Instance::new).collect();
    let mut counts = [0_u32; NAMES.len()];
    for prompt in 0..50 {
        for (number, instance) in (0..).zip(&mut instances) {
            // All instances see the same report: one endpoint is idle, the others have a backlog.
            for candidate in &mut instance.candidates {
                candidate.remote_backlog = if candidate.name == "e7" { 0.0 } else { 1.0 };
                candidate.local_backlog = 0.0;
            }
            let prompt = levels(1000 * number + prompt, 4);
            counts[instance.send(&prompt, 1000 + prompt[0].hash % 7).unwrap()] += 1;
        }
    }
    let total: u32 = counts.iter().sum();
    let most = *counts.iter().max().unwrap();
    assert_eq!(total, 400);
    assert!(most * 4 < total, "{counts:?}");
}

#[test]
fn instances_send_a_burst_of_one_cold_prefix_to_one_endpoint() {
    for prompt in 0..20 {
        let mut instances: Vec<Instance> = (0..8).map(Instance::new).collect();
        let prompt = levels(prompt, 10);
        let mut chosen: Vec<usize> = instances
            .iter_mut()
            .map(|instance| instance.send(&prompt, 1000).unwrap())
            .collect();
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen.len(), 1, "{chosen:?}");
    }
}

#[test]
fn a_burst_with_one_prefix_stays_on_one_endpoint_until_waiting_costs_more_than_computing() {
    let mut instance = Instance::new(0);
    let hot = levels(5, 10);
    let first = instance.send(&hot, 1000).unwrap();
    // Half of the first prompt is computed; the requests queued behind it miss few blocks.
    instance.candidates[first].local_backlog = 5.0;
    let chosen: Vec<usize> = (0..4).map(|_| instance.send(&hot, 1000).unwrap()).collect();
    assert!(chosen.iter().all(|index| *index == first), "{chosen:?}");
    instance.candidates[first].local_backlog = 100.0;
    assert_ne!(instance.send(&hot, 1000).unwrap(), first);
}

#[test]
fn a_request_avoids_an_endpoint_where_it_delays_urgent_requests() {
    let mut candidates = idle_endpoints(2);
    candidates[0].delay_penalty = 3.0;
    let table = Table::new(64);
    for seed in 0..100 {
        let request = Request {
            levels: &[],
            tail: 0.5,
            now: 1000,
            seed,
            fetch_cost: None,
            home_prior: HOME_PRIOR,
            is_sole: false,
            tolerance: 0.0,
        };
        let choice = pick(&candidates, &table, &request, &mut Scratch::default()).unwrap();
        // For most seeds both are sampled, and the second must win; otherwise the first was sampled
        // alone and its cost includes the penalty.
        assert!(choice.index == 1 || choice.cost > 0.025, "{choice:?}");
    }
}

#[test]
fn a_breaker_lets_few_requests_through_to_an_endpoint_that_fails_at_once() {
    let mut breaker = Breaker::default();
    let sent = (0..60_000)
        .filter(|&now| {
            let allowed = breaker.allows(now);
            if allowed {
                breaker.record_sent(now);
                breaker.record_failure(now);
            }
            allowed
        })
        .count();
    assert!(sent <= 12, "{sent} requests in a minute");
    breaker.record_success();
    assert!(breaker.allows(60_000));
}

/// Guards against endpoints that are avoided for long after the fault of a network has ended.
#[test]
fn an_ended_pause_lets_a_probe_through_and_begins_anew_with_the_shortest() {
    let mut breaker = Breaker::default();
    assert!(!breaker.is_probe_due(0));
    for _ in 0..10 {
        breaker.record_failure(0);
    }
    assert!(!breaker.is_probe_due(9_000));
    breaker.end_pause(1_000);
    assert!(breaker.is_probe_due(1_000));
    breaker.record_sent(1_000);
    assert!(!breaker.is_probe_due(1_249));
    assert!(breaker.is_probe_due(1_250));
    breaker.record_success();
    breaker.end_pause(2_000);
    assert!(breaker.allows(2_000) && !breaker.is_probe_due(2_000));
}

#[test]
fn retries_stay_within_a_fifth_of_the_requests() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        // Every attempt fails and is retried until the budget is exhausted.
        while budget.spend() {
            retries += 1;
        }
    }
    assert!(retries <= 2_000 + 50, "{retries}");
}

#[test]
fn the_estimated_eviction_age_converges() {
    for eviction_age in [500, 2_000, 30_000] {
        let mut estimate = Estimate::default();
        for round in 0..500 {
            let age = eviction_age / 2 + eviction_age * (round % 10) / 10;
            if age < eviction_age {
                estimate.record_hit(age);
            } else {
                estimate.record_eviction(age);
            }
        }
        let learnt = estimate.eviction_age;
        assert!(
            learnt > eviction_age / 2 && learnt < eviction_age * 3 / 2,
            "{learnt} for {eviction_age}"
        );
    }
}
