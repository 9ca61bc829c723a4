//! The lease for control work, and the orders that its holder gives.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use history::lease::{
    Observation,
    Order,
    Outcome,
    Write,
    is_linearizable,
    late_orders,
    overlaps, //
};
use platform::{
    http::{
        Client,
        Fault, //
    },
    table::{
        self,
        Op,
        Range,
        Remote,
        Row,
        Table,
        Txn, //
    }, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use router::lease::Contender;
use serde_json::{
    Value,
    json, //
};
use state::{
    clock,
    lease::Lease, //
};
use testkit::{
    Builder,
    Fleet,
    Process,
    caller::Caller,
    fleet::set_faults,
    wait, //
};

/// A client of the table that records the writes of one contender.
#[derive(Clone, Debug)]
struct Recorded {
    table: Remote,
    process: usize,
    /// Table revision and write id of the row last read.
    read: Arc<Mutex<(u64, u64)>>,
    writes: Arc<Mutex<Vec<Write>>>,
}

fn write_id(value: &[u8]) -> u64 {
    let row: Value = serde_json::from_slice(value).unwrap();
    row["write_id"].as_u64().unwrap()
}

impl Table for Recorded {
    async fn range(&self, prefix: &str) -> Result<Range, Fault> {
        self.table.range(prefix).await
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        let row = self.table.get(key).await?;
        let read = row.as_ref().map(|row| (row.revision, write_id(&row.value)));
        *self.read.lock().unwrap() = read.unwrap_or_default();
        Ok(row)
    }

    async fn transact(&self, txn: Txn) -> Result<table::Outcome, Fault> {
        let Some(Op::Put { value, .. }) = txn.ops.first() else {
            panic!("the lease is only put");
        };
        let (revision, expected) = *self.read.lock().unwrap();
        assert_eq!(txn.compares[0].revision, revision);
        let new = write_id(value);
        let called = clock::now();
        let result = self.table.transact(txn).await;
        let (outcome, ended) = match &result {
            Ok(table::Outcome::Applied(_)) => (Outcome::Applied, clock::now()),
            Ok(table::Outcome::Conflict(_)) => (Outcome::Refused, clock::now()),
            // It may take effect whenever it arrives.
            Err(_) => (Outcome::Unknown, Duration::MAX),
        };
        self.writes.lock().unwrap().push(Write {
            process: self.process,
            expected,
            new,
            outcome,
            span: (called, ended),
        });
        result
    }
}

fn look(process: usize, lease: &Lease, looks: &Mutex<Vec<Observation>>) {
    let at = clock::now();
    if let Some(grant) = lease.check(Duration::ZERO) {
        looks.lock().unwrap().push(Observation {
            process,
            number: grant.number,
            at,
            until: grant.until,
        });
    }
}

/// A contender that now and then pauses for longer than its term.
async fn contend(table: Recorded, seed: u64, looks: Arc<Mutex<Vec<Observation>>>) {
    let term = Duration::from_millis(400);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let process = table.process;
    let mut keeper = Contender::new(
        table,
        "leases/control",
        &format!("contender {process}"),
        term,
    );
    let lease = Lease::default();
    for _ in 0..24 {
        // A fault is one of those that the test provokes.
        look(process, &lease, &looks);
        keeper.step(&lease).await.ok();
        look(process, &lease, &looks);
        let pause = match random.random_range(0..6) {
            0 => 800,
            _ => random.random_range(20..100),
        };
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn contenders_with_pauses_and_lost_answers_hold_the_lease_one_at_a_time() {
    let fleet = Builder::default().instances(0).start().await.unwrap();
    let address = fleet.table.address().unwrap();
    let (writes, looks) = (Arc::default(), Arc::default());
    let mut contenders = tokio::task::JoinSet::new();
    for process in 0..4 {
        let table = Recorded {
            table: Remote::new(address, Client::new(Duration::from_secs(2))),
            process,
            read: Arc::default(),
            writes: Arc::clone(&writes),
        };
        contenders.spawn(contend(table, 7 + process as u64, Arc::clone(&looks)));
    }
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        set_faults(&fleet.table, json!({"lose_answers": 1}))
            .await
            .unwrap();
    }
    while let Some(result) = contenders.join_next().await {
        result.unwrap();
    }
    let writes: Vec<Write> = writes.lock().unwrap().clone();
    let looks: Vec<Observation> = looks.lock().unwrap().clone();
    let highest = looks.iter().map(|look| look.number).max().unwrap();
    assert!(highest > 1, "the lease never moved");
    assert!(is_linearizable(&writes), "{writes:?}");
    assert_eq!(overlaps(&looks), [], "{looks:?}");
}

async fn orders(engine: &Process) -> Vec<Value> {
    let address = engine.address().unwrap();
    let orders = Caller::new(None).get_json(address, "/orders").await;
    orders.unwrap().as_array().unwrap().clone()
}

async fn until_serves(engine: &Process, version: &str) {
    let address = engine.address().unwrap();
    wait::until("the engine serves the version", || async {
        let caller = Caller::new(None);
        let weights = caller.get_json(address, "/v1/weights").await.ok()?;
        (weights["version"] == version && weights["loading"].is_null()).then_some(())
    })
    .await
    .unwrap();
}

/// Changes the weights version of the example's model.
async fn set_version(fleet: &Fleet, index: usize, version: &str) {
    let change = [("/fleet/models/m", json!({"version": version}))];
    fleet.change_settings(index, &change).await.unwrap();
}

/// The instance that holds the lease, with its fencing number.
async fn holder(fleet: &Fleet, among: &[usize]) -> (usize, u64) {
    wait::until("an instance holds the lease", || async {
        for &index in among {
            let status = fleet.status(index).await.ok()?;
            if let Some(number) = status["lease"].as_u64() {
                return Some((index, number));
            }
        }
        None
    })
    .await
    .unwrap()
}

#[tokio::test]
async fn a_rollout_loads_at_most_three_at_a_time_and_reaches_all() {
    let flags: &[&str] = &["--orders", "checks", "--load-ms", "400"];
    let fleet = Builder::default()
        .engines(&[flags; 8])
        .limit("lease_term_ms", 2_000)
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    set_version(&fleet, 0, "v2").await;
    let mut spans = Vec::new();
    for engine in &fleet.engines {
        until_serves(engine, "v2").await;
        let orders = orders(engine).await;
        assert_eq!(orders.len(), 1, "{orders:?}");
        let time = |field: &str| orders[0][field].as_u64().unwrap();
        spans.push((time("at_ms"), time("loaded_ms")));
    }
    for (at, _) in &spans {
        let loading = spans.iter().filter(|s| s.0 <= *at && *at < s.1).count();
        assert!(loading <= 3, "{loading} load at once: {spans:?}");
    }
}

#[tokio::test]
async fn a_frozen_holder_gives_no_order_after_its_thaw() {
    let engines: [&[&str]; 2] = [
        &["--orders", "ignores", "--load-ms", "100"],
        &["--orders", "checks", "--load-ms", "100"],
    ];
    let fleet = Builder::default()
        .instances(3)
        .engines(&engines)
        .relays()
        .limit("lease_term_ms", 2_000)
        .start()
        .await
        .unwrap();
    fleet.apply_example_settings().await.unwrap();
    let (old, number) = holder(&fleet, &[0, 1, 2]).await;
    set_version(&fleet, old, "v2").await;
    for engine in &fleet.engines {
        until_serves(engine, "v2").await;
    }
    // Without table and peers the frozen holder goes on with what it last knew.
    fleet.isolate(old);
    fleet.instances[old].freeze().unwrap();
    let others: Vec<usize> = (0..3).filter(|index| *index != old).collect();
    let (new, newer) = holder(&fleet, &others).await;
    assert!(newer > number);
    // The frozen holder still wants the version before this one.
    set_version(&fleet, new, "v3").await;
    for engine in &fleet.engines {
        until_serves(engine, "v3").await;
    }
    fleet.instances[old].thaw().unwrap();
    wait::until("the thawed instance runs", || async {
        fleet.status(old).await.ok()
    })
    .await
    .unwrap();
    // Several of its looks at what there is to do.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for engine in &fleet.engines {
        let orders: Vec<Order> = orders(engine)
            .await
            .iter()
            .map(|order| Order {
                fencing: order["fencing"].as_u64().unwrap(),
                taken: order["taken"].as_bool().unwrap(),
            })
            .collect();
        assert!(orders.iter().any(|order| order.fencing == newer));
        assert_eq!(late_orders(&orders), [], "{orders:?}");
    }
}
