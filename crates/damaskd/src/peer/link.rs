//! One authenticated connection to a peer.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side, //
};
use tokio::{
    net::{
        TcpSocket,
        TcpStream, //
    },
    task::JoinHandle, //
};
use wire::peer_capnp::{
    gate,
    peer, //
};

use crate::node::Node;

/// A connection to a peer; closed when dropped.
pub struct Link {
    peer: peer::Client,
    running: JoinHandle<Result<(), capnp::Error>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.running.abort();
    }
}

impl Link {
    /// Connects and presents the secret.
    ///
    /// # Errors
    ///
    /// If the peer cannot be reached. A refused secret fails the first call.
    pub async fn open(node: &Node, address: SocketAddr) -> anyhow::Result<Self> {
        let stream = connect(node.config.peer.ip(), address).await?;
        let network = super::network(stream, Side::Client);
        let mut system = RpcSystem::new(Box::new(network), None);
        let gate: gate::Client = system.bootstrap(Side::Server);
        let running = tokio::task::spawn_local(system);
        let mut enter = gate.enter_request();
        enter.get().set_secret(node.config.peer_secret.as_bytes());
        // Later calls are pipelined behind this one.
        let peer = enter.send().pipeline.get_peer();
        Ok(Self { peer, running })
    }

    /// Sends `digest`; returns the peer's digest, with its settings if they are newer.
    ///
    /// # Errors
    ///
    /// If no readable answer arrives.
    pub async fn exchange(&self, digest: &wire::Digest) -> anyhow::Result<wire::Reply> {
        let mut request = self.peer.exchange_request();
        digest.write(request.get().init_digest());
        let response = request.send().promise.await?;
        Ok(wire::Reply::read(response.get()?.get_reply()?)?)
    }

    /// Sends settings; returns the revision in force at the peer afterwards.
    ///
    /// # Errors
    ///
    /// If no answer arrives; the peer may hold the settings nevertheless.
    pub async fn push(&self, reply: &wire::Reply) -> anyhow::Result<u64> {
        let mut request = self.peer.push_request();
        reply.write(request.get().init_news());
        let response = request.send().promise.await?;
        Ok(response.get()?.get_revision())
    }

    /// Requests at most `limit` of the peer's most recent prefix beliefs.
    ///
    /// # Errors
    ///
    /// If no readable answer arrives.
    pub async fn beliefs(&self, limit: u32) -> anyhow::Result<Vec<wire::Belief>> {
        let mut request = self.peer.beliefs_request();
        request.get().set_most(limit);
        let response = request.send().promise.await?;
        Ok(wire::Belief::read_list(response.get()?.get_beliefs()?)?)
    }
}

/// Connects from the local peer plane's IP address, so that peers and packet filters can identify
/// this instance.
async fn connect(local_ip: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    if local_ip.is_unspecified() || local_ip.is_ipv4() != address.is_ipv4() {
        return TcpStream::connect(address).await;
    }
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local_ip, 0))?;
    socket.connect(address).await
}
