//! TWICE: a worker that goes on after its channel has closed hangs for a while in the middle of streams.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{config, record_runs, send, tenant, Deployment};
use crate::{
    engine::{Hang, Manner},
    Record,
};

const TENANT: &str = "uni-a";
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(120);
const PLAY_TIME: Duration = Duration::from_secs(16);
/// When the disruption begins, and how long it lasts.
const HANG_AT: Duration = Duration::from_secs(4);
const HANG_TIME: Duration = Duration::from_millis(6_500);
/// Share of the requests of the worker that hang.
const PERCENT: u64 = 45;
/// Workers, of which one is disrupted: a share of 0.125.
const ENGINES: usize = 8;
/// Time for which a worker may still work on what goes on at another one.
const OVERLAP: Duration = Duration::from_millis(400);

/// Plays the case; returns the number of requests that two workers worked on.
pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let manner = Manner {
        events: 40,
        event_time: Duration::from_millis(30),
        drops: true,
    };
    let mut manners = [manner; ENGINES];
    manners[0].drops = false;
    let config = config(&tenant(TENANT, "key-a", false));
    let deployment = Deployment::start(&config, &manners)?;
    record.write("all processes are ready; worker i-e1 goes on after its channel has closed");
    let started_at = Instant::now();
    if has_trouble {
        let from = started_at + HANG_AT;
        let until = from + HANG_TIME;
        deployment.engines[0].set_hang(Hang {
            from,
            until,
            percent: PERCENT,
        });
        record.write_at(from, "i-e1 begins to hang in a part of its streams");
        record.write_at(until, "i-e1 goes on with them");
    }
    thread::scope(|scope| {
        let mut turn = 0;
        while started_at.elapsed() < PLAY_TIME {
            let id = format!("{TENANT}-{turn}");
            if let Some(address) = deployment.address(turn) {
                let part = turn % 40;
                let prefix = format!("c{part:03x}:800,d{turn:03x}:400");
                scope.spawn(move || send(record, address, &id, "key-a", &prefix, 1_200));
            }
            turn += 1;
            thread::sleep(INTERVAL);
        }
    });
    // Runs that go on without their channels end.
    let end = Instant::now() + Duration::from_secs(10);
    let is_running = || {
        let runs = deployment.runs.lock().unwrap();
        runs.iter().any(|run| run.ended_at.is_none())
    };
    while is_running() && Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
    }
    let runs = deployment.runs.lock().unwrap().clone();
    record_runs(record, &runs);
    let mut broken = 0;
    for later in &runs {
        let is_overlapped = |run: &&crate::engine::Run| {
            run.attempt == later.attempt
                && run.engine != later.engine
                && run.began_at < later.began_at
                && run.made_at > later.began_at + OVERLAP
        };
        if let Some(earlier) = runs.iter().find(is_overlapped) {
            broken += 1;
            let since = earlier.made_at - later.began_at;
            record.write_at(
                later.began_at,
                &format!(
                    "TWICE: {} goes on at {} after event {:?}; {} still makes events {:.3} s later",
                    later.attempt,
                    later.engine,
                    later.resumes,
                    earlier.engine,
                    since.as_secs_f64()
                ),
            );
        }
    }
    record.write(&format!("runs: {}", runs.len()));
    if !runs.iter().any(|run| run.engine == "i-e1") {
        return Err("the worker got no request".to_owned());
    }
    Ok(broken)
}
