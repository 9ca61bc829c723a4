//! Typed values of the peer protocol and their conversions to and from capnp.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use capnp::{
    Error,
    struct_list, //
};

use crate::peer_capnp::{
    belief,
    digest,
    leaving,
    member,
    reply, //
};

/// Maximum number of members in one digest.
const MAX_MEMBERS: u32 = 4096;
/// Maximum number of beliefs in one answer.
pub const MAX_BELIEFS: u32 = 65_536;

/// State of one instance, as another instance last learned it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name from the instance's settings.
    pub name: String,
    /// Chosen anew at each start of the instance.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: String,
    /// Address of the caller plane.
    pub caller: SocketAddr,
    /// Address of the operator plane.
    pub operator: SocketAddr,
    /// Address of the peer plane.
    pub peer: SocketAddr,
    /// Whether the member is shutting down and accepts no new callers.
    pub leaving: bool,
    /// Settings revision in force at the member.
    pub revision: u64,
    /// Time since the member was last known to be alive.
    pub age: Duration,
}

/// State of the sending instance and of the members that it knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Digest {
    /// Settings revision in force at the sender.
    pub revision: u64,
    /// Time since the sender's settings were last known to be current.
    pub settings_age: Duration,
    /// Members, the sender among them.
    pub members: Vec<Member>,
    /// BLAKE3 digests of keys withdrawn in an emergency.
    pub withdrawn: Vec<[u8; 32]>,
    /// Endpoints reported to be leaving.
    pub leaving_endpoints: Vec<LeavingEndpoint>,
    /// Name of the sender.
    pub name: String,
    /// Whether the sender's settings have been current since it started.
    pub settled: bool,
}

/// An endpoint reported to be leaving.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Time since the endpoint was last reported to be leaving.
    pub age: Duration,
}

/// An estimate that an endpoint has one prefix level in its cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Belief {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation of the endpoint.
    pub incarnation: String,
    /// Hash of the prefix level.
    pub level: u64,
    /// Time since the level was last seen at the endpoint.
    pub age: Duration,
}

/// Answer to an `exchange` call, also the argument of a `push` call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// Digest of the sender.
    pub digest: Digest,
    /// The settings tree as JSON if the sender's revision is higher than the recipient's;
    /// otherwise empty.
    pub tree: Vec<u8>,
    /// The changes since the recipient's revision as JSON, in place of the tree; otherwise empty.
    pub delta: Vec<u8>,
}

impl Reply {
    /// Reads a reply from a message.
    ///
    /// # Errors
    ///
    /// Those of [`Digest::read`], or if the reply is malformed.
    pub fn read(reader: reply::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            digest: Digest::read(reader.get_digest()?)?,
            tree: reader.get_tree()?.to_vec(),
            delta: reader.get_delta()?.to_vec(),
        })
    }

    /// Writes the reply into a message.
    pub fn write(&self, mut builder: reply::Builder<'_>) {
        self.digest.write(builder.reborrow().init_digest());
        builder.set_tree(&self.tree);
        builder.set_delta(&self.delta);
    }
}

impl Belief {
    /// Reads a list of beliefs from a message.
    ///
    /// # Errors
    ///
    /// If a text is not UTF-8 or the list is longer than [`MAX_BELIEFS`].
    pub fn read_list(list: struct_list::Reader<'_, belief::Owned>) -> Result<Vec<Self>, Error> {
        if list.len() > MAX_BELIEFS {
            let reason = format!("{} beliefs, at most {MAX_BELIEFS}", list.len());
            return Err(Error::failed(reason));
        }
        list.iter().map(Self::read).collect()
    }

    fn read(reader: belief::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            endpoint: reader.get_endpoint()?.to_string()?,
            incarnation: reader.get_incarnation()?.to_string()?,
            level: reader.get_level(),
            age: Duration::from_millis(reader.get_age_ms()),
        })
    }

    /// Writes the belief into a message.
    pub fn write(&self, mut builder: belief::Builder<'_>) {
        builder.set_endpoint(&self.endpoint);
        builder.set_incarnation(&self.incarnation);
        builder.set_level(self.level);
        builder.set_age_ms(millis(self.age));
    }
}

impl Member {
    /// Reads a member from a message.
    ///
    /// # Errors
    ///
    /// If a text is not UTF-8 or an address does not parse.
    pub fn read(reader: member::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            name: reader.get_name()?.to_string()?,
            incarnation: reader.get_incarnation(),
            domain: reader.get_domain()?.to_string()?,
            caller: parse_address(reader.get_caller()?.to_str()?)?,
            operator: parse_address(reader.get_operator()?.to_str()?)?,
            peer: parse_address(reader.get_peer()?.to_str()?)?,
            leaving: reader.get_leaving(),
            revision: reader.get_revision(),
            age: Duration::from_millis(reader.get_age_ms()),
        })
    }

    /// Writes the member into a message.
    pub fn write(&self, mut builder: member::Builder<'_>) {
        builder.set_name(&self.name);
        builder.set_incarnation(self.incarnation);
        builder.set_domain(&self.domain);
        builder.set_caller(self.caller.to_string());
        builder.set_operator(self.operator.to_string());
        builder.set_peer(self.peer.to_string());
        builder.set_leaving(self.leaving);
        builder.set_revision(self.revision);
        builder.set_age_ms(millis(self.age));
    }
}

impl Digest {
    /// Reads a digest from a message.
    ///
    /// # Errors
    ///
    /// If a member or text is invalid, the digest of a withdrawn key is not 32 bytes, or there are
    /// more than `MAX_MEMBERS` members.
    pub fn read(reader: digest::Reader<'_>) -> Result<Self, Error> {
        let list = reader.get_members()?;
        if list.len() > MAX_MEMBERS {
            let reason = format!("{} members, at most {MAX_MEMBERS}", list.len());
            return Err(Error::failed(reason));
        }
        Ok(Self {
            revision: reader.get_revision(),
            settings_age: Duration::from_millis(reader.get_fresh_ms()),
            members: list.iter().map(Member::read).collect::<Result<_, _>>()?,
            withdrawn: read_withdrawn(reader)?,
            leaving_endpoints: read_leaving_endpoints(reader)?,
            name: reader.get_name()?.to_string()?,
            settled: reader.get_settled(),
        })
    }

    /// Writes the digest into a message.
    pub fn write(&self, mut builder: digest::Builder<'_>) {
        builder.set_revision(self.revision);
        builder.set_fresh_ms(millis(self.settings_age));
        let mut list = builder.reborrow().init_members(list_length(&self.members));
        for (index, member) in (0..).zip(&self.members) {
            member.write(list.reborrow().get(index));
        }
        let mut list = builder
            .reborrow()
            .init_withdrawn(list_length(&self.withdrawn));
        for (index, digest) in (0..).zip(&self.withdrawn) {
            list.set(index, digest);
        }
        builder.set_name(&self.name);
        builder.set_settled(self.settled);
        let mut list = builder.init_leaving_endpoints(list_length(&self.leaving_endpoints));
        for (index, leaving) in (0..).zip(&self.leaving_endpoints) {
            let mut entry = list.reborrow().get(index);
            entry.set_name(&leaving.name);
            entry.set_age_ms(millis(leaving.age));
        }
    }
}

fn list_length<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).expect("lists are far shorter than 2^32")
}

fn read_withdrawn(reader: digest::Reader<'_>) -> Result<Vec<[u8; 32]>, Error> {
    let digests = reader.get_withdrawn()?.iter();
    let to_array = |data: Result<&[u8], Error>| {
        <[u8; 32]>::try_from(data?)
            .map_err(|_| Error::failed("digest of a withdrawn key is not 32 bytes".to_owned()))
    };
    digests.map(to_array).collect()
}

fn read_leaving_endpoints(reader: digest::Reader<'_>) -> Result<Vec<LeavingEndpoint>, Error> {
    let read = |entry: leaving::Reader<'_>| {
        Ok(LeavingEndpoint {
            name: entry.get_name()?.to_string()?,
            age: Duration::from_millis(entry.get_age_ms()),
        })
    };
    reader.get_leaving_endpoints()?.iter().map(read).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::failed(format!("{text:?} is not an address of the form ip:port")))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
