//! Duration of an evaluation at the bounds of the evidence, and of a record.

use std::{
    hint::black_box,
    time::Duration, //
};

use criterion::{
    Criterion,
    criterion_group,
    criterion_main, //
};
use policy::{
    prefix::name_hash,
    suspect::Evidence, //
};

/// Number of crashes at the bounds of the evidence, and of those on a day with few.
const CRASHES: [u64; 2] = [1_024, 40];
const SEGMENTS: u64 = 64;
const INTERVAL: Duration = Duration::from_millis(500);

fn hash(value: u64) -> u64 {
    name_hash(&value.to_string())
}

/// Evidence of crashes with segments drawn from `kinds`.
fn evidence(crashes: u64, kinds: u64) -> (Evidence, Duration) {
    let mut evidence = Evidence::default();
    let mut now = Duration::ZERO;
    for crash in 0..crashes {
        now += INTERVAL;
        let ids = (0..SEGMENTS).map(|index| hash(hash(crash * SEGMENTS + index) % kinds));
        evidence.record_crash(crash, now, &ids.collect::<Vec<u64>>());
    }
    (evidence, now)
}

fn evaluations(criterion: &mut Criterion) {
    for crashes in CRASHES {
        for kinds in [100, 1_000, 10_000, 1_000_000] {
            let (mut evidence, now) = evidence(crashes, kinds);
            criterion.bench_function(&format!("evaluate/{crashes}/{kinds}"), |bencher| {
                bencher.iter(|| black_box(evidence.evaluate(now)));
            });
        }
    }
}

fn answers(criterion: &mut Criterion) {
    let mut evidence = Evidence::default();
    let mut at = Duration::ZERO;
    let mut segment = 0_u64;
    criterion.bench_function("record_answer", |bencher| {
        bencher.iter(|| {
            at += Duration::from_millis(1);
            segment = segment
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            evidence.record_answer(segment >> 50, at);
        });
    });
}

criterion_group!(benches, evaluations, answers);
criterion_main!(benches);
