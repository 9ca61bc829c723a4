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
use router::ingress::RECEIVE_BYTES;
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
    http,
    node::{
        Addresses,
        Node, //
    },
    operator,
    peer,
    poll,
    rights,
    sync, //
};

/// Length of the accept queue of a listener, in connections; the kernel caps it at its own limit.
const ACCEPT_BACKLOG: u32 = 4096;
/// Timeout for releasing token rights to the table in a planned stop.
const RIGHTS_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running instance.
#[derive(Debug)]
pub struct Daemon {
    /// State shared by the planes.
    pub node: Arc<Node>,
    stop: watch::Sender<bool>,
    caller_task: JoinHandle<()>,
    rights_task: JoinHandle<()>,
    other_tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Listens on all planes and starts serving.
    ///
    /// # Errors
    ///
    /// If listening at an address fails; names the field and the address. Also if the peer plane or
    /// metrics cannot be set up.
    pub fn start(config: Config) -> anyhow::Result<Self> {
        Self::start_with(config, Strategy::default())
    }

    /// As [`Daemon::start`], with a given strategy for choosing endpoints; for measurements only.
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
        let caller_task = tokio::spawn(http::serve(caller, caller_plane, stopped.clone()));
        let operator_task = tokio::spawn(http::serve(operator, operator_plane, stopped));
        let sync_task = tokio::spawn(sync::run(node.clone()));
        let sweep_node = node.clone();
        let sweep_task = tokio::spawn(async move { claim::sweep::run(&sweep_node).await });
        let control_task = tokio::spawn(control::run(node.clone()));
        let rights_task = tokio::spawn(rights::allocator::run(node.clone()));
        let report_task = tokio::spawn(poll::load::run(node.clone()));
        emit!(info, event::STARTED, instance = node.config.name);
        Ok(Self {
            node,
            stop,
            caller_task,
            rights_task,
            other_tasks: vec![
                operator_task,
                control_task,
                sync_task,
                report_task,
                sweep_task,
            ],
        })
    }

    /// Performs a planned stop. The fleet first stops naming this instance in its answers to
    /// callers. The instance accepts new requests while callers may still cache older answers,
    /// then lets running requests finish.
    pub async fn stop(self) {
        emit!(info, event::STOPPING, instance = self.node.config.name);
        self.node.begin_stop();
        tokio::time::sleep(self.node.config.limits.stop_grace).await;
        self.node.rights.close();
        // Fails only if the tasks of both planes have ended already.
        self.stop.send(true).ok();
        let drain_timeout = self.node.config.limits.drain_timeout;
        // On a timeout, the remaining requests are cut off.
        let drained = async {
            self.caller_task.await.ok();
            self.node.claims.wait_settled().await;
        };
        tokio::time::timeout(drain_timeout, drained).await.ok();
        // On a timeout, the rights expire with their term.
        tokio::time::timeout(RIGHTS_RELEASE_TIMEOUT, self.rights_task)
            .await
            .ok();
        for task in &self.other_tasks {
            task.abort();
        }
        emit!(info, event::STOPPED, instance = self.node.config.name);
    }
}

/// Listens at `address`; an error names the settings field.
fn listen(field: &str, address: SocketAddr) -> anyhow::Result<TcpListener> {
    try_listen(address)
        .with_context(|| format!("{field}: cannot listen at {address}; choose a free address"))
}

/// Listens with a longer accept queue than the standard library's 128 connections, which overflows
/// when many callers reconnect at once.
fn try_listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)?.into_std()
}

/// Runs the daemon until SIGTERM, SIGINT or an operator's request, then performs a planned stop.
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
            () = daemon.node.wait_for_stop() => {}
        }
        daemon.stop().await;
        Ok(())
    })
}
