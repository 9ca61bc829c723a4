//! A relay in front of a server whose host can fall silent: the kernel drops all packets that arrive,
//! so that nothing is acknowledged, no keepalive probe is answered, and nobody can connect.

use std::{
    net::{
        Shutdown,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError,
        Weak, //
    },
};

use socket2::{
    SockFilter,
    SockRef, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch, //
};

/// Size of the buffer for each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;
/// `BPF_RET | BPF_K`: returns how many bytes of a packet are kept.
const RETURN: u16 = 0x06;

/// A host that relays to a server until it falls silent; it ends with the runtime of the test.
#[derive(Clone, Debug)]
pub struct Host {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    listener: TcpListener,
    clients: Mutex<Vec<Weak<TcpStream>>>,
    silent: watch::Sender<bool>,
}

impl Host {
    /// Starts a host in front of `target`, at a port that the system chooses.
    ///
    /// # Errors
    ///
    /// If it cannot bind a port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            listener,
            clients: Mutex::default(),
            silent: watch::Sender::new(false),
        });
        tokio::spawn(accept(shared.clone(), target));
        Ok(Self { address, shared })
    }

    /// Address of the host, for clients to use in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Falls silent on the present connections, for good; new ones work.
    ///
    /// # Errors
    ///
    /// If the kernel rejects the filter.
    pub fn silence_connections(&self) -> std::io::Result<()> {
        let clients = self.shared.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        for client in clients.drain(..).filter_map(|client| client.upgrade()) {
            filter(&SockRef::from(&*client), true)?;
        }
        Ok(())
    }

    /// Falls silent, or goes on.
    ///
    /// # Errors
    ///
    /// If the kernel rejects the filter.
    pub fn set_silent(&self, silent: bool) -> std::io::Result<()> {
        let clients = self.shared.clients.lock();
        let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
        // Bytes are held back before packets are dropped, and sent once all packets arrive.
        if silent {
            self.shared.silent.send_replace(true);
        }
        filter(&SockRef::from(&self.shared.listener), silent)?;
        clients.retain(|client| client.strong_count() > 0);
        for client in clients.iter().filter_map(Weak::upgrade) {
            filter(&SockRef::from(&*client), silent)?;
        }
        if !silent {
            self.shared.silent.send_replace(false);
        }
        Ok(())
    }
}

fn filter(socket: &SockRef<'_>, silent: bool) -> std::io::Result<()> {
    if silent {
        return socket.attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]);
    }
    match socket.detach_filter() {
        // Sockets that were accepted in the meantime have none.
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(()),
        detached => detached,
    }
}

async fn accept(shared: Arc<Shared>, target: SocketAddr) {
    while let Ok((client, _)) = shared.listener.accept().await {
        let client = Arc::new(client);
        {
            let clients = shared.clients.lock();
            let mut clients = clients.unwrap_or_else(PoisonError::into_inner);
            clients.push(Arc::downgrade(&client));
            // A failure shows as a test that sees no silence.
            filter(&SockRef::from(&*client), *shared.silent.borrow()).ok();
        }
        let silent = shared.silent.subscribe();
        tokio::spawn(async move {
            let server = TcpStream::connect(target).await?;
            client.set_nodelay(true)?;
            server.set_nodelay(true)?;
            let requests = copy(&client, &server, silent.clone());
            let answers = copy(&server, &client, silent);
            tokio::try_join!(requests, answers)
        });
    }
}

/// Copies until the end of `from` or an error, which closes both connections.
async fn copy(
    from: &TcpStream,
    to: &TcpStream,
    mut silent: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        from.readable().await?;
        let count = match from.try_read(&mut buffer) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            read => read?,
        };
        // Fails only if the host was dropped.
        silent.wait_for(|silent| !silent).await.ok();
        let mut rest = &buffer[..count];
        while !rest.is_empty() {
            to.writable().await?;
            match to.try_write(rest) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                written => rest = &rest[written?..],
            }
        }
        if count == 0 {
            return SockRef::from(to).shutdown(Shutdown::Write);
        }
    }
}
