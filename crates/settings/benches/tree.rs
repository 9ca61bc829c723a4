//! Measures time, memory and size of a settings tree for growing numbers of workspaces.
//!
//! Run with `cargo bench -p settings --bench tree`; figures in docs/PERFORMANCE.md.

use std::{
    fs,
    hint::black_box,
    time::Instant, //
};

use serde_json::{
    Value,
    json, //
};
use settings::{
    Digest,
    Lookup,
    Row,
    Tree,
    check, //
};

/// Numbers of workspaces to measure: the present fleet, a step between, and the full size.
const WORKSPACE_COUNTS: [usize; 3] = [5, 500, 15_000];
/// Workspaces in one team.
const WORKSPACES_PER_TEAM: usize = 50;
/// Lookups timed for each number of workspaces.
const LOOKUPS: u32 = 100_000;
/// Bytes in a memory page; /proc reports memory in pages.
const PAGE_BYTES: usize = 4096;

fn row(path: String, value: Value) -> Row {
    Row {
        path: path.parse().expect("the path is well formed"),
        value,
    }
}

/// Builds the rows of `count` workspaces with two keys each, a route for each team, and one
/// endpoint.
fn tree_rows(count: usize) -> Vec<Row> {
    let endpoint = json!({"kind": "model", "address": "10.0.0.1:80", "domain": "d1"});
    let mut rows = vec![row("/fleet/endpoints/e".to_owned(), endpoint)];
    for index in 0..count {
        let team = format!("/teams/team-{:04}", index / WORKSPACES_PER_TEAM);
        let name = format!("workspace-{index}");
        let workspace = json!({"rate": 100_000, "burst": 200_000, "weight": 2});
        rows.push(row(format!("{team}/workspaces/{name}"), workspace));
        for key in 0..2 {
            let digest = Digest::of(format!("{index}.{key}").as_bytes());
            let value = json!({"workspace": name, "digest": digest});
            rows.push(row(format!("{team}/keys/key-{index}-{key}"), value));
        }
        if index % WORKSPACES_PER_TEAM == 0 {
            let route = json!({"kind": {"model": {"model": "m"}}, "endpoints": ["e"]});
            rows.push(row(format!("{team}/routes/chat"), route));
        }
    }
    rows
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).map(str::parse::<usize>);
    pages.and_then(Result::ok).unwrap_or_default() * PAGE_BYTES
}

fn main() {
    println!(
        "workspaces  tree JSON  check      after one change  diff       memory     key look-up  route look-up"
    );
    for count in WORKSPACE_COUNTS {
        let memory_before = resident_bytes();
        let tree = Tree::new(1, tree_rows(count));
        let start = Instant::now();
        let snapshot = check(&tree).expect("the tree passes the checks");
        let first_check = start.elapsed();
        let memory = resident_bytes().saturating_sub(memory_before);
        let bytes = serde_json::to_vec(&tree).map_or(0, |text| text.len());
        let digest = Digest::of(format!("{}.1", count / 2).as_bytes());
        let start = Instant::now();
        for _ in 0..LOOKUPS {
            let found = snapshot.key(black_box(&digest));
            assert!(matches!(found, Lookup::Valid(..)));
        }
        let key_lookup = start.elapsed() / LOOKUPS;
        let team = format!("team-{:04}", (count - 1) / WORKSPACES_PER_TEAM);
        let start = Instant::now();
        for _ in 0..LOOKUPS {
            let found = snapshot.model_route(Some(black_box(&team)), "m");
            assert!(found.is_some());
        }
        let route_lookup = start.elapsed() / LOOKUPS;
        let mut next = tree.clone();
        let workspace = json!({"rate": 1, "burst": 1});
        next.set(row(
            "/teams/team-0000/workspaces/workspace-0".to_owned(),
            workspace,
        ));
        let start = Instant::now();
        check(&next).expect("the tree passes the checks");
        let next_check = start.elapsed();
        let start = Instant::now();
        let (set, _) = tree.diff(&next);
        let diff = start.elapsed();
        assert_eq!(set.len(), 1);
        println!(
            "{count:>10}  {bytes:>9}  {first_check:>9.1?}  {next_check:>16.1?}  {diff:>9.1?}  {memory:>9}  {key_lookup:>11.1?}  {route_lookup:>13.1?}"
        );
    }
}
