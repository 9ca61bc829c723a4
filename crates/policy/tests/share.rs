//! Rate limit of a workspace: limits per window, requests larger than a share, and the reserve for
//! urgent requests.

use std::time::Duration;

use policy::share::{
    Bucket,
    HEARD_HORIZON,
    Part,
    Share,
    Tolerance, //
};
use quickcheck::quickcheck;

const WINDOW: f64 = 8.0;

const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    over: 0.1,
    slack: 190_000.0,
};

quickcheck! {
    /// Guards against a window that exceeds its limit when one workspace sends many times its rate,
    /// in requests of very different sizes.
    fn no_window_holds_more_than_the_limit(steps: Vec<(u16, u32)>, rate: u32) -> bool {
        let rate = f64::from(rate % 200_000 + 1_000);
        let share = Share::whole(rate, rate, TOLERANCE);
        let mut bucket = Bucket::new(Duration::ZERO, share);
        let mut now = Duration::ZERO;
        let mut admitted: Vec<(Duration, f64)> = Vec::new();
        let mut largest: f64 = 0.0;
        for (pause, cost) in steps {
            now += Duration::from_millis(u64::from(pause % 500));
            let cost = f64::from(cost % 60_000);
            largest = largest.max(cost);
            if bucket.charge(now, share, cost, true).is_ok() {
                admitted.push((now, cost));
            }
        }
        let limit = (rate * WINDOW + rate) * 1.1 + TOLERANCE.slack;
        admitted.iter().all(|(from, _)| {
            let within = admitted.iter().filter(|(at, _)| {
                at >= from && (*at - *from).as_secs_f64() < WINDOW
            });
            // The last request may overspend.
            within.map(|(_, cost)| cost).sum::<f64>() <= limit + largest
        })
    }
}

/// Guards against delays after debts of any size that clocks cannot add to the present time.
#[test]
fn the_delay_after_an_enormous_request_can_be_added_to_any_time() {
    let uptime = Duration::from_secs(100 * 365 * 24 * 3600);
    for (rate, cost) in [(0.5, u64::MAX as f64), (1e-300, 1e300), (0.0, 10.0)] {
        for urgent in [false, true] {
            let share = Share::whole(rate, 1.0, TOLERANCE);
            let mut bucket = Bucket::new(uptime, share);
            assert_eq!(bucket.charge(uptime, share, cost, urgent), Ok(()));
            bucket.limit(-cost);
            let share = Share { rate, ..share };
            let delay = bucket.charge(uptime, share, 1.0, urgent).unwrap_err();
            assert!(delay >= Duration::from_secs(1), "{delay:?}");
            assert!(uptime.checked_add(delay).is_some(), "{delay:?}");
        }
    }
}

#[test]
fn a_steady_rate_is_never_refused() {
    let share = Share::whole(10_000.0, 10_000.0, TOLERANCE);
    let mut bucket = Bucket::new(Duration::ZERO, share);
    for step in 1..1_000_u64 {
        let now = Duration::from_millis(step * 100);
        assert_eq!(bucket.charge(now, share, 1_000.0, false), Ok(()));
    }
}

#[test]
fn a_request_larger_than_the_capacity_is_admitted() {
    let share = Share::equal(10_000.0, 10_000.0, 50);
    let mut bucket = Bucket::new(Duration::ZERO, share);
    let now = Duration::from_secs(5);
    assert_eq!(bucket.charge(now, share, 17_000.0, true), Ok(()));
    // The overspent units accrue again before the next request is admitted.
    let wait = bucket.charge(now, share, 1.0, true).unwrap_err();
    assert!(wait > Duration::from_secs(60), "{wait:?}");
    assert_eq!(bucket.charge(now + wait, share, 1.0, true), Ok(()));
}

#[test]
fn only_urgent_requests_use_the_reserve() {
    let share = Share {
        rate: 1.0,
        capacity: 100.0,
        initial: 20.0,
    };
    let mut bucket = Bucket::new(Duration::ZERO, share);
    let full = Duration::from_secs(1_000);
    assert_eq!(bucket.charge(full, share, 90.0, false), Ok(()));
    assert!(bucket.charge(full, share, 1.0, false).is_err());
    assert_eq!(bucket.charge(full, share, 1.0, true), Ok(()));
}

/// Guards against urgent requests that all come back at the same moment and are refused again: each
/// is told to come back when the units of those before it have accrued, and others leave them those units.
#[test]
fn urgent_requests_come_back_in_turn() {
    let share = Share {
        rate: 10.0,
        capacity: 100.0,
        initial: 20.0,
    };
    let mut bucket = Bucket::new(Duration::ZERO, share);
    let now = Duration::from_secs(100);
    assert_eq!(bucket.charge(now, share, 105.0, true), Ok(()));
    let waits: Vec<Duration> = (0..3)
        .map(|_| bucket.charge(now, share, 5.0, true).unwrap_err())
        .collect();
    let millis: Vec<u128> = waits.iter().map(Duration::as_millis).collect();
    assert_eq!(millis, [600, 1_100, 1_600]);
    for wait in waits {
        let turn = now + wait;
        assert!(bucket.charge(turn, share, 1.0, false).is_err());
        assert_eq!(bucket.charge(turn, share, 5.0, true), Ok(()));
    }
}

/// Guards against requests that are starved for urgent ones that were refused and never came back.
#[test]
fn units_are_promised_for_a_short_time_only() {
    let share = Share {
        rate: 10.0,
        capacity: 100.0,
        initial: 20.0,
    };
    let mut bucket = Bucket::new(Duration::ZERO, share);
    let now = Duration::from_secs(100);
    assert_eq!(bucket.charge(now, share, 105.0, true), Ok(()));
    for _ in 0..1_000 {
        assert!(bucket.charge(now, share, 5.0, true).is_err());
    }
    let later = now + Duration::from_secs(5);
    assert_eq!(bucket.charge(later, share, 1.0, false), Ok(()));
}

#[test]
fn nothing_is_charged_ahead_once_half_is_used() {
    let share = Share {
        rate: 1.0,
        capacity: 100.0,
        initial: 20.0,
    };
    let mut bucket = Bucket::new(Duration::ZERO, share);
    let full = Duration::from_secs(1_000);
    bucket.charge(full, share, 40.0, true).unwrap();
    assert_eq!(bucket.charge_ahead(share, 50.0), 10.0);
    assert_eq!(bucket.charge_ahead(share, 50.0), 0.0);
}

/// Guards against an exceeded limit when its owner is lost while the workspace sends as much as it
/// can: the next owner does not know what was spent. It happens twice within the same window.
#[test]
fn no_window_exceeds_a_limit_whose_owner_changes() {
    let (rate, burst) = (55_000.0, 110_000.0);
    let share = Share::whole(rate, burst, TOLERANCE);
    let at = |millis: u64| Duration::from_millis(millis);
    let cost = 2_000.0;
    let mut bucket = Bucket::new(Duration::ZERO, share);
    let mut admitted = Vec::new();
    for step in 0..4_000_u64 {
        let now = at(step * 10);
        if now == at(20_000) || now == at(24_000) {
            bucket = Bucket::new(now, share);
        }
        while bucket.charge(now, share, cost, true).is_ok() {
            admitted.push(now);
        }
    }
    let limit = (rate * WINDOW + burst) * 1.1 + TOLERANCE.slack;
    for from in &admitted {
        let within = admitted
            .iter()
            .filter(|at| *at >= from && (**at - *from).as_secs_f64() < WINDOW);
        let spent = within.count() as f64 * cost;
        assert!(spent <= limit + cost, "{spent} from {from:?}");
    }
}

/// Guards against an exceeded limit while instances are stopped in turn under a workspace that sends as
/// much as it can: each of several owners within one window knows nothing of what was spent.
#[test]
fn no_window_exceeds_a_limit_whose_owner_changes_again_and_again() {
    let tolerances = [
        TOLERANCE,
        Tolerance {
            slack: 140_000.0,
            ..TOLERANCE
        },
        Tolerance {
            slack: 0.0,
            ..TOLERANCE
        },
    ];
    let rates = [(55_000.0, 110_000.0), (200_000.0, 100_000.0)];
    let cost = 2_000.0;
    let at = Duration::from_millis;
    for (tolerance, (rate, burst)) in tolerances.iter().flat_map(|t| rates.map(|rate| (*t, rate))) {
        let share = Share::whole(rate, burst, tolerance);
        for gap_ms in [400, 1_100, 2_600] {
            let changes: Vec<Duration> = (0..8).map(|n| at(20_000 + n * gap_ms)).collect();
            let mut bucket = Bucket::new(Duration::ZERO, share);
            let mut share = share.of_later_owner();
            let mut admitted = Vec::new();
            for step in 0..6_000_u64 {
                let now = at(step * 10);
                if changes.contains(&now) {
                    let is_first = now == changes[0];
                    share = Share::whole(rate, burst, tolerance);
                    if !is_first {
                        share = share.of_later_owner();
                    }
                    bucket = Bucket::new(now, share);
                }
                while bucket.charge(now, share, cost, true).is_ok() {
                    admitted.push(now);
                }
            }
            let limit = (rate * WINDOW + burst) * 1.1 + tolerance.slack;
            let mut end = 0;
            for (begin, from) in admitted.iter().enumerate() {
                let is_within = |at: &&Duration| (**at - *from).as_secs_f64() < WINDOW;
                end += admitted[end..].iter().take_while(is_within).count();
                let spent = (end - begin) as f64 * cost;
                assert!(spent <= limit + cost, "{spent} of {limit}, {gap_ms} ms");
            }
        }
    }
}

/// Guards against an exceeded limit when instances are restarted in turn and each owner comes back:
/// its bucket must not have filled up while the other one granted units.
#[test]
fn no_window_exceeds_a_limit_that_two_owners_hold_by_turns() {
    let (rate, burst) = (55_000.0, 110_000.0);
    let share = Share::whole(rate, burst, TOLERANCE);
    let cost = 2_000.0;
    let mut buckets = [Bucket::new(Duration::ZERO, share); 2];
    let mut admitted: Vec<Duration> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Duration::from_millis(step * 10);
        let owner = usize::from(now.as_millis() / 5_000 % 2 == 1);
        while buckets[owner].charge(now, share, cost, true).is_ok() {
            buckets[1 - owner].restart(now, share);
            admitted.push(now);
        }
    }
    let limit = (rate * WINDOW + burst) * 1.1 + TOLERANCE.slack;
    for from in &admitted {
        let within = admitted
            .iter()
            .filter(|at| *at >= from && (**at - *from).as_secs_f64() < WINDOW);
        let spent = within.count() as f64 * cost;
        assert!(spent <= limit + cost, "{spent} from {from:?}");
    }
}

/// One instance of [`no_window_exceeds_a_limit_while_instances_are_cut_off`].
struct Instance {
    owned: Bucket,
    part: Part,
    silent_since: Option<Duration>,
}

/// Guards against an exceeded limit while instances are cut off from its owner and from each other:
/// each spends its part of the limit, and the owner does not know yet or never leaves it to them.
#[test]
fn no_window_exceeds_a_limit_while_instances_are_cut_off() {
    const INSTANCES: usize = 8;
    let (rate, burst, cost) = (55_000.0, 110_000.0, 500.0);
    let tolerances = [
        TOLERANCE,
        Tolerance {
            slack: 0.0,
            ..TOLERANCE
        },
    ];
    let at = Duration::from_millis;
    // Instances count as failed after this time, so that one that is cut off owns all limits.
    let live_horizon = at(3_500);
    let cuts = [
        (20_000, 21_000),
        (22_000, 28_000),
        (40_000, 43_000),
        (45_000, 54_000),
    ];
    for (cut_off, tolerance) in (1..INSTANCES).flat_map(|n| tolerances.map(|t| (n, t))) {
        let whole = Share::whole(rate, burst, tolerance);
        let equal = Share::equal(rate, burst, INSTANCES);
        let advance = tolerance.advance(rate, burst, INSTANCES);
        let new = || Instance {
            owned: Bucket::new(Duration::ZERO, whole),
            part: Part::default(),
            silent_since: None,
        };
        let mut owner = Bucket::new(Duration::ZERO, whole);
        let mut instances: Vec<Instance> = (0..cut_off).map(|_| new()).collect();
        let mut admitted: Vec<Duration> = Vec::new();
        for step in 0..7_000_u64 {
            let now = at(step * 10);
            let cut = cuts
                .iter()
                .find(|(from, to)| now >= at(*from) && now < at(*to));
            let age = cut.map(|(from, _)| now - at(*from));
            // The last sign of life was passed on just before the cut.
            let heard = if age > Some(HEARD_HORIZON) {
                INSTANCES - cut_off
            } else {
                INSTANCES
            };
            let share = whole.scaled(heard as f64 / INSTANCES as f64);
            while owner.charge(now, share, cost, true).is_ok() {
                admitted.push(now);
            }
            for instance in &mut instances {
                let Some(age) = age else {
                    instance.owned.restart(now, whole);
                    instance.silent_since = None;
                    continue;
                };
                let alone = whole.scaled(1.0 / INSTANCES as f64);
                if age > live_horizon {
                    if instance.silent_since.take().is_some() {
                        instance.owned.restart(now, alone);
                        instance.owned.limit(instance.part.rest());
                    }
                    while instance.owned.charge(now, alone, cost, true).is_ok() {
                        admitted.push(now);
                    }
                    continue;
                }
                if instance.silent_since.is_none() {
                    instance.silent_since = Some(now);
                    instance.part.begin(now, advance, tolerance.window);
                }
                while instance.part.charge(now, equal, cost, true).is_ok() {
                    admitted.push(now);
                }
            }
        }
        let limit = (rate * WINDOW + burst) * (1.0 + tolerance.over) + tolerance.slack;
        for (index, from) in admitted.iter().enumerate() {
            let end = *from + Duration::from_secs_f64(WINDOW);
            let within = admitted[index..].partition_point(|at| *at < end);
            let spent = within as f64 * cost;
            assert!(
                spent <= limit,
                "{spent} of {limit} from {from:?} with {cut_off} cut off"
            );
        }
    }
}
