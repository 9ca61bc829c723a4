//! Refusal of less urgent requests while urgent ones begin late.

use std::time::Duration;

use policy::shed::{
    Lateness,
    come_back, //
};

const OBJECTIVE: Duration = Duration::from_secs(1);

/// Part refused after `count` urgent requests that began `after` their arrival, 20 ms apart.
fn refused(after: Duration, count: u32) -> (Lateness, Duration, f64) {
    let mut lateness = Lateness::default();
    let mut now = Duration::from_secs(100);
    for _ in 0..count {
        now += Duration::from_millis(20);
        lateness.add(now, after, OBJECTIVE);
    }
    (lateness, now, lateness.refused_part(now))
}

#[test]
fn nothing_is_refused_while_urgent_requests_begin_in_time() {
    assert_eq!(refused(Duration::from_millis(400), 500).2, 0.0);
    assert_eq!(Lateness::default().refused_part(OBJECTIVE), 0.0);
}

/// Pattern: a third of the engines is gone while others load new weights.
#[test]
fn more_is_refused_the_later_urgent_requests_begin() {
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
fn refusals_end_when_nothing_more_begins_late() {
    let (lateness, now, part) = refused(Duration::from_secs(4), 500);
    assert!(part > 0.0);
    assert_eq!(lateness.refused_part(now + Duration::from_secs(3)), 0.0);
}

/// Pattern: more long prompts than the engines compute. Those that can begin in time are taken, the
/// others come back once what waits is done, not all at once.
#[test]
fn what_would_begin_late_is_put_off_for_as_long_as_the_work_takes() {
    let millis = Duration::from_millis;
    let later = |wait, own| come_back(millis(wait), millis(own), OBJECTIVE, 0.0);
    assert_eq!(later(0, 400), None);
    assert_eq!(later(450, 400), None);
    assert!(later(600, 400).is_some());
    // One that takes longer than the objective by itself waits a little all the same.
    assert_eq!(later(250, 3_000), None);
    let (soon, late) = (later(600, 400).unwrap(), later(2_000, 400).unwrap());
    assert!(
        soon < millis(600) && late > millis(1_400),
        "{soon:?} {late:?}"
    );
    let spread = come_back(millis(2_000), millis(400), OBJECTIVE, 0.9).unwrap();
    assert!(spread > late.mul_f64(1.5));
}
