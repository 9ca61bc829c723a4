//! Control traffic of real instances, idle and with one settings change per second.
//!
//! `cargo build --release && cargo bench -p damaskd --bench control` prints one
//! row per fleet and load: table reads and writes per second of all instances, and
//! per instance bytes per second on the peer plane, CPU time and memory.

#![expect(clippy::print_stdout, reason = "the rows are the result")]

use std::{
    fs,
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::Context;
use serde_json::{
    Value,
    json, //
};
use settings::Digest;
use testkit::{
    Builder,
    Fleet,
    Process,
    caller::Caller, //
};

/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// Clock ticks per second in `/proc/<pid>/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Maximum number of rows in one settings change while the settings are filled.
const ROWS_PER_CHANGE: usize = 5_000;

/// Counters of the whole fleet since its start.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    reads: f64,
    writes: f64,
    peer_bytes: f64,
    cpu_seconds: f64,
}

async fn totals(fleet: &Fleet) -> anyhow::Result<Totals> {
    let address = fleet.table.address()?;
    let counts = Caller::new(None).get_json(address, "/counts").await?;
    let mut totals = Totals {
        reads: counts["reads"].as_f64().context("reads")?,
        writes: counts["writes"].as_f64().context("writes")?,
        ..Totals::default()
    };
    for instance in &fleet.instances {
        totals.cpu_seconds += cpu_seconds(instance)?;
    }
    for relays in &fleet.relays {
        totals.peer_bytes += relays.peer.relayed_bytes() as f64;
    }
    Ok(totals)
}

fn cpu_seconds(process: &Process) -> anyhow::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    // Fields after the process name, which is in parentheses; the 12th and 13th are user and system
    // time.
    let (_, fields) = stat.rsplit_once(')').context("stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / CLOCK_TICKS_PER_SECOND)
}

fn memory_mb(process: &Process) -> anyhow::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    Ok(kb.context("VmRSS")?.parse::<f64>()? / 1024.0)
}

/// Adds workspaces with one key each, in batches.
async fn add_workspaces(fleet: &Fleet, workspaces: usize) -> anyhow::Result<()> {
    let mut rows = Vec::new();
    for index in 0..workspaces {
        let digest = Digest::of(format!("key {index}").as_bytes());
        let name = format!("w{index}");
        rows.push((
            format!("/teams/many/workspaces/{name}"),
            json!({"rate": 1000, "burst": 1000}),
        ));
        rows.push((
            format!("/teams/many/keys/{name}"),
            json!({"workspace": name, "digest": digest}),
        ));
    }
    for batch in rows.chunks(ROWS_PER_CHANGE) {
        let batch: Vec<(&str, Value)> = batch
            .iter()
            .map(|(path, value)| (path.as_str(), value.clone()))
            .collect();
        let revision = fleet.change_settings(0, &batch).await?;
        fleet.wait_for_revision(revision).await?;
    }
    Ok(())
}

/// Measures the fleet, with one settings change per second or none, and prints a row.
async fn measure(fleet: &Fleet, workspaces: usize, changes: bool) -> anyhow::Result<()> {
    let started_at = Instant::now();
    let before = totals(fleet).await?;
    let mut change_count = 0;
    while started_at.elapsed() < MEASUREMENT_TIME {
        if changes {
            let value = json!({"rate": 1000 + change_count, "burst": 1000});
            let change = [("/teams/t/workspaces/w", value)];
            fleet.change_settings(0, &change).await?;
            change_count += 1;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let after = totals(fleet).await?;
    let seconds = started_at.elapsed().as_secs_f64();
    let instances = fleet.instances.len() as f64;
    let per_second = |from: f64, to: f64| (to - from) / seconds;
    println!(
        "{:>9} {workspaces:>10} {:>9.2} {:>7.2} {:>7.2} {:>11.0} {:>8.2} {:>9.1}",
        fleet.instances.len(),
        f64::from(change_count) / seconds,
        per_second(before.reads, after.reads),
        per_second(before.writes, after.writes),
        per_second(before.peer_bytes, after.peer_bytes) / instances,
        per_second(before.cpu_seconds, after.cpu_seconds) / instances * 100.0,
        memory_mb(&fleet.instances[0])?,
    );
    Ok(())
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("instances workspaces changes/s reads/s writes/s peer B/s/inst  cpu %/inst  rss MB");
    let fleets = [(2, 5), (4, 5), (8, 5), (16, 5), (4, 500), (4, 15_000)];
    for (instances, workspaces) in fleets {
        let fleet = Builder::default()
            .instances(instances)
            .relays()
            .limit("exchange_interval_ms", 500)
            .limit("table_interval_ms", 1_000)
            .start()
            .await?;
        fleet.apply_example_settings().await?;
        add_workspaces(&fleet, workspaces).await?;
        // Waits until the instances give up requesting prefix beliefs from each other at startup:
        // there are none.
        tokio::time::sleep(Duration::from_secs(11)).await;
        measure(&fleet, workspaces, false).await?;
        measure(&fleet, workspaces, true).await?;
    }
    Ok(())
}
