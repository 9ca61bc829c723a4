//! Work that one instance has placed for all.

use policy::backlog::{
    Backlog,
    Queue, //
};

const PACE: f32 = 0.05;

#[test]
fn a_link_works_off_what_it_was_given() {
    let mut link = Backlog::default();
    link.place(1_000, 0.4);
    link.place(1_100, 0.2);
    assert!((link.left(1_100) - 0.5).abs() < 1e-3);
    assert!((link.left(1_500) - 0.1).abs() < 1e-3);
    assert!(link.left(3_000) < 1e-6);
}

/// Pattern: an engine takes half as long again as it is thought to; what waits there must not look
/// shorter than it is.
#[test]
fn a_slow_engine_keeps_what_has_not_begun() {
    let mut queue = Queue::default();
    for ticket in 0..4 {
        queue.place(0, ticket, 8.0);
    }
    // Four times eight blocks should take 1.6 s.
    assert!((queue.left(1_600, PACE) - 24.0).abs() < 1e-3);
    queue.remove(1_600, 0);
    assert!((queue.left(1_600, PACE) - 24.0).abs() < 1e-3);
    assert!((queue.left(1_700, PACE) - 22.0).abs() < 1e-3);
}

/// Pattern: callers leave a queue that is too long for them; their work must not be counted on.
#[test]
fn requests_that_were_given_up_leave_the_queue() {
    let mut queue = Queue::default();
    queue.place(0, 1, 10.0);
    queue.place(0, 2, 10.0);
    queue.place(0, 3, 10.0);
    queue.remove(100, 2);
    queue.remove(100, 2);
    assert!((queue.left(100, PACE) - 18.0).abs() < 1e-3);
}

/// Pattern: the word of a request's end is lost.
#[test]
fn requests_that_were_not_heard_of_end() {
    let mut queue = Queue::default();
    queue.place(0, 1, 10.0);
    queue.place(3_000, 2, 10.0);
    assert!((queue.left(4_100, PACE) - 10.0).abs() < 1e-3);
    assert!(queue.left(8_000, PACE).abs() < 1e-6);
}
