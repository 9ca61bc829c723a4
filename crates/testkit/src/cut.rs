//! A TCP relay that stands between two processes and can cut them off from each other.
//!
//! A cut holds bytes back rather than closing connections, as a lossy network
//! does: what was held arrives late when the cut ends. Connections may be closed
//! too, as by a host that has forgotten them.

use std::{
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use anyhow::Context;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch, //
};

/// Most bytes that are relayed at once.
const PIECE_BYTES: usize = 16 << 10;

/// What a relay lets through.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mode {
    /// Holds back what clients send.
    pub cut_requests: bool,
    /// Holds back what the target sends.
    pub cut_answers: bool,
    /// Holds back both ways for clients with these addresses.
    pub cut_clients: Vec<IpAddr>,
    /// Delays each piece, both ways.
    pub delay: Duration,
    /// Closes connections, those that are open too.
    pub closes: bool,
}

impl Mode {
    /// Lets nothing through.
    pub fn cut() -> Self {
        Self {
            cut_requests: true,
            cut_answers: true,
            ..Self::default()
        }
    }

    fn holds(&self, client: IpAddr, way: Way) -> bool {
        let cut = match way {
            Way::Request => self.cut_requests,
            Way::Answer => self.cut_answers,
        };
        cut || self.cut_clients.contains(&client)
    }
}

#[derive(Clone, Copy, Debug)]
enum Way {
    Request,
    Answer,
}

/// A relay; it ends with the runtime of the test.
#[derive(Debug)]
pub struct Cutter {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
    target: watch::Sender<Option<SocketAddr>>,
    bytes: Arc<AtomicU64>,
}

impl Cutter {
    /// Listens at a port that the system chose, without a target yet.
    ///
    /// # Errors
    ///
    /// If no port can be listened at.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr().context("relay without address")?;
        let (mode, modes) = watch::channel(Mode::default());
        let (target, targets) = watch::channel(None);
        let bytes = Arc::default();
        tokio::spawn(accept(listener, modes, targets, Arc::clone(&bytes)));
        Ok(Self {
            address,
            mode,
            target,
            bytes,
        })
    }

    /// Address to be used in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes relayed so far, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Relays new connections to `target`.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Lets through what `mode` says, on open connections too.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Lets nothing through.
    pub fn cut(&self) {
        self.set(Mode::cut());
    }

    /// Lets everything through.
    pub fn mend(&self) {
        self.set(Mode::default());
    }

    /// Holds back both ways for clients at `client`, beside what is cut already.
    pub fn cut_client(&self, client: IpAddr) {
        self.mode.send_modify(|mode| mode.cut_clients.push(client));
    }
}

async fn accept(
    listener: TcpListener,
    modes: watch::Receiver<Mode>,
    targets: watch::Receiver<Option<SocketAddr>>,
    bytes: Arc<AtomicU64>,
) {
    while let Ok((client, from)) = listener.accept().await {
        if modes.borrow().closes {
            continue;
        }
        let (modes, targets) = (modes.clone(), targets.clone());
        let bytes = Arc::clone(&bytes);
        let mut closing = modes.clone();
        tokio::spawn(async move {
            tokio::select! {
                // A broken relay looks like a broken connection, which is what it is.
                _ = relay(client, from.ip(), modes, targets, &bytes) => {}
                // Fails only if the relay is gone.
                _ = closing.wait_for(|mode| mode.closes) => {}
            }
        });
    }
}

async fn relay(
    client: TcpStream,
    from: IpAddr,
    mut modes: watch::Receiver<Mode>,
    mut targets: watch::Receiver<Option<SocketAddr>>,
    bytes: &AtomicU64,
) -> anyhow::Result<()> {
    modes
        .wait_for(|mode| !mode.holds(from, Way::Request))
        .await?;
    let target = targets.wait_for(Option::is_some).await?.context("target")?;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let gate = Gate { modes, from, bytes };
    let requests = pump(client_read, server_write, gate.clone(), Way::Request);
    let answers = pump(server_read, client_write, gate, Way::Answer);
    tokio::try_join!(requests, answers)?;
    Ok(())
}

/// What both ways of one relayed connection share.
#[derive(Clone)]
struct Gate<'a> {
    modes: watch::Receiver<Mode>,
    from: IpAddr,
    bytes: &'a AtomicU64,
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut gate: Gate<'_>,
    way: Way,
) -> anyhow::Result<()> {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let count = from.read(&mut piece).await?;
        let client = gate.from;
        let open = gate.modes.wait_for(|mode| !mode.holds(client, way));
        let delay = open.await?.delay;
        tokio::time::sleep(delay).await;
        if count == 0 {
            return Ok(to.shutdown().await?);
        }
        to.write_all(&piece[..count]).await?;
        gate.bytes.fetch_add(count as u64, Ordering::Relaxed);
    }
}
