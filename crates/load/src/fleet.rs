//! One fleet of stand-ins and instances in this process's tasks.

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
/// Rate of a workspace, in shares of the tokens that its usual requests may use.
const RATE_SHARE: f64 = 2.0;
/// Burst of a workspace, in seconds of its rate.
const BURST_SECONDS: u64 = 4;
/// Time for one block of prompt.
pub const PREFILL: Duration = Duration::from_millis(40);
/// Time that instances get to stop.
const STOP: Duration = Duration::from_secs(1);
/// Age of the load that engines report.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Age of the cache events that engines publish.
const EVENT_DELAY: Duration = Duration::from_millis(700);
/// One of this many cache events is lost.
const EVENT_GAP: usize = 20;

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub plains: usize,
    /// Blocks that each engine caches.
    pub cache_blocks: usize,
    /// Instances of the ranking that one workspace's callers use.
    pub in_use: usize,
    /// Times the usual arrivals.
    pub scale: f64,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// How its instances choose endpoints.
    pub strategy: Strategy,
    /// The deployment whose settings are in force.
    pub deployment: &'static Deployment,
    /// The engines.
    pub engines: Vec<Arc<Engine>>,
    /// The table.
    pub table: Arc<Table>,
    platform: Value,
    list: SocketAddr,
    size: Size,
    instances: Mutex<Vec<Daemon>>,
    addresses: std::sync::Mutex<Vec<SocketAddr>>,
}

/// Key of a workspace's callers.
pub fn key(workspace: usize) -> String {
    format!("caller-key-{workspace}")
}

impl Fleet {
    /// Starts all parts and puts the settings in force.
    ///
    /// # Errors
    ///
    /// If a part does not start or the settings are refused.
    pub async fn start(
        deployment: &'static Deployment,
        strategy: Strategy,
        size: Size,
    ) -> anyhow::Result<Self> {
        let table = Arc::new(Table::default());
        let list = listen(Arc::new(Instances::default())).await?;
        let platform = json!({
            "table": listen(table.clone()).await?,
            "objects": listen(Arc::new(Objects::default())).await?,
            "instances": list,
        });
        let (engines, endpoints) = endpoints(size).await?;
        let fleet = Self {
            strategy,
            deployment,
            engines,
            table,
            platform,
            list,
            size,
            instances: Mutex::default(),
            addresses: std::sync::Mutex::default(),
        };
        for index in 0..size.instances {
            fleet.launch(index).await?;
        }
        let mut changes = endpoints;
        changes.extend(tenants(deployment, size.scale));
        changes.extend(routes(deployment, size));
        fleet.change(changes).await?;
        Ok(fleet)
    }

    /// Starts instance `index`, or a new one in its place; tells its address to callers.
    ///
    /// # Errors
    ///
    /// If it does not start.
    pub async fn launch(&self, index: usize) -> anyhow::Result<()> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut instances = self.instances.lock().await;
        let others = instances.iter().enumerate().filter(|(i, _)| *i != index);
        let seeds: Vec<SocketAddr> = others.map(|(_, d)| d.node.addresses.peer).collect();
        let config = json!({
            "name": format!("i{index}"),
            "domain": DOMAINS[index % DOMAINS.len()],
            "caller": any,
            "operator": any,
            "peer": any,
            "peer_seeds": seeds,
            "peer_secret": "secret-of-the-load-tool",
            "root_operator": Digest::of(b"root"),
            "platform": self.platform,
        });
        let daemon = Daemon::start_with(Config::parse(&config.to_string())?, self.strategy)?;
        let address = daemon.node.addresses.caller;
        if index < instances.len() {
            let old = std::mem::replace(&mut instances[index], daemon);
            self.tell(index, address);
            tokio::spawn(old.stop());
        } else {
            instances.push(daemon);
            self.tell(index, address);
        }
        self.publish(&instances).await
    }

    /// Puts the instances into the platform's list.
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
        let request = Request::put(format!("http://{}/instances", self.list))
            .body(Full::new(Bytes::from(Value::from(groups).to_string())))?;
        let client = Client::new(Duration::from_secs(5));
        client.send(self.list, request).await?;
        Ok(())
    }

    fn tell(&self, index: usize, address: SocketAddr) {
        let Ok(mut addresses) = self.addresses.lock() else {
            return;
        };
        if index < addresses.len() {
            addresses[index] = address;
        } else {
            addresses.push(address);
        }
    }

    /// The instances that a caller of the workspace tries, in order.
    pub fn instances(&self, workspace: usize, dice: u64) -> Vec<SocketAddr> {
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
        let used = order.len().min(self.size.in_use);
        order[..used].rotate_left(dice as usize % used);
        order.into_iter().map(|index| addresses[index]).collect()
    }

    /// Commits settings and puts them in force everywhere.
    ///
    /// # Errors
    ///
    /// If they are refused.
    pub async fn change(&self, changes: Vec<(String, Value)>) -> anyhow::Result<()> {
        let instances = self.instances.lock().await;
        let node = &instances.first().context("no instance")?.node;
        let changes: Vec<Change> = changes
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
            .map_err(|error| anyhow::anyhow!("settings: {error:?}"))?;
        for daemon in instances.iter() {
            sync::refresh(&daemon.node).await?;
        }
        Ok(())
    }

    /// Cuts off the table, or lets it answer again.
    pub fn table_down(&self, down: bool) {
        self.table.faults().set(Switches {
            down,
            ..Switches::default()
        });
    }

    /// Cuts off an engine, or lets it answer again.
    pub fn engine_down(&self, index: usize, down: bool) {
        self.engines[index].faults().set(Switches {
            down,
            ..Switches::default()
        });
    }

    /// Stops all instances.
    pub async fn stop(self) {
        let daemons = self.instances.into_inner().into_iter();
        let stops = futures::future::join_all(daemons.map(Daemon::stop));
        // Requests that outlive the run are of no interest.
        tokio::time::timeout(STOP, stops).await.ok();
    }
}

async fn listen<S: Service>(service: Arc<S>) -> anyhow::Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ok(server::start(any, service).await?.address)
}

type Rows = Vec<(String, Value)>;

async fn endpoints(size: Size) -> anyhow::Result<(Vec<Arc<Engine>>, Rows)> {
    let mut engines = Vec::new();
    let mut rows = Vec::new();
    for index in 0..size.engines {
        let engine = Arc::new(Engine::new(engine::Config {
            cache_blocks: size.cache_blocks,
            prefill_per_block: PREFILL,
            decode_per_token: Duration::from_millis(4),
            report_lag: REPORT_LAG,
            event_delay: EVENT_DELAY,
            event_gap: EVENT_GAP,
            ..engine::Config::default()
        }));
        rows.push(endpoint("e", "model", index, listen(engine.clone()).await?));
        engines.push(engine);
    }
    for index in 0..size.plains {
        let address = listen(Arc::new(Plain::default())).await?;
        rows.push(endpoint("p", "plain", index, address));
    }
    Ok((engines, rows))
}

fn endpoint(prefix: &str, kind: &str, index: usize, address: SocketAddr) -> (String, Value) {
    let value = json!({
        "kind": kind,
        "address": address,
        "domain": DOMAINS[index % DOMAINS.len()],
        "echoes_id": true,
    });
    (format!("/fleet/endpoints/{prefix}{index}"), value)
}

fn tenants(deployment: &Deployment, scale: f64) -> Rows {
    let mut rows = Vec::new();
    let usual = deployment.tokens_per_second() * scale * RATE_SHARE;
    for (index, (name, share)) in deployment.workspaces.iter().enumerate() {
        let rate = (usual * share) as u64;
        let workspace = json!({"rate": rate, "burst": rate * BURST_SECONDS});
        rows.push((format!("/teams/team/workspaces/{name}"), workspace));
        let digest = Digest::of(key(index).as_bytes());
        let key = json!({"workspace": name, "digest": digest});
        rows.push((format!("/teams/team/keys/k{index}"), key));
    }
    rows
}

fn routes(deployment: &Deployment, size: Size) -> Rows {
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
                names("p", size.plains),
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
