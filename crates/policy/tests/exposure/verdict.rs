//! Versions that are good or bad in some way, in 200 simulated rollouts each: endpoints crash, demand
//! bursts, and the table is away for some seconds.

use policy::exposure::Stage;

use crate::fleet::{
    Fault,
    OUTAGE,
    Outcome,
    Random,
    World,
    run, //
};

const RUNS: u64 = 200;
/// Requests per second. Where tests leave out the first, most faults are found there as well, but some
/// only by chance.
const RATES: [f64; 3] = [150.0, 300.0, 500.0];
/// Longest time in seconds in which a bad version gets requests after its 50th bad response.
const ROLLBACK: f64 = 5.0;
/// Time in seconds in which an instance that begins to decide advances no stage.
const SETTLING: f64 = 2.5;

/// Worlds with many or few instances and requests, and short or long orders. The fault begins between
/// the fractions `begins` of the order's time.
fn worlds(fault: Fault, rates: &[f64], begins: (f64, f64)) -> impl Iterator<Item = World> {
    (0..RUNS).map(move |seed| {
        let mut random = Random(seed);
        let rate = rates[random.below(rates.len())];
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

/// Seconds, beyond an outage, for which the version got requests after its 50th bad response.
fn rollback(world: &World, outcome: &Outcome) -> f64 {
    let Some(limit_at) = outcome.bad_limit_at else {
        return 0.0;
    };
    let outage_at = world.outage_at * world.duration;
    let is_away = outage_at < outcome.last_exposed_at && outage_at + OUTAGE > limit_at;
    let time = outcome.last_exposed_at - limit_at;
    time - if is_away { OUTAGE } else { 0.0 }
}

/// Checks that the version is rolled back in all runs and keeps the bound on its exposure. Returns the
/// times that the rollbacks took, sorted.
fn assert_rolled_back(fault: Fault, rates: &[f64], begins: (f64, f64)) -> Vec<f64> {
    let mut times = Vec::new();
    for world in worlds(fault, rates, begins) {
        let outcome = run(world);
        assert_eq!(
            outcome.stage,
            Some(Stage::RolledBack),
            "{world:?} {outcome:?}"
        );
        assert!(outcome.is_bounded(), "{world:?} {outcome:?}");
        // Instances know the stage within a second.
        let ended_at = outcome.ended_at * world.duration;
        assert!(
            outcome.last_exposed_at <= ended_at + 1.0,
            "{world:?} {outcome:?}"
        );
        times.push(rollback(&world, &outcome));
    }
    times.sort_by(f64::total_cmp);
    times
}

fn assert_rolled_back_in_time(fault: Fault, rates: &[f64], begins: (f64, f64)) {
    let times = assert_rolled_back(fault, rates, begins);
    assert!(times[times.len() - 1] <= ROLLBACK, "{times:?}");
}

/// Guards against a version that fails from the start and is served until the end.
#[test]
fn a_version_that_fails_at_once_is_rolled_back() {
    assert_rolled_back_in_time(Fault::Fails(0.2), &RATES, (0.0, 0.0));
}

/// Guards against failures that many earlier good responses hide.
#[test]
fn a_version_that_fails_late_is_rolled_back() {
    assert_rolled_back_in_time(Fault::Fails(0.2), &RATES, (0.1, 0.5));
}

/// Guards against a sample that sees less load than the endpoints that it is compared with.
#[test]
fn a_version_that_fails_under_load_is_rolled_back() {
    assert_rolled_back_in_time(Fault::FailsUnderLoad(0.5), &RATES, (0.0, 0.3));
}

/// Guards against failures of a route with a tenth of the requests that the other routes hide.
#[test]
fn a_version_that_fails_on_a_small_route_is_rolled_back() {
    assert_rolled_back_in_time(Fault::FailsOnRoute(0.3), &RATES[1..], (0.0, 0.2));
}

/// Guards against failures of a small route that are found too late or not at all where the service gets
/// few requests.
#[test]
fn a_version_that_fails_on_a_small_route_is_rolled_back_at_any_rate() {
    assert_rolled_back_in_time(Fault::FailsOnRoute(0.3), &RATES, (0.0, 0.2));
}

/// Guards against a version that is judged by failures only.
#[test]
fn a_slow_version_is_rolled_back() {
    assert_rolled_back(Fault::Slow(3.0), &RATES, (0.0, 0.4));
}

/// Guards against slowness that is told from differences between engines of three paces too late.
#[test]
fn a_slow_version_is_rolled_back_in_time() {
    assert_rolled_back_in_time(Fault::Slow(3.0), &RATES, (0.0, 0.4));
}

/// Guards against slowness of some responses that the usual ones hide.
#[test]
fn a_version_that_is_slow_now_and_then_is_rolled_back_in_time() {
    assert_rolled_back_in_time(Fault::PartlySlow(0.5), &RATES, (0.0, 0.2));
}

/// Guards against crashes, bursts, differences between endpoints and an absent table that make a good
/// version look bad, and against one that is late. An outage and a new decider during the last stages delay it by
/// as long.
#[test]
fn a_good_version_is_completed_in_time() {
    for world in worlds(Fault::None, &RATES, (0.0, 0.0)) {
        let outcome = run(world);
        assert_eq!(outcome.stage, Some(Stage::Done), "{world:?} {outcome:?}");
        let delay = (OUTAGE + SETTLING) / world.duration;
        let is_delayed = world.outage_at < 0.8 && world.outage_at + delay > 0.55;
        let limit = if is_delayed { 0.8 + delay } else { 0.8 };
        assert!(outcome.ended_at < limit, "{world:?} {outcome:?}");
    }
}

/// Guards against a verdict on a handful of requests, and against an order that waits for more.
#[test]
fn a_good_version_with_few_requests_is_completed_in_time() {
    for world in worlds(Fault::None, &[0.5, 3.0, 20.0], (0.0, 0.0)) {
        let outcome = run(World {
            endpoints: 3,
            outage_at: 0.0,
            ..world
        });
        assert_eq!(outcome.stage, Some(Stage::Done), "{world:?} {outcome:?}");
        assert!(outcome.ended_at < 0.8, "{world:?} {outcome:?}");
    }
}

/// Guards against steps that nobody judges, and that a version which turns bad within them exceeds its
/// bound.
#[test]
fn a_version_that_turns_bad_in_the_shift_is_rolled_back_in_time() {
    assert_rolled_back_in_time(Fault::Fails(0.3), &RATES, (0.6, 0.7));
}
