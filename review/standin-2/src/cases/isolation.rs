//! WALL: a configuration makes a tenant isolated whose requests have made shared parts before.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{config, record_runs, send, tenant, Deployment};
use crate::{engine::Manner, Record};

const TENANTS: [&str; 5] = ["uni-a", "uni-b", "uni-c", "uni-d", "uni-e"];
/// The tenant that the second configuration makes isolated.
const ISOLATED: &str = TENANTS[0];
/// Parts that the prompts of all tenants begin with: a contract that all of them use.
const SHARED: &str = "c0a1:4000,c0a2:5000,c0a3:4300";
const SHARED_TOKENS: u64 = 13_300;
const OWN_TOKENS: u64 = 400;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(40);
const PLAY_TIME: Duration = Duration::from_secs(12);
/// When the second configuration is acknowledged.
const CHANGE_AT: Duration = Duration::from_secs(5);
/// Time after which it is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Most attempts of the first request; limits and engines are not known at once.
const FIRST_ATTEMPTS: usize = 12;

const MANNER: Manner = Manner {
    events: 10,
    event_time: Duration::from_millis(30),
    drops: true,
};

/// A configuration in which one tenant or none is isolated.
fn version(number: u64, isolated: Option<&str>) -> String {
    let tenants = TENANTS.map(|name| tenant(name, &format!("key-{name}"), Some(name) == isolated));
    let text = config(&tenants.join(","));
    text.replacen("\"version\":3", &format!("\"version\":{number}"), 1)
}

/// Plays the case; returns how many parts were used across the wall.
pub fn play(record: &Record, has_trouble: bool) -> Result<usize, String> {
    let deployment = Deployment::start(&version(3, None), &[MANNER; 2])?;
    record.write("all processes are ready");
    let started_at = Instant::now();
    let change_at = started_at + CHANGE_AT;
    // When the store had the change, and when each request was sent.
    let (mut changed_at, mut sent) = (None, Vec::new());
    let tokens = SHARED_TOKENS + OWN_TOKENS;
    thread::scope(|scope| {
        let mut turn = 0;
        let mut is_changed = !has_trouble;
        // The tenant that will be isolated is the first to ask.
        for attempt in 0..FIRST_ATTEMPTS {
            let id = format!("{ISOLATED}-first-{attempt}");
            let prefix = format!("{SHARED},f{attempt:03x}:{OWN_TOKENS}");
            let key = format!("key-{ISOLATED}");
            let address = deployment.address(attempt);
            if address.is_some_and(|at| send(record, at, &id, &key, &prefix, tokens)) {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        while started_at.elapsed() < PLAY_TIME {
            if !is_changed && Instant::now() >= change_at {
                is_changed = true;
                let config = version(7, Some(ISOLATED));
                deployment.store.put("op", "config", &config);
                changed_at = Some(Instant::now());
                record.write(&format!("operator: {config}"));
            }
            let tenant = TENANTS[turn % TENANTS.len()];
            let id = format!("{tenant}-{turn}");
            if let Some(address) = deployment.address(turn) {
                sent.push((id.clone(), Instant::now()));
                let key = format!("key-{tenant}");
                let prefix = format!("{SHARED},d{turn:04x}:{OWN_TOKENS}");
                scope.spawn(move || send(record, address, &id, &key, &prefix, tokens));
            }
            turn += 1;
            thread::sleep(INTERVAL);
        }
    });
    let runs = deployment.runs.lock().unwrap().clone();
    record_runs(record, &runs);
    // Without a change the same requests are counted, and no tenant is isolated.
    let in_force_at = changed_at.unwrap_or(change_at) + APPLY_TIME;
    let mut broken = 0;
    let is_later = |run: &&crate::engine::Run| {
        let mut sent = sent.iter();
        sent.any(|(id, at)| *id == run.attempt && *at > in_force_at)
    };
    let later = runs.iter().filter(is_later);
    for run in later.clone().filter(|_| has_trouble) {
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
    record.write(&format!("runs: {}", runs.len()));
    if later.count() == 0 {
        return Err("nothing ran after the change".to_owned());
    }
    Ok(broken)
}
