//! Simulation: instances that choose engines alone, each with a view of the loads that is 100 to 500 ms
//! old, compared with the least known load and with a perfect view.

use std::collections::VecDeque;

use policy::{
    belief::Millis,
    spread::{
        Known,
        TOLERANCE_SECONDS,
        draw, //
    }, //
};

const ENGINES: usize = 60;
const SLOTS: usize = 16;
/// Time that a request takes at an engine of factor 1, in seconds.
const REQUEST_SECONDS: f32 = 0.06;
/// What remains of it where the hot prefix is cached: at two engines.
const HIT_FRACTION: f32 = 0.3;
const HOMES: usize = 2;
const DURATION_MS: Millis = 6_000;
/// Time in which a third of the engines is gone.
const OUTAGE_MS: std::ops::Range<Millis> = 2_000..4_000;
const REPORT_MS: Millis = 400;
const MIN_AGE_MS: Millis = 100;
const WINDOW_MS: Millis = 200;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Perfect,
    LeastKnown,
    Spread,
    /// Without any load or speed of engines, as on an instance that starts.
    Blind,
}

struct Engine {
    factor: f32,
    /// Ends of the requests, in seconds.
    ends: VecDeque<f32>,
}

impl Engine {
    fn load(&mut self, now: f32) -> f32 {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
        self.ends.back().map_or(0.0, |end| end - now)
    }
}

struct Outcome {
    busiest_to_mean: f32,
    /// Share of sends beyond an engine's slots, or to an engine that is gone.
    beyond: f32,
    /// The busiest of the engines that have returned to the mean, in the first second.
    returned_to_mean: f32,
}

fn simulate(policy: Policy, instances: usize, utilisation: f32, hot: f32) -> Outcome {
    let mut random = 0x5eed_u64;
    let mut next = move || {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        random ^ (random >> 29)
    };
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|index| Engine {
            factor: [0.6, 1.0, 1.6][index % 3],
            ends: VecDeque::new(),
        })
        .collect();
    let capacity: f32 = engines.iter().map(|engine| 1.0 / engine.factor).sum();
    let per_ms = capacity * utilisation / REQUEST_SECONDS / 1_000.0;
    // Loads of the last times, and whether engines were there.
    let mut history: VecDeque<Vec<Option<f32>>> = VecDeque::new();
    let mut views = vec![vec![Some(Known::default()); ENGINES]; instances];
    let (mut due, mut sends, mut beyond) = (0.0, 0, 0);
    let mut work = vec![0.0_f32; ENGINES];
    let (mut ratios, mut returned) = (Vec::new(), Vec::new());
    let is_returning = |index: usize| (index / 3).is_multiple_of(3);
    for now in 0..DURATION_MS {
        let seconds = now as f32 / 1_000.0;
        let is_gone = |index: usize| OUTAGE_MS.contains(&now) && is_returning(index);
        for (index, engine) in engines.iter_mut().enumerate() {
            if is_gone(index) {
                engine.ends.clear();
            }
        }
        let loads = engines.iter_mut().enumerate();
        let loads = loads.map(|(index, e)| (!is_gone(index)).then(|| e.load(seconds)));
        history.push_back(loads.collect());
        if history.len() > MIN_AGE_MS as usize {
            history.pop_front();
        }
        for instance in
            (0..instances).filter(|i| (*i as Millis * 37 + now).is_multiple_of(REPORT_MS))
        {
            for (index, load) in history[0].iter().enumerate() {
                let known = &mut views[instance][index];
                *known = load.map(|load| {
                    let mut report = Known::default();
                    report.record_report(now, load);
                    report
                });
            }
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let instance = next() as usize % instances;
            let is_hot = (next() % 1_000) as f32 / 1_000.0 < hot;
            let blocks = |index: usize| {
                if is_hot && index < HOMES {
                    HIT_FRACTION * REQUEST_SECONDS
                } else {
                    REQUEST_SECONDS
                }
            };
            let cost = |index: usize| -> Option<f32> {
                let load = if policy == Policy::Perfect {
                    let ends = &engines[index].ends;
                    let load = ends.back().map_or(0.0, |end| (end - seconds).max(0.0));
                    (!is_gone(index)).then_some(load)
                } else {
                    views[instance][index].map(|known| known.load(now))
                };
                Some(if policy == Policy::Blind {
                    load.map(|_| blocks(index))?
                } else {
                    load? + blocks(index) * engines[index].factor
                })
            };
            let present: Vec<(usize, f32)> = (0..ENGINES)
                .filter_map(|index| Some((index, cost(index)?)))
                .collect();
            let tolerance = match policy {
                Policy::Perfect | Policy::LeastKnown => 0.0,
                Policy::Spread | Policy::Blind => TOLERANCE_SECONDS,
            };
            let costs = present.iter().map(|&(_, cost)| cost);
            let Some(chosen) = draw(costs, tolerance, next()) else {
                continue;
            };
            let index = present[chosen].0;
            let time = blocks(index) * engines[index].factor;
            if let Some(known) = &mut views[instance][index] {
                known.record_sent(now, time);
            }
            sends += 1;
            let engine = &mut engines[index];
            if is_gone(index) || engine.ends.len() >= SLOTS {
                beyond += 1;
                continue;
            }
            let start = engine.ends.back().copied().unwrap_or(0.0).max(seconds);
            engine.ends.push_back(start + time);
            work[index] += time;
        }
        if (now + 1) % WINDOW_MS == 0 {
            let there = (0..ENGINES).filter(|index| !is_gone(*index)).count();
            let mean = work.iter().sum::<f32>() / there as f32;
            let busiest = |work: &mut dyn Iterator<Item = f32>| work.fold(0.0, f32::max) / mean;
            ratios.push(busiest(&mut work.iter().copied()));
            if (OUTAGE_MS.end..OUTAGE_MS.end + 1_000).contains(&now) {
                let indexes = (0..ENGINES).filter(|index| is_returning(*index));
                returned.push(busiest(&mut indexes.map(|index| work[index])));
            }
            work.fill(0.0);
        }
    }
    let mean = |ratios: &[f32]| ratios.iter().sum::<f32>() / ratios.len() as f32;
    Outcome {
        busiest_to_mean: mean(&ratios),
        beyond: beyond as f32 / sends as f32,
        returned_to_mean: mean(&returned),
    }
}

/// Guards against instances that send to one engine at once since they have the same view, and to
/// engines that have just returned.
#[test]
fn instances_with_the_same_stale_view_do_not_choose_the_same_engine() {
    for instances in [80, 890] {
        for (utilisation, hot) in [(0.5, 0.0), (0.65, 0.0), (0.5, 0.1)] {
            let policies = [
                Policy::Perfect,
                Policy::LeastKnown,
                Policy::Spread,
                Policy::Blind,
            ];
            let [perfect, least, spread, blind] = policies.map(|policy| {
                let outcome = simulate(policy, instances, utilisation, hot);
                println!(
                    "{instances} instances, load {utilisation}, hot {hot}, {policy:?}: busiest \
                         to mean {:.2}, returned {:.2}, beyond slots {:.4}",
                    outcome.busiest_to_mean, outcome.returned_to_mean, outcome.beyond,
                );
                outcome
            });
            assert!(perfect.beyond == 0.0);
            assert!(spread.busiest_to_mean < least.busiest_to_mean / 2.0);
            assert!(spread.busiest_to_mean < perfect.busiest_to_mean * 2.0);
            assert!(spread.beyond < least.beyond / 4.0 && spread.beyond < 0.05);
            assert!(blind.busiest_to_mean < least.busiest_to_mean);
            assert!(spread.returned_to_mean < perfect.returned_to_mean * 2.0);
        }
    }
}
