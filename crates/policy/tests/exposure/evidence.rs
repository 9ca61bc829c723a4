//! Evidence that is lost, repeated, out of order, or explained by crashes.

use std::{
    sync::Arc,
    time::Duration, //
};

use policy::exposure::{
    Evidence,
    Hold,
    Ledger,
    Side, //
};
use quickcheck::quickcheck;

/// Cumulative reports after each of the responses.
fn reports(responses: &[(bool, u8, u16)]) -> Vec<Evidence> {
    let mut evidence = Evidence::default();
    let mut add = |(is_new, route, millis): &(bool, u8, u16)| {
        let side = if *is_new { Side::New } else { Side::Old };
        let sample = evidence
            .route(["a", "b", "c"][usize::from(route % 3)])
            .side(side);
        sample.record_sent();
        match millis % 5 {
            0 => sample.record_failure(),
            1 => sample.record_broken(),
            _ => sample.record_answer(Duration::from_millis(u64::from(*millis))),
        }
        evidence.clone()
    };
    responses.iter().map(&mut add).collect()
}

quickcheck! {
    /// Guards against counts that are missing for good or counted twice after lost, repeated or
    /// late reports, and against counts of an instance that are lost when it restarts.
    fn the_last_report_of_each_reporter_repairs_the_sum(
        first: Vec<(bool, u8, u16)>,
        second: Vec<(bool, u8, u16)>,
        order: Vec<(bool, u8)>
    ) -> bool {
        let all = [reports(&first), reports(&second)];
        let mut ledger = Ledger::default();
        for (is_second, index) in order {
            let reports = &all[usize::from(is_second)];
            if let Some(report) = reports.get(usize::from(index)) {
                ledger.record(&is_second, report);
            }
        }
        let mut sum = Evidence::default();
        for (reporter, reports) in all.iter().enumerate() {
            if let Some(last) = reports.last() {
                ledger.record(&(reporter == 1), last);
                sum.merge(last);
            }
        }
        *ledger.total() == sum
    }

    /// Guards against recent windows that miss responses or count them twice.
    fn what_came_since_adds_up_to_the_whole(responses: Vec<(bool, u8, u16)>, at: usize) -> bool {
        let reports = reports(&responses);
        let Some(last) = reports.last() else {
            return true;
        };
        let mut sum = reports[at % reports.len()].clone();
        sum.merge(&last.since(&reports[at % reports.len()]));
        sum == *last
    }
}

/// Guards against a version that looks bad since an endpoint of it crashed: it answered with failures
/// just before, or while it started again.
#[test]
fn failures_beside_a_crash_do_not_count_against_the_version() {
    let at = Duration::from_millis;
    let route: Arc<str> = Arc::from("a");
    let (mut hold, mut evidence) = (Hold::default(), Evidence::default());
    let mut counts = |hold: &mut Hold, now| {
        hold.settle(at(now), &mut evidence);
        let new = &evidence.route("a").new;
        (new.failures, new.broken)
    };
    hold.record_failure(at(0), 1, &route, Side::New);
    hold.record_failure(at(0), 2, &route, Side::New);
    assert_eq!(counts(&mut hold, 100), (0, 0));
    hold.record_broken(at(200), 1);
    assert_eq!(counts(&mut hold, 400), (1, 1));
    hold.record_failure(at(1_000), 1, &route, Side::New);
    assert_eq!(counts(&mut hold, 1_400), (1, 2));
    hold.record_answer(1);
    hold.record_failure(at(2_000), 1, &route, Side::New);
    assert_eq!(counts(&mut hold, 2_400), (2, 2));
    hold.record_broken(at(3_000), 2);
    hold.record_failure(at(8_000), 2, &route, Side::New);
    assert_eq!(counts(&mut hold, 8_400), (3, 2));
}
