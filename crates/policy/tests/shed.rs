//! Load shedding: refusal of less urgent requests while urgent ones start late.

use std::time::Duration;

use policy::shed::{
    Lateness,
    retry_after, //
};

const OBJECTIVE: Duration = Duration::from_secs(1);

/// Fraction refused after `count` urgent requests, 20 ms apart, that started `delay` after their
/// arrival.
fn refused(delay: Duration, count: u32) -> (Lateness, Duration, f64) {
    let mut lateness = Lateness::default();
    let mut now = Duration::from_secs(100);
    for _ in 0..count {
        now += Duration::from_millis(20);
        lateness.record(now, delay, OBJECTIVE);
    }
    (lateness, now, lateness.refusal_rate(now))
}

#[test]
fn nothing_is_refused_while_urgent_requests_start_in_time() {
    assert_eq!(refused(Duration::from_millis(400), 500).2, 0.0);
    assert_eq!(Lateness::default().refusal_rate(OBJECTIVE), 0.0);
}

/// Guards against urgent requests that stay late under overload: a third of the engines is gone
/// while others load new weights.
#[test]
fn more_is_refused_the_later_urgent_requests_start() {
    let some = refused(Duration::from_millis(900), 500).2;
    let most = refused(Duration::from_secs(4), 500).2;
    assert!((0.1..0.5).contains(&some), "{some}");
    assert!(most > some && most < 1.0, "{most}");
}

#[test]
fn one_late_request_refuses_nobody() {
    assert_eq!(refused(Duration::from_secs(2), 1).2, 0.0);
}

#[test]
fn refusals_end_when_no_more_requests_start_late() {
    let (lateness, now, fraction) = refused(Duration::from_secs(4), 500);
    assert!(fraction > 0.0);
    assert_eq!(lateness.refusal_rate(now + Duration::from_secs(3)), 0.0);
}

/// Guards against a growing queue: more long prompts arrive than the engines can compute. Requests
/// that can start in time are accepted; the others retry once the queued work is done, spread over
/// time.
#[test]
fn a_request_that_would_start_late_retries_after_the_queued_work() {
    let millis = Duration::from_millis;
    let delay =
        |wait, service_time| retry_after(millis(wait), millis(service_time), OBJECTIVE, 0.0);
    assert_eq!(delay(0, 400), None);
    assert_eq!(delay(450, 400), None);
    assert!(delay(600, 400).is_some());
    // A request whose own work takes longer than the objective may still wait for a short time.
    assert_eq!(delay(250, 3_000), None);
    let (short, long) = (delay(600, 400).unwrap(), delay(2_000, 400).unwrap());
    assert!(
        short < millis(600) && long > millis(1_400),
        "{short:?} {long:?}"
    );
    let jittered = retry_after(millis(2_000), millis(400), OBJECTIVE, 0.9).unwrap();
    assert!(jittered > long.mul_f64(1.5));
}
