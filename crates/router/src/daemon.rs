//! Starts and stops the planes of one instance.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use platform::table::Watch;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    signal::unix::{
        SignalKind,
        signal, //
    },
    sync::watch,
    task::JoinHandle, //
};

use crate::{
    config::Config,
    counted::Counted,
    exchange,
    http::{
        self,
        Service, //
    },
    node::Node,
    peer,
    plane,
    protocol::Protocol,
    rollout,
    sync, //
};

/// Connections that may wait to be accepted; the kernel caps it at its own limit.
const BACKLOG: u32 = 4096;
/// Time after SIGTERM for which new connections are still taken: callers keep older answers of
/// the directory for a while.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Part of the time between SIGTERM and the kill that running requests have to end.
const DRAIN_PART: f64 = 0.9;

/// Runs an instance until SIGTERM and its planned stop.
///
/// # Errors
///
/// If the runtime or a plane cannot be started; names the field and the address.
pub fn run<P: Protocol, W: Watch>(
    config: Config,
    table: impl FnOnce(SocketAddr) -> W,
) -> anyhow::Result<()> {
    // One thread: instances have a part of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        let node = Arc::new(Node::<P>::new(config)?);
        let table = Counted::new(table(node.config.table), node.metrics.clone());
        let daemon = Daemon::start(node, &table)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => emit!(info, event::SETTINGS_FILE_CHANGED),
            }
        }
        daemon.stop(&table).await;
        Ok(())
    })
}

/// A running instance.
struct Daemon<P> {
    node: Arc<Node<P>>,
    stop: watch::Sender<bool>,
    /// Never sent to: the other planes serve until the process ends.
    _others: watch::Sender<bool>,
    callers: JoinHandle<()>,
}

impl<P: Protocol> Daemon<P> {
    fn start<W: Watch>(node: Arc<Node<P>>, table: &W) -> anyhow::Result<Self> {
        let listen = node.config.listen;
        let (stop, stopped) = watch::channel(false);
        let (others, never) = watch::channel(false);
        let callers = plane::Callers(node.clone());
        let callers = serve("listen.callers", listen.callers, callers, stopped)?;
        serve(
            "listen.directory",
            listen.directory,
            plane::Directory(node.clone()),
            never.clone(),
        )?;
        serve(
            "listen.probes",
            listen.probes,
            plane::Probes(node.clone()),
            never.clone(),
        )?;
        serve(
            "listen.peers",
            listen.peers,
            plane::Peers(node.clone()),
            never,
        )?;
        tokio::spawn(exchange::run(node.clone()));
        tokio::spawn(sync::run(node.clone(), table.clone()));
        tokio::spawn(peer::bootstrap(node.clone()));
        tokio::spawn(rollout::run(node.clone(), table.clone()));
        emit!(info, event::STARTED, instance = node.config.name);
        Ok(Self {
            node,
            stop,
            _others: others,
            callers,
        })
    }

    /// Leaves the answers of the directory first, takes requests for as long as callers keep
    /// older ones, then lets running requests end.
    async fn stop<W: Watch>(self, table: &W) {
        let limit = self.node.config.bounds.stop.mul_f64(DRAIN_PART);
        emit!(info, event::STOPPING, instance = self.node.config.name);
        self.node.begin_stop();
        self.node.rollout_wakeup.notify_one();
        let drained = async {
            exchange::announce_leaving(&self.node).await;
            sync::tell(&self.node, table).await;
            tokio::time::sleep(ACCEPT_AFTER_STOP).await;
            // Fails only if the plane is gone already.
            self.stop.send(true).ok();
            self.callers.await.ok();
        };
        let in_time = tokio::time::timeout(limit, drained).await.is_ok();
        emit!(
            info,
            event::STOPPED,
            instance = self.node.config.name,
            in_time = in_time,
        );
    }
}

fn serve<S: Service>(
    field: &str,
    address: SocketAddr,
    service: S,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<JoinHandle<()>> {
    let listener = listen(address)
        .with_context(|| format!("{field}: cannot listen at {address}; choose a free address"))?;
    Ok(tokio::spawn(http::serve(listener, Arc::new(service), stop)))
}

/// The standard library's backlog of 128 overflows when callers come back in a herd.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
