//! Serves the peer protocol.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use capnp::Error;
use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side, //
};
use subtle::ConstantTimeEq;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::TcpListener,
    sync::Semaphore, //
};
use wire::peer_capnp::{
    gate,
    peer, //
};

use crate::node::Node;

/// Time within which a peer has to present the secret; then the connection is closed.
const AUTH_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts peers until the process ends.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(node.ingress.machine.peer_connections()));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // A peer that finds no place tries again with its next exchange.
        let Ok(place) = places.clone().try_acquire_owned() else {
            emit!(debug, event::PEER_REFUSED, reason = "too many connections");
            continue;
        };
        let network = super::network(stream, Side::Server);
        let authenticated = Rc::new(Cell::new(false));
        let gate: gate::Client = capnp_rpc::new_client(Gate {
            node: node.clone(),
            authenticated: authenticated.clone(),
        });
        let system = RpcSystem::new(Box::new(network), Some(gate.client));
        tokio::task::spawn_local(async move {
            let _place = place;
            if let Err(reason) = serve(system, &authenticated).await {
                emit!(debug, event::PEER_REFUSED, reason = %reason);
            }
        });
    }
}

/// Serves one connection; closes it if the secret is not presented within [`AUTH_TIMEOUT`].
async fn serve(system: RpcSystem<Side>, authenticated: &Cell<bool>) -> Result<(), Error> {
    let mut system = pin!(system);
    match tokio::time::timeout(AUTH_TIMEOUT, &mut system).await {
        Ok(ended) => ended,
        Err(_) if authenticated.get() => system.await,
        Err(_) => Err(Error::failed(format!("no secret within {AUTH_TIMEOUT:?}"))),
    }
}

/// Bootstrap interface: gives the peer interface to a client that presents the shared secret.
struct Gate {
    node: Arc<Node>,
    /// Whether the secret was presented on this connection.
    authenticated: Rc<Cell<bool>>,
}

impl gate::Server for Gate {
    async fn enter(
        self: Rc<Self>,
        params: gate::EnterParams,
        mut results: gate::EnterResults,
    ) -> Result<(), Error> {
        let presented = params.get()?.get_secret()?;
        let secret = self.node.config.peer_secret.as_bytes();
        if !bool::from(presented.ct_eq(secret)) {
            emit!(warn, event::PEER_REFUSED, reason = "wrong secret");
            return Err(Error::failed("wrong secret".to_owned()));
        }
        self.authenticated.set(true);
        let node = self.node.clone();
        results.get().set_peer(capnp_rpc::new_client(Peer { node }));
        Ok(())
    }
}

/// The calls that an authenticated peer may make.
struct Peer {
    node: Arc<Node>,
}

impl peer::Server for Peer {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let digest = wire::Digest::read(params.get()?.get_digest()?)?;
        super::merge_digest(&self.node, &digest);
        let settings = self.node.settings.load();
        let mut reply = super::settings_reply(&self.node, &settings, digest.revision);
        reply.digest = super::digest(&self.node);
        reply.write(results.get().init_reply());
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: peer::PushParams,
        mut results: peer::PushResults,
    ) -> Result<(), Error> {
        let reply = wire::Reply::read(params.get()?.get_news()?)?;
        let revision = super::adopt(&self.node, &reply);
        results.get().set_revision(revision);
        Ok(())
    }

    async fn lend(
        self: Rc<Self>,
        params: peer::LendParams,
        mut results: peer::LendResults,
    ) -> Result<(), Error> {
        let want = params.get()?.get_want()?;
        let workspace = want.get_workspace()?.to_str()?;
        // Removed from the bucket before the answer is sent: if the answer is lost, so are the
        // tokens.
        let tokens = self.node.rights.table.lend(workspace, want.get_tokens());
        let mut lent = results.get().init_lent();
        lent.set_workspace(workspace);
        lent.set_tokens(tokens);
        Ok(())
    }

    async fn beliefs(
        self: Rc<Self>,
        params: peer::BeliefsParams,
        mut results: peer::BeliefsResults,
    ) -> Result<(), Error> {
        let beliefs = super::warm::export(&self.node, params.get()?.get_most());
        let length = u32::try_from(beliefs.len()).unwrap_or(0);
        let mut list = results.get().init_beliefs(length);
        for (index, belief) in (0..length).zip(&beliefs) {
            belief.write(list.reborrow().get(index));
        }
        Ok(())
    }
}
