//! Outstanding work that one instance has placed on behalf of all instances.

use policy::backlog::{
    Backlog,
    Queue, //
};

const BLOCK_SECONDS: f32 = 0.05;

#[test]
fn a_link_backlog_shrinks_with_time() {
    let mut link = Backlog::default();
    link.add(1_000, 0.4);
    link.add(1_100, 0.2);
    assert!((link.remaining(1_100) - 0.5).abs() < 1e-3);
    assert!((link.remaining(1_500) - 0.1).abs() < 1e-3);
    assert!(link.remaining(3_000) < 1e-6);
}

/// Guards against a queue that looks shorter than it is when an engine takes half as long again as
/// estimated.
#[test]
fn only_the_head_of_a_queue_shrinks_with_time() {
    let mut queue = Queue::default();
    for ticket in 0..4 {
        queue.push(0, ticket, 8.0);
    }
    // Four times eight blocks should take 1.6 s.
    assert!((queue.remaining(1_600, BLOCK_SECONDS) - 24.0).abs() < 1e-3);
    queue.remove(1_600, 0);
    assert!((queue.remaining(1_600, BLOCK_SECONDS) - 24.0).abs() < 1e-3);
    assert!((queue.remaining(1_700, BLOCK_SECONDS) - 22.0).abs() < 1e-3);
}

/// Guards against work that is still counted after its caller gave up on a long queue.
#[test]
fn abandoned_requests_leave_the_queue() {
    let mut queue = Queue::default();
    queue.push(0, 1, 10.0);
    queue.push(0, 2, 10.0);
    queue.push(0, 3, 10.0);
    queue.remove(100, 2);
    queue.remove(100, 2);
    assert!((queue.remaining(100, BLOCK_SECONDS) - 18.0).abs() < 1e-3);
}

/// Guards against a queue that never becomes empty when the report of a request's end is lost.
#[test]
fn requests_without_a_report_expire() {
    let mut queue = Queue::default();
    queue.push(0, 1, 10.0);
    queue.push(3_000, 2, 10.0);
    assert!((queue.remaining(4_100, BLOCK_SECONDS) - 10.0).abs() < 1e-3);
    assert!(queue.remaining(8_000, BLOCK_SECONDS).abs() < 1e-6);
}
