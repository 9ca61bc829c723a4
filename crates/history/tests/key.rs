//! The checkers of key withdrawals detect histories with violations.

use std::time::Duration;

use history::{
    Entry,
    key::{
        Event,
        check,
        check_after_refusal, //
    }, //
};

fn history(sent_at_us: u64, accepted: bool) -> Vec<Entry<Event>> {
    let entry = |at_us, event| Entry { at_us, event };
    let sent = Event::Sent {
        request: 1,
        instance: "i0".to_owned(),
    };
    let mut entries = vec![entry(1_000, Event::Withdrawn), entry(sent_at_us, sent)];
    if accepted {
        entries.push(entry(9_000_000, Event::Accepted { request: 1 }));
    }
    entries
}

#[test]
fn only_an_acceptance_after_the_bound_is_a_violation() {
    let bound = Duration::from_secs(5);
    let cases = [
        (5_000_000, true, 0),
        (5_001_001, true, 1),
        (6_000_000, true, 1),
        (6_000_000, false, 0),
    ];
    for (sent, accepted, violations) in cases {
        let found = check(&history(sent, accepted), bound);
        assert_eq!(found.len(), violations, "{sent} {accepted} {found:?}");
    }
}

#[test]
fn an_acceptance_after_a_refusal_at_the_same_instance_is_a_violation() {
    let entry = |at_us, event| Entry { at_us, event };
    let sent = |request, instance: &str| Event::Sent {
        request,
        instance: instance.to_owned(),
    };
    // Refused at i0 at 20; a second request is sent at `at` to `instance` and runs.
    let violation_count = |at: u64, instance: &str| {
        let mut entries = vec![
            entry(10, sent(1, "i0")),
            entry(20, Event::Refused { request: 1 }),
            entry(at, sent(2, instance)),
            entry(40, Event::Accepted { request: 2 }),
        ];
        entries.sort_by_key(|entry| entry.at_us);
        check_after_refusal(&entries).len()
    };
    assert_eq!(violation_count(30, "i0"), 1);
    assert_eq!(violation_count(15, "i0"), 0);
    assert_eq!(violation_count(30, "i1"), 0);
}
