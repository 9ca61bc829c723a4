//! WALL: an entry of a worker comes from another writer, without some of its fields.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{config, record_runs, send, tenant, Deployment};
use crate::{
    engine::{Engine, Manner},
    Record,
};

/// Tenants, of which the first shares no part with any other one.
const TENANTS: [&str; 5] = ["uni-a", "uni-b", "uni-c", "uni-d", "uni-e"];
const ISOLATED: &str = TENANTS[0];
/// Parts that the prompts of all tenants begin with: a contract that all of them use.
const SHARED: &str = "c0a1:4000,c0a2:5000,c0a3:4300";
const SHARED_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 400;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(29);
const PLAY_TIME: Duration = Duration::from_secs(12);
/// When the other writer writes, each time just after the check-in of each engine.
const WRITES_AT: [u64; 3] = [4, 6, 8];

const MANNER: Manner = Manner {
    events: 10,
    event_time: Duration::from_millis(30),
    drops: true,
};

/// Plays the case; returns how many parts were used across the wall.
pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let tenants = TENANTS.map(|name| tenant(name, &format!("key-{name}"), name == ISOLATED));
    let deployment = Deployment::start(&config(&tenants.join(",")), &[MANNER; 2])?;
    record.write("all processes are ready");
    let started_at = Instant::now();
    thread::scope(|scope| {
        if has_trouble {
            for engine in &deployment.engines {
                scope.spawn(|| write_entries(record, &deployment, engine, started_at));
            }
        }
        let mut turn = 0;
        while started_at.elapsed() < PLAY_TIME {
            let tenant = TENANTS[turn % TENANTS.len()];
            let id = format!("{tenant}-{turn}");
            if let Some(address) = deployment.address(turn) {
                let key = format!("key-{tenant}");
                let prefix = format!("{SHARED},d{turn:04x}:{OWN_TOKENS}");
                let tokens = SHARED_TOKENS + OWN_TOKENS;
                scope.spawn(move || send(record, address, &id, &key, &prefix, tokens));
            }
            turn += 1;
            thread::sleep(INTERVAL);
        }
    });
    let runs = deployment.runs.lock().unwrap().clone();
    record_runs(record, &runs);
    let mut broken = 0;
    for run in &runs {
        let is_foreign =
            |maker: &str| maker != run.tenant && [maker, run.tenant.as_str()].contains(&ISOLATED);
        let foreign = run.used.iter().filter(|(_, maker)| is_foreign(maker));
        for (part, maker) in foreign {
            broken += 1;
            record.write_at(
                run.began_at,
                &format!(
                    "WALL: {} of {} uses part {part}, which a request of {maker} made",
                    run.attempt, run.tenant
                ),
            );
        }
    }
    let isolated = runs.iter().filter(|run| run.tenant == ISOLATED).count();
    record.write(&format!(
        "runs: {isolated} of {ISOLATED}, {} in all",
        runs.len()
    ));
    if isolated == 0 || isolated == runs.len() {
        return Err("a tenant was not served".to_owned());
    }
    Ok(broken)
}

/// Writes an engine's entry without its models and the time of its start; the engine's next check-in
/// replaces it each time.
fn write_entries(record: &Record, deployment: &Deployment, engine: &Engine, started_at: Instant) {
    for seconds in WRITES_AT {
        let begin = started_at + Duration::from_secs(seconds);
        thread::sleep(begin.saturating_duration_since(Instant::now()));
        let seq = engine.seq();
        while engine.seq() == seq {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(20));
        let entry = format!("{{{},\"seq\":{}}}", engine.entry_fields(), engine.seq());
        deployment.store.put("servers", &engine.id, &entry);
        record.write(&format!("another writer: servers/{} = {entry}", engine.id));
    }
}
