//! A TCP relay between two processes that can interrupt their traffic.
//!
//! A cut holds bytes back and leaves connections open, as a lossy network does:
//! the bytes arrive late, once the cut ends. The relay can also close
//! connections, as a host does that has lost their state.

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

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// What a relay does to the traffic; by default, nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Impairment {
    /// Holds back the bytes that clients send.
    pub cut_requests: bool,
    /// Holds back the bytes that the target sends.
    pub cut_answers: bool,
    /// Holds back the bytes of both directions for clients with these addresses.
    pub cut_clients: Vec<IpAddr>,
    /// Delay of each read of at most 16 KiB, in both directions.
    pub delay: Duration,
    /// Closes open connections and every new one.
    pub close_connections: bool,
}

impl Impairment {
    /// Holds back all bytes in both directions.
    pub fn cut() -> Self {
        Self {
            cut_requests: true,
            cut_answers: true,
            ..Self::default()
        }
    }

    fn is_cut(&self, client: IpAddr, direction: Direction) -> bool {
        let cut = match direction {
            Direction::Request => self.cut_requests,
            Direction::Answer => self.cut_answers,
        };
        cut || self.cut_clients.contains(&client)
    }
}

#[derive(Clone, Copy, Debug)]
enum Direction {
    Request,
    Answer,
}

/// A running relay; it ends with the runtime of the test.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    impairment: watch::Sender<Impairment>,
    target: watch::Sender<Option<SocketAddr>>,
    relayed_bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay without a target, at a port that the system chooses.
    ///
    /// # Errors
    ///
    /// If the relay cannot bind a port.
    pub async fn start() -> anyhow::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener
            .local_addr()
            .context("relay has no local address")?;
        let (impairment, impairments) = watch::channel(Impairment::default());
        let (target, targets) = watch::channel(None);
        let relayed_bytes = Arc::default();
        tokio::spawn(accept(
            listener,
            impairments,
            targets,
            Arc::clone(&relayed_bytes),
        ));
        Ok(Self {
            address,
            impairment,
            target,
            relayed_bytes,
        })
    }

    /// Address of the relay, for clients to use in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of bytes relayed so far, in both directions.
    pub fn relayed_bytes(&self) -> u64 {
        self.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Replaces the impairment, also of open connections.
    pub fn set_impairment(&self, impairment: Impairment) {
        self.impairment.send_replace(impairment);
    }

    /// Holds back all bytes in both directions.
    pub fn cut(&self) {
        self.set_impairment(Impairment::cut());
    }

    /// Ends all impairments.
    pub fn heal(&self) {
        self.set_impairment(Impairment::default());
    }

    /// Holds back the bytes of both directions for clients at `client`, besides the present cuts.
    pub fn cut_client(&self, client: IpAddr) {
        self.impairment
            .send_modify(|impairment| impairment.cut_clients.push(client));
    }
}

async fn accept(
    listener: TcpListener,
    impairments: watch::Receiver<Impairment>,
    targets: watch::Receiver<Option<SocketAddr>>,
    relayed_bytes: Arc<AtomicU64>,
) {
    while let Ok((client, client_address)) = listener.accept().await {
        if impairments.borrow().close_connections {
            continue;
        }
        let (impairments, targets) = (impairments.clone(), targets.clone());
        let relayed_bytes = Arc::clone(&relayed_bytes);
        let mut closing = impairments.clone();
        tokio::spawn(async move {
            tokio::select! {
                // An error closes both connections, as a network failure does.
                _ = relay(client, client_address.ip(), impairments, targets, &relayed_bytes) => {}
                // Fails only if the relay was dropped.
                _ = closing.wait_for(|impairment| impairment.close_connections) => {}
            }
        });
    }
}

async fn relay(
    client: TcpStream,
    client_ip: IpAddr,
    mut impairments: watch::Receiver<Impairment>,
    mut targets: watch::Receiver<Option<SocketAddr>>,
    relayed_bytes: &AtomicU64,
) -> anyhow::Result<()> {
    impairments
        .wait_for(|impairment| !impairment.is_cut(client_ip, Direction::Request))
        .await?;
    let target = targets
        .wait_for(Option::is_some)
        .await?
        .context("relay has no target")?;
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let control = Control {
        impairments,
        client_ip,
        relayed_bytes,
    };
    let requests = copy(
        client_read,
        server_write,
        control.clone(),
        Direction::Request,
    );
    let answers = copy(server_read, client_write, control, Direction::Answer);
    tokio::try_join!(requests, answers)?;
    Ok(())
}

/// State shared by the two directions of a relayed connection.
#[derive(Clone)]
struct Control<'a> {
    impairments: watch::Receiver<Impairment>,
    client_ip: IpAddr,
    relayed_bytes: &'a AtomicU64,
}

async fn copy(
    mut reader: tokio::net::tcp::OwnedReadHalf,
    mut writer: tokio::net::tcp::OwnedWriteHalf,
    mut control: Control<'_>,
    direction: Direction,
) -> anyhow::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buffer).await?;
        let client_ip = control.client_ip;
        let not_cut = control
            .impairments
            .wait_for(|impairment| !impairment.is_cut(client_ip, direction));
        let delay = not_cut.await?.delay;
        tokio::time::sleep(delay).await;
        if count == 0 {
            return Ok(writer.shutdown().await?);
        }
        writer.write_all(&buffer[..count]).await?;
        control
            .relayed_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
    }
}
