//! Starts and stops the planes of one instance.

use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    sync::Arc,
    thread,
    time::Duration, //
};

use anyhow::Context;
use policy::choice::Strategy;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::TcpSocket,
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch,
    task::JoinHandle, //
};

use crate::{
    args::Args,
    caller,
    claim,
    config::Config,
    control,
    feed,
    http,
    node::{
        Addresses,
        Node, //
    },
    operator,
    peer,
    rights,
    sync, //
};

/// Connections that may wait to be accepted; the kernel caps it at its own limit.
const BACKLOG: u32 = 4096;
/// Longest time to give token rights back in a planned stop.
const RETIRE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running instance.
#[derive(Debug)]
pub struct Daemon {
    /// What the planes share.
    pub node: Arc<Node>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    rights: JoinHandle<()>,
    others: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Listens on all planes and starts serving.
    ///
    /// # Errors
    ///
    /// If an address cannot be listened at; names the field and the address.
    pub fn start(config: Config) -> anyhow::Result<Self> {
        Self::start_with(config, Strategy::default())
    }

    /// As [`Daemon::start`], with another way to choose endpoints; for measurements only.
    ///
    /// # Errors
    ///
    /// As [`Daemon::start`].
    pub fn start_with(config: Config, strategy: Strategy) -> anyhow::Result<Self> {
        let caller = listen("caller", config.caller)?;
        let operator = listen("operator", config.operator)?;
        let peer_listener = listen("peer", config.peer)?;
        let peer_bound = peer_listener.local_addr()?;
        let addresses = Addresses {
            caller: caller.local_addr()?,
            operator: operator.local_addr()?,
            peer: config.advertise_peer.unwrap_or(peer_bound),
            peer_bound,
        };
        let node = Arc::new(Node::new(config, addresses, strategy)?);
        let (stop, stopped) = watch::channel(false);
        peer::start(node.clone(), peer_listener)?;
        let caller_plane = Arc::new(caller::Plane::new(node.clone()));
        let operator_plane = Arc::new(operator::Plane::new(node.clone()));
        let caller = tokio::net::TcpListener::from_std(caller)?;
        let operator = tokio::net::TcpListener::from_std(operator)?;
        let callers = tokio::spawn(http::serve(caller, caller_plane, stopped.clone()));
        let operators = tokio::spawn(http::serve(operator, operator_plane, stopped));
        let reader = tokio::spawn(sync::run(node.clone()));
        let sweeper = node.clone();
        let sweeper = tokio::spawn(async move { claim::sweep::run(&sweeper).await });
        let control = tokio::spawn(control::run(node.clone()));
        let rights = tokio::spawn(rights::claimer::run(node.clone()));
        let reports = tokio::spawn(feed::load::run(node.clone()));
        emit!(info, event::STARTED, instance = node.config.name);
        Ok(Self {
            node,
            stop,
            callers,
            rights,
            others: vec![operators, control, reader, reports, sweeper],
        })
    }

    /// Stops as planned: leaves the answers to callers first, takes new work for as long as
    /// callers keep older answers, then lets running requests end.
    pub async fn stop(self) {
        emit!(info, event::STOPPING, instance = self.node.config.name);
        self.node.stop();
        tokio::time::sleep(self.node.config.limits.stop_grace).await;
        self.node.rights.close();
        // Fails only if both planes are gone already.
        self.stop.send(true).ok();
        let limit = self.node.config.limits.drain_timeout;
        // Past the limit the remaining requests are cut.
        let settled = async {
            self.callers.await.ok();
            self.node.claims.settled().await;
        };
        tokio::time::timeout(limit, settled).await.ok();
        // Past the limit the rights end with their term.
        tokio::time::timeout(RETIRE_TIMEOUT, self.rights).await.ok();
        for task in &self.others {
            task.abort();
        }
        emit!(info, event::STOPPED, instance = self.node.config.name);
    }
}

fn listen(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    try_listen(address)
        .with_context(|| format!("{field}: cannot listen at {address}; choose a free address"))
}

/// The standard library's backlog of 128 overflows when callers come back in a herd.
fn try_listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Runs the daemon until SIGTERM or SIGINT and its planned stop.
///
/// # Errors
///
/// If logging, the runtime or a plane cannot be started.
pub fn run(config: Config, args: &Args) -> anyhow::Result<()> {
    telemetry::log::start(args.log_format, args.log_level);
    let cores = thread::available_parallelism()?.get();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(config.limits.workers.min(cores))
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = Daemon::start(config)?;
        let Addresses {
            caller,
            operator,
            peer,
            peer_bound,
        } = daemon.node.addresses;
        println!(
            "listening caller={caller} operator={operator} peer={peer} peer_bound={peer_bound}"
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.node.stop_begun() => {}
        }
        daemon.stop().await;
        Ok(())
    })
}
