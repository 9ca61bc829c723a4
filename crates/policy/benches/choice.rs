//! Duration of one choice, by number of endpoints, levels, beliefs and copies.

use std::hint::black_box;

use criterion::{
    BenchmarkId,
    Criterion,
    criterion_group,
    criterion_main, //
};
use policy::{
    belief::{
        Holder,
        Table, //
    },
    choice::{
        Candidate,
        HOME_PRIOR,
        Request,
        Scratch,
        pick, //
    },
    prefix::Level, //
};

/// Size of the benchmarked fleet, prompts and table.
#[derive(Clone, Copy, Debug)]
struct Shape {
    endpoints: u16,
    levels: u64,
    beliefs: u64,
    /// Number of endpoints that hold each level.
    copies: u64,
}

const DEFAULT_SHAPE: Shape = Shape {
    endpoints: 60,
    levels: 16,
    beliefs: 100_000,
    copies: 3,
};

fn hash(value: u64) -> u64 {
    policy::prefix::name_hash(&value.to_string())
}

fn holder(slot: u64) -> Holder {
    Holder {
        slot: u16::try_from(slot).unwrap_or(0),
        epoch: 0,
    }
}

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let candidate = |(slot, name): (u64, &'_ String)| Candidate {
        name: "",
        hash: policy::prefix::name_hash(name),
        holder: holder(slot),
        in_flight: 0,
        local_backlog: (slot % 7) as f32,
        remote_backlog: 0.0,
        block_seconds: 0.05,
        eviction_age: 5_000,
        delay_penalty: 0.0,
        version_penalty: 0.0,
        store_hits: 0.0,
        store_wait: 0.0,
    };
    (0..).zip(names).map(candidate).collect()
}

/// Creates a full table of beliefs and the prompts that they are about.
fn fill(shape: Shape) -> (Table, Vec<Vec<Level>>) {
    let mut table = Table::new((shape.beliefs * 4 / 3) as usize);
    let count = shape.beliefs / (shape.levels * shape.copies);
    let prompts: Vec<Vec<Level>> = (0..count.max(1))
        .map(|prompt| {
            (0..shape.levels)
                .map(|level| Level {
                    hash: hash(prompt << 16 | level),
                    blocks: 1.0,
                })
                .collect()
        })
        .collect();
    for (index, prompt) in (0_u64..).zip(&prompts) {
        for copy in 0..shape.copies {
            let slot = hash(index << 8 | copy) % u64::from(shape.endpoints);
            for level in prompt {
                table.insert(level.hash, holder(slot), 1_000 + index % 3_000);
            }
        }
    }
    (table, prompts)
}

fn bench(criterion: &mut Criterion, group: &str, parameter: u64, shape: Shape) {
    let names: Vec<String> = (0..shape.endpoints)
        .map(|slot| format!("e{slot}"))
        .collect();
    let candidates = candidates(&names);
    let (table, prompts) = fill(shape);
    let mut scratch = Scratch::default();
    let mut turn = 0;
    let mut choose = || {
        turn += 1;
        let request = Request {
            levels: &prompts[(hash(turn) % prompts.len() as u64) as usize],
            tail: 0.5,
            now: 5_000,
            seed: turn,
            fetch_cost: None,
            home_prior: HOME_PRIOR,
            is_sole: false,
            tolerance: 0.0,
        };
        pick(&candidates, &table, black_box(&request), &mut scratch)
    };
    let id = BenchmarkId::new(group, parameter);
    criterion.bench_with_input(id, &(), |bencher, ()| bencher.iter(&mut choose));
}

fn choices(criterion: &mut Criterion) {
    for endpoints in [15, 60, 240] {
        let shape = Shape {
            endpoints,
            ..DEFAULT_SHAPE
        };
        bench(criterion, "endpoints", endpoints.into(), shape);
    }
    for levels in [4, 16, 64] {
        bench(
            criterion,
            "levels",
            levels,
            Shape {
                levels,
                ..DEFAULT_SHAPE
            },
        );
    }
    for beliefs in [10_000, 100_000, 1_000_000] {
        bench(
            criterion,
            "beliefs",
            beliefs,
            Shape {
                beliefs,
                ..DEFAULT_SHAPE
            },
        );
    }
    for copies in [1, 3, 30] {
        bench(
            criterion,
            "copies",
            copies,
            Shape {
                copies,
                ..DEFAULT_SHAPE
            },
        );
    }
}

/// Inserts beliefs in the levels of one prompt, as each request and each response does.
fn inserts(criterion: &mut Criterion) {
    let (mut table, prompts) = fill(DEFAULT_SHAPE);
    let mut turn = 0;
    criterion.bench_function("raise/16", |bencher| {
        bencher.iter(|| {
            turn += 1;
            let prompt = &prompts[(hash(turn) % prompts.len() as u64) as usize];
            for level in prompt {
                table.insert(level.hash, holder(turn % 60), 5_000);
            }
        });
    });
}

criterion_group!(benches, choices, inserts);
criterion_main!(benches);
