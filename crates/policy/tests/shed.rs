//! Refusal of less urgent requests while urgent ones begin late.

use std::time::Duration;

use policy::shed::Lateness;

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
