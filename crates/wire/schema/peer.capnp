@0xd4c1a2f5b7e3906a;
# The peer protocol, which instances speak to each other. Regenerate crates/wire/src/peer_capnp.rs with
# `capnp compile -orust:crates/wire/src --src-prefix=crates/wire/schema crates/wire/schema/peer.capnp`.

struct Member {
  name @0 :Text;
  # Chosen anew at each start, which distinguishes a restarted instance from its earlier run.
  incarnation @1 :UInt64;
  domain @2 :Text;
  # Addresses as "ip:port".
  caller @3 :Text;
  operator @4 :Text;
  peer @5 :Text;
  leaving @6 :Bool;
  # Settings revision in force at the member.
  revision @7 :UInt64;
  # Milliseconds since the member was last known to be alive.
  ageMs @8 :UInt64;
}

struct Digest {
  # Settings revision in force at the sender.
  revision @0 :UInt64;
  # Age of the sender's settings: milliseconds since they were last known to be current.
  freshMs @1 :UInt64;
  members @2 :List(Member);
  # BLAKE3 digests of keys withdrawn in an emergency, which the table may not hold yet.
  withdrawn @3 :List(Data);
  leavingEndpoints @4 :List(Leaving);
  # Name of the sender.
  name @5 :Text;
  # Whether the sender's settings have been current since it started.
  settled @6 :Bool;
}

# An endpoint reported to be leaving.
struct Leaving {
  name @0 :Text;
  # Milliseconds since the endpoint was last reported to be leaving.
  ageMs @1 :UInt64;
}

# Answer to `exchange`, also the argument of `push`.
struct Reply {
  digest @0 :Digest;
  # The settings tree as JSON if the sender's revision is higher than the recipient's; otherwise
  # empty.
  tree @1 :Data;
  # Sent in place of the tree if the sender has it: the changes since the recipient's revision, as
  # JSON.
  delta @2 :Data;
}

# Token rights that the lender transfers to the borrower.
struct Loan {
  workspace @0 :Text;
  # Grant in the table under which the rights were minted.
  grant @1 :UInt64;
  tokens @2 :UInt64;
}

# An estimate that an endpoint has one prefix level in its cache.
struct Belief {
  endpoint @0 :Text;
  incarnation @1 :Text;
  level @2 :UInt64;
  # Milliseconds since the level was last seen at the endpoint.
  ageMs @3 :UInt64;
}

interface Peer {
  # Exchanges the digests of both instances; the reply may carry newer settings.
  exchange @0 (digest :Digest) -> (reply :Reply);
  # Requests token rights that the callee can spare. Rights in a reply that does not arrive are lost.
  lend @1 (want :Loan) -> (lent :Loan);
  # Requests the callee's most recent prefix beliefs, at most `most`, so that a starting instance has
  # some.
  beliefs @2 (most :UInt32) -> (beliefs :List(Belief));
  # Sends newer settings in the form of a reply; returns the revision then in force at the callee.
  push @3 (news :Reply) -> (revision :UInt64);
}

# Bootstrap interface: returns the peer interface only to a client that presents the shared secret.
interface Gate {
  enter @0 (secret :Data) -> (peer :Peer);
}
