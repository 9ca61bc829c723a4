//! Weighted fair queue: strict priority between classes, service by weight within a class, no
//! starvation.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use policy::{
    admission::Capacity,
    fair::{
        MAY_WAIT,
        Queue,
        Waiter, //
    }, //
};
use quickcheck::{
    Gen,
    QuickCheck, //
};

const SEED: u64 = 20_261_204;

fn waiter(class: usize, workspace: usize, weight: u32, cost: u64) -> Waiter<usize> {
    Waiter {
        class,
        workspace: format!("t/w{workspace}").into(),
        weight,
        cost,
        item: workspace,
    }
}

fn seeded() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(300)
}

/// Tokens served to each workspace when each of them always has a request queued.
fn served_tokens(weights: &[u32], costs: &[u64], steps: usize) -> Vec<u64> {
    let mut queue = Queue::default();
    let mut served = vec![0; weights.len()];
    for (workspace, weight) in weights.iter().enumerate() {
        queue.push(waiter(1, workspace, *weight, costs[workspace]));
    }
    for _ in 0..steps {
        let next = queue.pop(|_| true).unwrap();
        served[next.item] += next.cost;
        // With one request per workspace, its lane is empty after each pop.
        queue.push(next);
    }
    served
}

#[test]
fn workspaces_are_served_by_weight_and_none_starves() {
    fn property(raw: Vec<(u8, u8)>) -> bool {
        let raw: Vec<(u8, u8)> = raw.into_iter().take(8).collect();
        if raw.is_empty() {
            return true;
        }
        let weights: Vec<u32> = raw.iter().map(|(w, _)| u32::from(*w) + 1).collect();
        let costs: Vec<u64> = raw.iter().map(|(_, c)| u64::from(*c) + 1).collect();
        let served = served_tokens(&weights, &costs, 4000);
        let normalized = |i: usize| served[i] as f64 / f64::from(weights[i]);
        let max_lag = |i: usize| costs[i] as f64 / f64::from(weights[i]);
        let all = || 0..weights.len();
        let largest = all().map(max_lag).fold(0.0, f64::max);
        let most = all().map(normalized).fold(0.0, f64::max);
        // The service by weight of any two workspaces differs by at most one request of each.
        all().all(|i| normalized(i) + 2.0 * largest + 1.0 >= most)
    }
    seeded().quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn more_urgent_classes_always_go_first() {
    fn property(pushes: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = Queue::default();
        for (class, workspace, cost) in &pushes {
            let (class, workspace) = (usize::from(*class) % 3, usize::from(*workspace) % 4);
            queue.push(waiter(class, workspace, 1, u64::from(*cost)));
        }
        let order: Vec<usize> = std::iter::from_fn(|| queue.pop(|_| true))
            .map(|next| next.class)
            .collect();
        order.len() == pushes.len() && order.is_sorted()
    }
    seeded().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_flood_waits_behind_the_first_request_of_another_workspace() {
    let mut queue = Queue::default();
    for _ in 0..100 {
        queue.push(waiter(0, 0, 1, 10));
    }
    for _ in 0..50 {
        queue.pop(|_| true).unwrap();
    }
    assert_eq!(queue.ahead(0, "t/w1"), 1);
    queue.push(waiter(0, 1, 1, 10));
    let next = [queue.pop(|_| true).unwrap(), queue.pop(|_| true).unwrap()];
    assert!(next.iter().any(|request| request.item == 1));
}

#[test]
fn class_that_may_wait_leaves_a_reserve_and_is_shed_first() {
    let mut capacity = Capacity {
        slots: 10,
        instances: 2,
        running: [0, 0, 3],
    };
    assert!(
        !capacity.may_start(MAY_WAIT),
        "3 is this instance's half of 7"
    );
    assert!(capacity.may_start(0) && capacity.may_start(1));
    capacity.running = [6, 4, 0];
    assert!(!capacity.may_start(0));
    let mut queue = Queue::default();
    for (class, workspace) in [(2, 0), (2, 1), (2, 1), (1, 2), (0, 3)] {
        queue.push(waiter(class, workspace, 1, 1));
    }
    let shed: Vec<(usize, usize)> = std::iter::from_fn(|| queue.shed(0))
        .map(|request| (request.class, request.item))
        .collect();
    assert_eq!(shed, [(2, 1), (2, 1), (2, 0), (1, 2)]);
    assert_eq!(queue.shed(0), None);
    assert_eq!(queue.len(), 1);
}
