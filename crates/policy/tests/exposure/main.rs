//! Rollout of a version: bound of the exposure, verdict and stages.

mod fleet;

use fleet::{Fault, World, run};

#[test]
fn survey() {
    for (fault, begins) in [
        (Fault::None, 0.0),
        (Fault::Fails(0.2), 0.0),
        (Fault::Fails(0.2), 0.3),
        (Fault::Fails(0.2), 0.55),
        (Fault::Fails(0.2), 0.62),
        (Fault::Fails(0.2), 0.68),
        (Fault::FailsUnderLoad(0.4), 0.0),
        (Fault::FailsOnRoute(0.3), 0.0),
        (Fault::Slow(3.0), 0.0),
        (Fault::Slow(3.0), 0.4),
        (Fault::Slow(3.0), 0.6),
        (Fault::PartlySlow(0.3), 0.0),
    ] {
        for rate in [30.0, 150.0, 600.0] {
            let start = std::time::Instant::now();
            let (mut back, mut over, mut late, mut worst, mut end, mut maxend) =
                (0, 0, 0, 0.0_f64, 0.0, 0.0_f64);
            let runs = if fault == Fault::None { 100 } else { 20 };
            for seed in 0..runs {
                let world = World {
                    seed,
                    instances: if seed % 2 == 0 { 80 } else { 890 },
                    endpoints: [3, 15, 60][(rate > 31.0) as usize + (rate > 151.0) as usize],
                    rate,
                    duration: 30.0,
                    fault,
                    begins_at: begins,
                    has_troubles: true,
                };
                let o = run(world);
                if fault == Fault::None && o.stage != Some(policy::exposure::Stage::Done) {
                    println!("{world:?} {o:?}");
                }
                back += u32::from(o.stage == Some(policy::exposure::Stage::RolledBack));
                over += u32::from(!o.is_bounded());
                worst = worst.max((o.exposed - 50.0) / o.requests);
                late += u32::from(
                    o.bad_limit_at
                        .is_some_and(|at| o.last_exposed_at > at + 5.0),
                );
                end += o.ended_at / runs as f64;
                maxend = maxend.max(o.ended_at);
            }
            println!(
                "{fault:?} at {begins} rate {rate}: back {back}/{runs} over {over} late {late} worst {worst:.3} end {end:.2} max {maxend:.2} {:?}",
                start.elapsed()
            );
        }
    }
}

#[test]
#[ignore]
fn debug() {
    let seed = std::env::var("SEED").unwrap().parse().unwrap();
    let world = World {
        seed,
        instances: 80,
        endpoints: 15,
        rate: 150.0,
        duration: 30.0,
        fault: Fault::None,
        begins_at: 0.0,
        has_troubles: true,
    };
    println!("{:?}", run(world));
}
