//! Control traffic of real instances at rest and with a settings change a second.
//!
//! `cargo build --release && cargo bench -p damaskd --bench control` prints one
//! row for each fleet: table reads and writes a second of all instances, and of
//! one instance bytes a second on the peer plane, processor time and memory.

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

/// Length of each measurement.
const SPAN: Duration = Duration::from_secs(8);
/// Clock ticks a second in `/proc/<pid>/stat`.
const TICKS: f64 = 100.0;
/// Rows of one settings change while a tree is built.
const BATCH: usize = 5_000;

/// Sums at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    reads: f64,
    writes: f64,
    peer_bytes: f64,
    cpu_seconds: f64,
}

async fn sums(fleet: &Fleet) -> anyhow::Result<Sums> {
    let address = fleet.table.address()?;
    let counts = Caller::new(None).get_json(address, "/counts").await?;
    let mut sums = Sums {
        reads: counts["reads"].as_f64().context("reads")?,
        writes: counts["writes"].as_f64().context("writes")?,
        ..Sums::default()
    };
    for instance in &fleet.instances {
        sums.cpu_seconds += cpu_seconds(instance)?;
    }
    for links in &fleet.links {
        sums.peer_bytes += links.peer.relayed_bytes() as f64;
    }
    Ok(sums)
}

fn cpu_seconds(process: &Process) -> anyhow::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    // Fields after the name, which is in parentheses; the 12th and 13th are user and system time.
    let (_, fields) = stat.rsplit_once(')').context("stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS)
}

fn memory_mb(process: &Process) -> anyhow::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    Ok(kb.context("VmRSS")?.parse::<f64>()? / 1024.0)
}

/// Adds workspaces with a key each, in batches.
async fn fill(fleet: &Fleet, workspaces: usize) -> anyhow::Result<()> {
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
    for batch in rows.chunks(BATCH) {
        let batch: Vec<(&str, Value)> = batch
            .iter()
            .map(|(path, value)| (path.as_str(), value.clone()))
            .collect();
        let revision = fleet.change_settings(0, &batch).await?;
        fleet.wait_for_revision(revision).await?;
    }
    Ok(())
}

/// Prints what the fleet spends over one span, with one change a second or none.
async fn measure(fleet: &Fleet, workspaces: usize, changes: bool) -> anyhow::Result<()> {
    let began = Instant::now();
    let before = sums(fleet).await?;
    let mut made = 0;
    while began.elapsed() < SPAN {
        if changes {
            let value = json!({"rate": 1000 + made, "burst": 1000});
            let change = [("/teams/t/workspaces/w", value)];
            fleet.change_settings(0, &change).await?;
            made += 1;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let after = sums(fleet).await?;
    let seconds = began.elapsed().as_secs_f64();
    let count = fleet.instances.len() as f64;
    let a_second = |from: f64, to: f64| (to - from) / seconds;
    println!(
        "{:>9} {workspaces:>10} {:>9.2} {:>7.2} {:>7.2} {:>11.0} {:>8.2} {:>9.1}",
        fleet.instances.len(),
        f64::from(made) / seconds,
        a_second(before.reads, after.reads),
        a_second(before.writes, after.writes),
        a_second(before.peer_bytes, after.peer_bytes) / count,
        a_second(before.cpu_seconds, after.cpu_seconds) / count * 100.0,
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
        fill(&fleet, workspaces).await?;
        // Past the tries of a start to get prefix beliefs, of which there are none.
        tokio::time::sleep(Duration::from_secs(11)).await;
        measure(&fleet, workspaces, false).await?;
        measure(&fleet, workspaces, true).await?;
    }
    Ok(())
}
