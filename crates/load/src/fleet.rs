//! A fleet of stand-ins and instances that run as tasks of this process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use bytes::Bytes;
use damaskd::{
    config::Config,
    daemon::Daemon,
    sync::{
        self,
        store::Change, //
    }, //
};
use http::Request;
use http_body_util::Full;
use platform::http::Client;
use policy::{
    choice::Strategy,
    rank::{
        Candidate,
        rank, //
    }, //
};
use serde_json::{
    Value,
    json, //
};
use settings::Digest;
use standin::{
    engine::{
        self,
        Engine, //
    },
    fault::Switches,
    instances::Instances,
    objects::Objects,
    plain::Plain,
    server::{
        self,
        Service, //
    },
    table::Table, //
};
use tokio::sync::Mutex;

use crate::workload::{
    Deployment,
    Kind, //
};

/// Failure domains over which instances and endpoints are spread.
const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];
/// Rate limit of a workspace, as a multiple of the tokens per second of its normal requests.
const RATE_LIMIT_FACTOR: f64 = 2.0;
/// Burst of a workspace, in seconds of its rate limit.
const BURST_SECONDS: u64 = 4;
/// Time that an engine takes to compute one uncached block of prompt.
pub const PREFILL_PER_BLOCK: Duration = Duration::from_millis(40);
/// Timeout for the stop of all instances.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Age of the load in the reports of engines.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Age at which engines publish a cache event.
const EVENT_DELAY: Duration = Duration::from_millis(700);
/// One in this many cache events is lost.
const EVENT_GAP: usize = 20;

/// Size of a fleet and of its load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub plain_services: usize,
    /// Cache capacity of each engine, in blocks.
    pub cache_blocks: usize,
    /// Number of instances that the callers of one workspace use, the first of the ranking.
    pub workspace_instances: usize,
    /// Multiplier of the normal arrival rates.
    pub scale: f64,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Strategy with which the instances choose endpoints.
    pub strategy: Strategy,
    /// Deployment whose settings are in force.
    pub deployment: &'static Deployment,
    /// Model engines, named `e0`, `e1` and so on.
    pub engines: Vec<Arc<Engine>>,
    /// Table of the platform.
    pub table: Arc<Table>,
    platform: Value,
    instance_list: SocketAddr,
    size: Size,
    instances: Mutex<Vec<Daemon>>,
    addresses: std::sync::Mutex<Vec<SocketAddr>>,
}

/// Returns the key of the callers of a workspace.
pub fn caller_key(workspace: usize) -> String {
    format!("caller-key-{workspace}")
}

impl Fleet {
    /// Starts the platform, endpoints and instances and puts the settings of the deployment in
    /// force.
    ///
    /// # Errors
    ///
    /// If a stand-in or an instance does not start or the settings are refused.
    pub async fn start(
        deployment: &'static Deployment,
        strategy: Strategy,
        size: Size,
    ) -> anyhow::Result<Self> {
        let table = Arc::new(Table::default());
        let instance_list = start_service(Arc::new(Instances::default())).await?;
        let platform = json!({
            "table": start_service(table.clone()).await?,
            "objects": start_service(Arc::new(Objects::default())).await?,
            "instances": instance_list,
        });
        let (engines, endpoint_rows) = start_endpoints(size).await?;
        let fleet = Self {
            strategy,
            deployment,
            engines,
            table,
            platform,
            instance_list,
            size,
            instances: Mutex::default(),
            addresses: std::sync::Mutex::default(),
        };
        for index in 0..size.instances {
            fleet.start_instance(index).await?;
        }
        let mut changes = endpoint_rows;
        changes.extend(workspace_rows(deployment, size.scale));
        changes.extend(route_rows(deployment, size));
        fleet.commit(changes).await?;
        Ok(fleet)
    }

    /// Starts instance `index`, or replaces it if it runs, and directs callers to its new address.
    ///
    /// # Errors
    ///
    /// If the instance does not start or the instance list does not answer.
    pub async fn start_instance(&self, index: usize) -> anyhow::Result<()> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut instances = self.instances.lock().await;
        let others = instances.iter().enumerate().filter(|(i, _)| *i != index);
        let seeds: Vec<SocketAddr> = others.map(|(_, d)| d.node.addresses.peer).collect();
        let config = json!({
            "name": format!("i{index}"),
            "domain": DOMAINS[index % DOMAINS.len()],
            "caller": any_port,
            "operator": any_port,
            "peer": any_port,
            "peer_seeds": seeds,
            "peer_secret": "secret-of-the-load-tool",
            "root_operator": Digest::of(b"root"),
            "platform": self.platform,
        });
        let daemon = Daemon::start_with(Config::parse(&config.to_string())?, self.strategy)?;
        let address = daemon.node.addresses.caller;
        if index < instances.len() {
            let replaced = std::mem::replace(&mut instances[index], daemon);
            self.set_address(index, address);
            tokio::spawn(replaced.stop());
        } else {
            instances.push(daemon);
            self.set_address(index, address);
        }
        self.publish(&instances).await
    }

    /// Writes the instances into the platform's instance list.
    async fn publish(&self, instances: &[Daemon]) -> anyhow::Result<()> {
        let groups: Vec<Value> = instances
            .iter()
            .map(|daemon| {
                let name = &daemon.node.config.name;
                json!({
                    "targets": [daemon.node.addresses.peer],
                    "labels": {"name": name, "role": "instance", "state": "live"},
                })
            })
            .collect();
        let request = Request::put(format!("http://{}/instances", self.instance_list))
            .body(Full::new(Bytes::from(Value::from(groups).to_string())))?;
        let client = Client::new(Duration::from_secs(5));
        client.send(self.instance_list, request).await?;
        Ok(())
    }

    fn set_address(&self, index: usize, address: SocketAddr) {
        let Ok(mut addresses) = self.addresses.lock() else {
            return;
        };
        if index < addresses.len() {
            addresses[index] = address;
        } else {
            addresses.push(address);
        }
    }

    /// Returns the addresses that a caller of the workspace tries, in order. `nonce` chooses the
    /// first one among the instances that the workspace uses.
    pub fn addresses_for(&self, workspace: usize, nonce: u64) -> Vec<SocketAddr> {
        let Ok(addresses) = self.addresses.lock() else {
            return Vec::new();
        };
        let names: Vec<String> = (0..addresses.len()).map(|i| format!("i{i}")).collect();
        let candidates: Vec<Candidate<'_>> = names
            .iter()
            .enumerate()
            .map(|(index, name)| Candidate {
                name,
                domain: DOMAINS[index % DOMAINS.len()],
                leaving: false,
            })
            .collect();
        let (subject, _) = self.deployment.workspaces[workspace];
        let mut order = rank(&format!("team/{subject}"), &candidates);
        let used_count = order.len().min(self.size.workspace_instances);
        order[..used_count].rotate_left(nonce as usize % used_count);
        order.into_iter().map(|index| addresses[index]).collect()
    }

    /// Commits rows of settings and puts them in force at every instance.
    ///
    /// # Errors
    ///
    /// If there is no instance, or the rows are invalid or refused.
    pub async fn commit(&self, rows: Vec<(String, Value)>) -> anyhow::Result<()> {
        let instances = self.instances.lock().await;
        let node = &instances.first().context("the fleet has no instance")?.node;
        let changes: Vec<Change> = rows
            .into_iter()
            .map(|(path, value)| {
                Ok(Change {
                    path: path.parse()?,
                    value: Some(value),
                })
            })
            .collect::<anyhow::Result<_>>()?;
        let write_id = format!("{:016x}", rand::random::<u64>());
        let proposal = sync::commit::Proposal::new("load", &write_id, &changes);
        sync::commit::commit(&node.table, &proposal, |_, _| Ok(()))
            .await
            .map_err(|error| anyhow::anyhow!("settings not committed: {error:?}"))?;
        for daemon in instances.iter() {
            sync::refresh(&daemon.node).await?;
        }
        Ok(())
    }

    /// Makes the table unreachable, or reachable again.
    pub fn set_table_down(&self, down: bool) {
        self.table.faults().set(Switches {
            down,
            ..Switches::default()
        });
    }

    /// Makes an engine unreachable, or reachable again.
    pub fn set_engine_down(&self, index: usize, down: bool) {
        self.engines[index].faults().set(Switches {
            down,
            ..Switches::default()
        });
    }

    /// Stops all instances.
    pub async fn stop(self) {
        let daemons = self.instances.into_inner().into_iter();
        let stop_all = futures::future::join_all(daemons.map(Daemon::stop));
        // Requests that outlive the run are not measured, so a timeout is no error.
        tokio::time::timeout(STOP_TIMEOUT, stop_all).await.ok();
    }
}

async fn start_service<S: Service>(service: Arc<S>) -> anyhow::Result<SocketAddr> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(server::start(any_port, service).await?.address)
}

/// Rows of settings: path and document.
type Rows = Vec<(String, Value)>;

async fn start_endpoints(size: Size) -> anyhow::Result<(Vec<Arc<Engine>>, Rows)> {
    let mut engines = Vec::new();
    let mut rows = Vec::new();
    for index in 0..size.engines {
        let engine = Arc::new(Engine::new(engine::Config {
            cache_blocks: size.cache_blocks,
            prefill_per_block: PREFILL_PER_BLOCK,
            decode_per_token: Duration::from_millis(4),
            report_lag: REPORT_LAG,
            event_delay: EVENT_DELAY,
            event_gap: EVENT_GAP,
            ..engine::Config::default()
        }));
        rows.push(endpoint_row(
            "e",
            "model",
            index,
            start_service(engine.clone()).await?,
        ));
        engines.push(engine);
    }
    for index in 0..size.plain_services {
        let address = start_service(Arc::new(Plain::default())).await?;
        rows.push(endpoint_row("p", "plain", index, address));
    }
    Ok((engines, rows))
}

fn endpoint_row(prefix: &str, kind: &str, index: usize, address: SocketAddr) -> (String, Value) {
    let value = json!({
        "kind": kind,
        "address": address,
        "domain": DOMAINS[index % DOMAINS.len()],
        "echoes_id": true,
    });
    (format!("/fleet/endpoints/{prefix}{index}"), value)
}

fn workspace_rows(deployment: &Deployment, scale: f64) -> Rows {
    let mut rows = Vec::new();
    let total_rate = deployment.tokens_per_second() * scale * RATE_LIMIT_FACTOR;
    for (index, (name, fraction)) in deployment.workspaces.iter().enumerate() {
        let rate = (total_rate * fraction) as u64;
        let workspace = json!({"rate": rate, "burst": rate * BURST_SECONDS});
        rows.push((format!("/teams/team/workspaces/{name}"), workspace));
        let digest = Digest::of(caller_key(index).as_bytes());
        let key = json!({"workspace": name, "digest": digest});
        rows.push((format!("/teams/team/keys/k{index}"), key));
    }
    rows
}

fn route_rows(deployment: &Deployment, size: Size) -> Rows {
    let names = |prefix: &str, count: usize| -> Vec<String> {
        (0..count).map(|index| format!("{prefix}{index}")).collect()
    };
    let mut rows = Vec::new();
    for stream in &deployment.streams {
        let (kind, endpoints) = match stream.kind {
            Kind::Model { model, .. } => {
                let row = (format!("/fleet/models/{model}"), json!({"version": "v1"}));
                rows.push(row);
                (json!({"model": {"model": model}}), names("e", size.engines))
            }
            Kind::Read(prefix) | Kind::Write(prefix) => (
                json!({"plain": {"prefix": prefix}}),
                names("p", size.plain_services),
            ),
        };
        let route = json!({
            "kind": kind,
            "endpoints": endpoints,
            "repeatable": !matches!(stream.kind, Kind::Write(_)),
            "class": stream.class.as_str(),
            "deadline_ms": 10_000,
        });
        rows.push((format!("/teams/team/routes/{}", stream.name), route));
    }
    rows
}
