//! Bulkheads of brittle endpoints, as fleets of instances grant them to each other.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use policy::{
    bulkhead::{
        Brittle,
        Bulkhead, //
    },
    limit::Role, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    TestResult,
    quickcheck, //
};

const STEP: u64 = 5;
const END: u64 = 20_000;
/// Time at which the room shrinks, to what it is again at `GROWS_AT`.
const SHRINKS_AT: u64 = 4_000;
const GROWS_AT: u64 = 12_000;
/// Time until the granting instance knows of a rejection or an end.
const LAG: u64 = 10;
/// Interval of the reports of each instance.
const REPORT_INTERVAL: u64 = 300;
const FIRST: Role = Role {
    is_first: true,
    since: Duration::ZERO,
    heard: 1.0,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(instance: usize) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 1_000 + instance as u16).into()
}

/// One run: a fleet, an endpoint whose room shrinks unsaid, and a load.
#[derive(Clone, Debug)]
struct Day {
    instances: usize,
    slots: u32,
    tolerance: u32,
    /// Room while it has shrunk.
    shrunk: u32,
    /// Time that a request takes, in milliseconds.
    service_ms: u64,
    /// Requests that arrive in a step, in hundredths.
    load: u64,
    /// Whether messages get lost, one in this many.
    loses_one_in: u64,
    seed: u64,
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        let draw = |g: &mut Gen, below: u64| u64::arbitrary(g) % below;
        let slots = 1 + draw(g, 40) as u32;
        Self {
            instances: 6 + draw(g, 79) as usize,
            slots,
            tolerance: 1 + draw(g, 12) as u32,
            shrunk: 1 + draw(g, u64::from(slots)) as u32,
            service_ms: 20 + draw(g, 2_000),
            load: 1 + draw(g, 300),
            loses_one_in: 20 + draw(g, 1_000),
            seed: u64::arbitrary(g),
        }
    }
}

impl Day {
    fn room(&self, now: u64) -> u32 {
        if (SHRINKS_AT..GROWS_AT).contains(&now) {
            self.shrunk
        } else {
            self.slots + 3
        }
    }
}

/// What became of a day.
#[derive(Debug, Default)]
struct Outcome {
    served: usize,
    falls: usize,
    rejected: usize,
}

/// A report that is on its way: when it arrives, the instance, and whether it is a rejection.
type Pending = (u64, usize, bool);

fn play(day: &Day) -> Outcome {
    let mut bulkhead = Bulkhead::new(day.slots, ms(0));
    let mut random = fastrand(day.seed);
    let mut held = vec![0_u32; day.instances];
    // Requests that run, with their end and instance.
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut pending: Vec<Pending> = Vec::new();
    let mut rejections: Vec<u64> = Vec::new();
    let mut outcome = Outcome::default();
    let mut waiting = 0;
    for now in (0..END).step_by(STEP as usize) {
        running.retain(|(end, instance)| {
            if *end <= now {
                held[*instance] -= 1;
                outcome.served += 1;
                pending.push((now + LAG, *instance, false));
            }
            *end > now
        });
        pending.retain(|(at, instance, is_rejection)| {
            if *at > now {
                return true;
            }
            if random(day.loses_one_in) > 0 {
                bulkhead.report(address(*instance), held[*instance], ms(now));
                if *is_rejection {
                    bulkhead.record_rejection(f64::from(day.tolerance), ms(now));
                }
            }
            false
        });
        if now % REPORT_INTERVAL == 0 {
            for (instance, held) in held.iter().enumerate() {
                bulkhead.report(address(instance), *held, ms(now));
            }
        }
        waiting += day.load;
        while waiting >= 100 {
            waiting -= 100;
            let instance = random(day.instances as u64) as usize;
            let used = (address(instance), held[instance] + 1);
            let tolerance = f64::from(day.tolerance);
            if bulkhead.grant(FIRST, tolerance, used, ms(now)).is_err() {
                continue;
            }
            if running.len() < day.room(now) as usize {
                held[instance] += 1;
                running.push((now + day.service_ms, instance));
                continue;
            }
            outcome.rejected += 1;
            pending.push((now + LAG, instance, true));
            rejections.retain(|at| now - at < 1_000);
            rejections.push(now);
            if rejections.len() > day.tolerance as usize {
                rejections.clear();
                outcome.falls += 1;
            }
        }
    }
    outcome
}

/// Draws numbers below a bound.
fn fastrand(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut state = seed | 1;
    move |below| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 11) % below
    }
}

quickcheck! {
    /// Guards against an endpoint that falls over again and again while its room has shrunk unsaid.
    fn an_endpoint_seldom_falls_while_its_room_shrinks(day: Day) -> TestResult {
        let outcome = play(&day);
        if outcome.falls > 2 {
            return TestResult::error(format!("{outcome:?}: {day:?}"));
        }
        TestResult::passed()
    }
}

/// Guards against a bulkhead that leaves an endpoint idle.
#[test]
fn an_endpoint_is_used_while_its_room_has_shrunk() {
    for (slots, tolerance, shrunk) in [(8, 10, 8), (8, 2, 5), (16, 1, 10), (32, 2, 16)] {
        let day = Day {
            instances: 6,
            slots,
            tolerance,
            shrunk,
            service_ms: 400,
            load: 100,
            loses_one_in: 1_000,
            seed: 1,
        };
        let outcome = play(&day);
        let seconds = |millis: u64| millis as f64 / 1_000.0;
        let capacity =
            f64::from(slots) * seconds(SHRINKS_AT) + f64::from(shrunk) * seconds(END - SHRINKS_AT);
        let capacity = capacity / seconds(day.service_ms);
        let share = outcome.served as f64 / capacity;
        println!("{slots} {tolerance} {shrunk}: {share} of {capacity}, {outcome:?}");
        assert!(share >= 0.6, "{share} of {capacity}, {outcome:?}");
    }
}

/// Guards against endpoints that count as brittle after they have stated that they are not, or not
/// before they have said so themselves.
#[test]
fn the_latest_statement_of_an_endpoint_or_another_of_its_service_counts() {
    let mut brittle = Brittle::default();
    assert_eq!(brittle.tolerance(None, ms(0)), None);
    let service = Some((3.0, ms(1_000)));
    assert_eq!(brittle.tolerance(service, ms(1_100)), Some(3.0));
    assert_eq!(brittle.tolerance(service, ms(60_000)), None);
    assert!(brittle.record_statement(Some(4.0), ms(1_200)));
    assert_eq!(brittle.tolerance(service, ms(1_300)), Some(4.0));
    assert!(brittle.record_statement(None, ms(1_400)));
    assert_eq!(brittle.tolerance(service, ms(1_500)), None);
    assert_eq!(
        brittle.tolerance(Some((2.0, ms(1_600))), ms(1_700)),
        Some(2.0)
    );
}

/// Guards against an instance that takes over and grants the whole limit while the requests of the
/// previous one are not known to it.
#[test]
fn an_instance_that_takes_over_grants_a_part() {
    let mut bulkhead = Bulkhead::new(8, ms(0));
    let role = Role {
        since: ms(1_000),
        ..FIRST
    };
    let mut granted = 0;
    for now in (1_000..1_400).step_by(30) {
        let used = (address(1), granted + 1);
        granted += u32::from(bulkhead.grant(role, 2.0, used, ms(now)).is_ok());
    }
    assert_eq!(granted, 4);
}

/// Guards against a limit that decreases to the few requests that are known to be in flight, and takes
/// long to increase again: most instances may not have reported theirs.
#[test]
fn a_rejection_decreases_the_limit_by_half_at_most() {
    let mut bulkhead = Bulkhead::new(8, ms(0));
    bulkhead.record_rejection(10.0, ms(500));
    assert_eq!(bulkhead.limit(), 8);
    for at in [2_000, 2_001, 2_002] {
        bulkhead.record_rejection(10.0, ms(at));
    }
    assert_eq!(bulkhead.limit(), 4);
    bulkhead.record_rejection(10.0, ms(2_500));
    assert_eq!(bulkhead.limit(), 2);
}
