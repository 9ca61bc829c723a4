//! Starts and stops the planes of one instance.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use anyhow::Context;
use futures::future::join;
use platform::table::Watch;
use policy::stop;
use telemetry::{
    emit,
    emit_lifecycle,
    event, //
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    signal::unix::{
        Signal,
        SignalKind,
        signal, //
    },
    sync::watch,
    task::JoinHandle,
    time::{
        Instant,
        MissedTickBehavior,
        interval,
        timeout_at, //
    }, //
};

use crate::{
    config::Config,
    counted::Counted,
    exchange,
    exposure,
    http::{
        self,
        LAST_READ_TIME,
        Service, //
    },
    ingress::{
        Busy,
        RECEIVE_BYTES, //
    },
    node::Node,
    origin,
    peer,
    plane,
    protocol::Protocol,
    quarantine,
    relay,
    rollout,
    sync, //
};

/// Length of the accept queue, in connections; the kernel caps it at its own limit.
const ACCEPT_BACKLOG: u32 = 4096;

/// Runs an instance until it has stopped after SIGTERM.
///
/// # Errors
///
/// If the runtime or a plane cannot be started; names the field and the address.
pub fn run<P: Protocol, W: Watch>(
    config: Config,
    table: impl FnOnce(SocketAddr) -> W,
) -> anyhow::Result<()> {
    // One thread, since an instance has a fraction of one core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    log_panics();
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        let node = Arc::new(Node::<P>::new(config)?);
        let table = Counted::new(table(node.config.table), node.metrics.clone());
        let daemon = Daemon::start(node, &table)?;
        let begun_at = terminated(&mut terminate, &mut reload).await;
        daemon.stop(&table, begun_at).await;
        Ok(())
    })
}

/// Waits for SIGTERM; returns when the stop has begun, see [`stop::begin`].
async fn terminated(terminate: &mut Signal, reload: &mut Signal) -> Instant {
    let mut tick = interval(stop::TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ran_at = Instant::now();
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = reload.recv() => emit!(info, event::SETTINGS_FILE_CHANGED),
            _ = tick.tick() => {
                // The runtime may not have read a signal yet that came while the process was held up.
                tokio::select! {
                    biased;
                    _ = terminate.recv() => break,
                    () = tokio::task::yield_now() => ran_at = Instant::now(),
                }
            }
        }
    }
    stop::begin(ran_at.into(), Instant::now().into()).into()
}

/// Logs panics, which end one task, beside what the process writes to standard error.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let location = panic.location().map(ToString::to_string);
        let message = panic.payload_as_str();
        emit_lifecycle!(
            error,
            event::PANICKED,
            location = location,
            reason = message
        );
        report(panic);
    }));
}

/// A running instance.
struct Daemon<P> {
    node: Arc<Node<P>>,
    stop: watch::Sender<bool>,
    /// Never sent to: the planes other than the callers' serve until the process ends.
    _never_stop: watch::Sender<bool>,
    callers_plane: JoinHandle<()>,
}

impl<P: Protocol> Daemon<P> {
    fn start<W: Watch>(node: Arc<Node<P>>, table: &W) -> anyhow::Result<Self> {
        let listen = node.config.listen;
        let (stop, stopped) = watch::channel(false);
        let (never_stop, never_stopped) = watch::channel(false);
        let callers = plane::Callers(node.clone());
        let callers_plane = serve("listen.callers", listen.callers, callers, stopped)?;
        serve(
            "listen.directory",
            listen.directory,
            plane::Directory(node.clone()),
            never_stopped.clone(),
        )?;
        serve(
            "listen.probes",
            listen.probes,
            plane::Probes(node.clone()),
            never_stopped.clone(),
        )?;
        serve(
            "listen.peers",
            listen.peers,
            plane::Peers(node.clone()),
            never_stopped,
        )?;
        tokio::spawn(exchange::run(node.clone()));
        tokio::spawn(sync::run(node.clone(), table.clone()));
        tokio::spawn(peer::bootstrap(node.clone()));
        tokio::spawn(relay::run(node.clone()));
        tokio::spawn(rollout::run(node.clone(), table.clone()));
        tokio::spawn(exposure::run(node.clone(), table.clone()));
        tokio::spawn(quarantine::run(node.clone(), table.clone()));
        tokio::spawn(origin::run(node.clone(), table.clone()));
        emit_lifecycle!(info, event::STARTED, instance = node.config.name);
        let machine = &node.ingress.machine;
        emit!(
            info,
            event::CALLER_BOUNDS,
            memory = machine.memory,
            descriptors = machine.descriptors,
            body_bytes = machine.body_bytes(),
            answer_bytes = machine.answer_bytes(),
            peer_connections = machine.peer_connections(),
            directory_connections = machine.directory_connections(),
        );
        Ok(Self {
            node,
            stop,
            _never_stop: never_stop,
            callers_plane,
        })
    }

    /// Announces the stop, so that the directory no longer names this instance; accepts requests
    /// while callers may still cache older responses of the directory; then waits for running
    /// requests to end. What began the streams that were relayed is written to the table, so that
    /// other instances may go on with those that have not ended; these end without their rest, and
    /// other requests with a refusal.
    ///
    /// Each step ends at a time from the begin, so that one that overruns shortens the next ones.
    async fn stop<W: Watch>(mut self, table: &W, begun_at: Instant) {
        emit_lifecycle!(info, event::STOPPING, instance = self.node.config.name);
        let node = self.node.clone();
        let schedule = node.begin_stop(begun_at.into());
        node.rollout_wakeup.notify_one();
        let accepted_by = begun_at + schedule.accept;
        let drained_by = begun_at + schedule.drain;
        let saved_by = drained_by + schedule.save;
        let drain = async {
            let announced = announce(&node, table, accepted_by);
            join(announced, self.drain(accepted_by)).await;
        };
        let in_time = timeout_at(drained_by, drain).await.is_ok();
        if !in_time {
            // A process that was held up has not read yet what arrived in the meantime.
            if drained_by.elapsed() >= stop::TICK_INTERVAL {
                tokio::time::sleep(LAST_READ_TIME).await;
            }
            node.stop.end_requests();
        }
        let save = origin::write_unsaved(&node, table);
        if timeout_at(saved_by, save).await.is_err() {
            emit!(warn, event::STREAMS_UNSAVED, instance = node.config.name);
        }
        if !in_time {
            node.stop.end_streams();
            // Callers that do not read their answers have until then. Answers are sent even if the
            // steps before have taken all of the time.
            let answered_by = saved_by.max(Instant::now()) + schedule.answer;
            timeout_at(answered_by, self.ended()).await.ok();
        }
        let Busy { arriving, running } = self.node.ingress.connections.busy();
        emit_lifecycle!(
            info,
            event::STOPPED,
            instance = self.node.config.name,
            in_time = in_time,
            arriving = arriving,
            running = running,
        );
    }

    /// Accepts connections until `accepted_by`, then waits until all that runs has ended.
    async fn drain(&mut self, accepted_by: Instant) {
        tokio::time::sleep_until(accepted_by).await;
        // Fails only if the callers' plane has already ended.
        self.stop.send(true).ok();
        self.ended().await;
    }

    /// Waits until requests of callers and connections that are relayed for other instances have ended.
    async fn ended(&mut self) {
        // A handle that has returned its result panics if it is asked again.
        if !self.callers_plane.is_finished() {
            // Fails only if the plane has panicked, which the log says.
            (&mut self.callers_plane).await.ok();
        }
        let relayed = &self.node.relayed;
        // Fails only if the semaphore is closed, which it never is.
        relayed.acquire_many(relay::MAX_RELAYED).await.ok();
    }
}

/// Tells others that this instance leaves, and writes the records of streams until `until`, since an
/// instance may be killed while it stops. The network may keep any of this for long.
async fn announce<P: Protocol, W: Watch>(node: &Node<P>, table: &W, until: Instant) {
    exchange::announce_leaving(node).await;
    sync::write_row(node, table).await;
    let save = origin::write_unsaved(node, table);
    // What is not written by then is written when the running requests have ended.
    timeout_at(until, save).await.ok();
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

/// Listens with a longer accept queue than the standard library's 128 connections, which overflow
/// when many callers reconnect at once.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
