//! The catalogue of log events.

/// One kind of log line.
///
/// # Invariants
///
/// `number` is unique and is not reused after an event is retired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number by which operators look the event up.
    pub number: u32,
    /// Name of the event's constant.
    pub name: &'static str,
    /// What happened and what to do about it.
    pub doc: &'static str,
}

macro_rules! catalogue {
    ($($(#[doc = $doc:literal])+ $id:ident = $number:literal;)+) => {
        $($(#[doc = $doc])+
        pub const $id: Event = Event {
            number: $number,
            name: stringify!($id),
            doc: concat!($($doc),+),
        };)+

        /// All events, in order of their numbers.
        pub const ALL: &[Event] = &[$($id),+];
    };
}

catalogue! {
    /// The instance has started and listens.
    STARTED = 100;
    /// A planned shutdown has begun; running requests are left to finish.
    STOPPING = 101;
    /// The instance has stopped; `in_time` if all requests had ended before, else on how many connections requests still arrived or ran.
    STOPPED = 102;
    /// Log lines before the next one were dropped by the rate limit or because the log reader was too slow.
    LINES_DROPPED = 103;
    /// A task of the process has panicked, and what it worked on has ended; report it with the location and the message.
    PANICKED = 104;
    /// A settings revision is in force.
    SETTINGS_IN_FORCE = 200;
    /// The table did not answer; settings may be stale if this lasts.
    TABLE_FAULT = 201;
    /// The table holds settings that do not pass the checks; the last good ones stay in force.
    SETTINGS_REFUSED = 202;
    /// The table holds an older revision than this instance has in force; restore it from its newest copy.
    TABLE_BEHIND = 203;
    /// A key was withdrawn in an emergency; the instance refuses it from now on.
    KEY_WITHDRAWN = 204;
    /// An emergency withdrawal could not be written to the table yet; the write is retried.
    WITHDRAWAL_UNKEPT = 205;
    /// The table answers again.
    TABLE_REGAINED = 206;
    /// The table no longer has the requested change history; all rows are read again.
    HISTORY_LOST = 207;
    /// A configuration is in force; the table may have held it for up to `age_ms`, if known. `isolated` is the number of isolated workspaces, and `partition` that of the others in the engines' caches: when it changes, their cached prefixes are cold.
    CATALOG_IN_FORCE = 208;
    /// A row written by the operator cannot be parsed; its last valid content stays in force.
    CATALOG_UNREADABLE = 209;
    /// A new weights version was named; engines must load it.
    WEIGHTS_WANTED = 210;
    /// The settings file has changed; the change takes effect after the next start.
    SETTINGS_FILE_CHANGED = 211;
    /// No hub reported a fresh view, or this instance has lacked changes that one reported for `lag_ms`; it reads the table itself until one does.
    HUBS_SILENT = 212;
    /// A hub reported a fresh view, or may do so within a second of the start; this instance leaves reading the table to it.
    HUBS_HEARD = 213;
    /// The table was restored from an older copy; rows that were acknowledged in the era before may be gone.
    TABLE_RESTORED = 214;
    /// A row of the table is not encoded as rows are; it counts as a row that cannot be parsed, or is skipped if its key or revision cannot be read.
    ROW_UNREADABLE = 215;
    /// Changes that this instance lacked were fetched from another instance.
    CHANGES_FETCHED = 216;
    /// Changes that this instance lacks could not be fetched from another instance; they are fetched from the next one that reports them, or read from the table.
    CHANGES_UNFETCHED = 217;
    /// Whether this instance reads the table for the others, as a hub or in place of one that does not see the table; `rank` is 0 for the first of them, and missing once it no longer does.
    TABLE_READER = 218;
    /// The instance list did not answer; the last known members stay in use.
    INSTANCES_FAULT = 300;
    /// A peer could not be reached or closed the connection.
    PEER_FAULT = 301;
    /// A connection on the peer plane did not present the shared secret or sent malformed data.
    PEER_REFUSED = 302;
    /// A row of an instance cannot be parsed; the instance is ignored until it writes another.
    INSTANCE_UNREADABLE = 303;
    /// A starting instance has imported the state of a peer.
    STATE_IMPORTED = 304;
    /// An instance does not answer and refuses connections; it does not count as live until it is heard again.
    INSTANCE_GONE = 305;
    /// An endpoint failed a request. If its connection ended, `segments` are those that the prompt shares, and `fingerprint` is the same for all repetitions of the request.
    ENDPOINT_FAULT = 400;
    /// A request was refused.
    REQUEST_REFUSED = 401;
    /// A caller's connection ended with an error.
    CONNECTION_FAULT = 402;
    /// A row of an endpoint cannot be parsed; the row is ignored.
    ENDPOINT_UNREADABLE = 403;
    /// A stream continues at another endpoint.
    STREAM_RESUMED = 404;
    /// A planner of model requests did not answer; this instance asks the one that ranks second for a while, and chooses endpoints alone while neither answers.
    PLANNER_SILENT = 405;
    /// A request is sent to an endpoint; the expected cache hits and misses are counted in blocks of its prompt. `partition` is the part of the engines' caches that it may use.
    REQUEST_PLACED = 406;
    /// An answer of an endpoint was relayed to its end, or until the caller disconnected.
    REQUEST_SERVED = 407;
    /// An endpoint ended all its connections and accepts no more; names the requests that it had not begun to answer, by fingerprint, and their shared segments.
    ENDPOINT_CRASHED = 408;
    /// A segment is in all prompts that crashed several endpoints; requests with it are refused, except for single trials.
    SEGMENT_QUARANTINED = 409;
    /// This instance sends one request with a quarantined segment, to see whether it still crashes endpoints.
    SEGMENT_TRIED = 410;
    /// A request with a quarantined segment was answered; the quarantine ends.
    SEGMENT_RELEASED = 411;
    /// A request crashed several endpoints; its repetitions are refused, except for three trials.
    REQUEST_QUARANTINED = 412;
    /// This instance sends a quarantined request once more, to see whether it still crashes endpoints.
    REQUEST_TRIED = 413;
    /// A quarantined request was answered; the quarantine ends.
    REQUEST_RELEASED = 414;
    /// The row of an endpoint is gone after an outage or a restore of the table; it stays in use for a moment, in which it may register again.
    ENDPOINT_KEPT = 415;
    /// The table was restored from a copy whose row of an endpoint is older than what is known of the endpoint; the row is ignored for a moment, in which the endpoint may write another.
    ENDPOINT_ROW_OLD = 416;
    /// A stream that would leave its endpoint stays, since no other endpoint can go on with it now.
    STREAM_STAYS = 417;
    /// A planned stop ended a request that still ran; `stage` says what it was doing, `quiet_ms` for how long its endpoint had sent nothing, and `sent_ms` how long after the signal it arrived, if it did so after it.
    REQUEST_CUT = 418;
    /// The outcome of a request that may run once could not be written; replays are told that it may have run.
    CLAIM_UNSETTLED = 420;
    /// An endpoint has stated in an answer that it leaves; it gets no new requests, whatever its row says.
    ENDPOINT_LEAVES = 421;
    /// An endpoint has rejected a request and asked for a time without requests of this instance.
    ENDPOINT_RESTS = 422;
    /// An endpoint states how many requests a second it takes from all instances together, or no longer does.
    ENDPOINT_LIMITED = 423;
    /// The instance that grants the requests to an endpoint with a limit does not answer; the next one is asked.
    ENDPOINT_LIMIT_SILENT = 424;
    /// The table names which builds of a service its endpoints have; those in brackets were gone a short time ago.
    BUILDS_RECORDED = 425;
    /// A caller takes a stream up; it goes on only at endpoints of the service and build that began it.
    STREAM_TAKEN_UP = 426;
    /// This instance cannot connect to an endpoint that another one reaches; its connections lead through other instances, and those to the whole service if `service_cut` is set.
    ENDPOINT_RELAYED = 427;
    /// This instance connects to an endpoint directly again.
    ENDPOINT_DIRECT = 428;
    /// Neither this instance nor another one can connect to an endpoint; requests fail there at once until one can.
    ENDPOINT_UNREACHABLE = 429;
    /// Nothing is known of the begin of a stream that a caller takes up, and several builds may have begun it; names the instances that were asked and those that answered, by number.
    STREAM_UNKNOWN = 430;
    /// The table did not take the records of streams of an instance that stops; other instances know them only as far as they were told.
    STREAMS_UNSAVED = 431;
    /// This instance has become a hub and has fetched the records of streams; names the instances that answered and the streams that were new, by number.
    STREAMS_GATHERED = 432;
    /// A connection to an endpoint leads through another instance.
    CONNECTION_RELAYED = 433;
    /// An endpoint states that it falls over if it has to reject more requests in a second than named, or no longer does.
    ENDPOINT_BRITTLE = 434;
    /// A planner of model requests that was silent answers again.
    PLANNER_RETURNED = 450;
    /// The table did not answer a request about token rights; the rights expire with their term if this lasts.
    RIGHTS_FAULT = 500;
    /// Other instances ended the rights of this instance after its term; it starts over.
    RIGHTS_LOST = 501;
    /// The rights of an instance that is gone were ended; its shares are free.
    RIGHTS_ENDED = 502;
    /// A row of token rights cannot be parsed; no instance gets rights from it until it is repaired.
    RIGHTS_UNREADABLE = 503;
    /// The owner of a workspace's limit did not answer; this instance spends an even share of it.
    LIMIT_OWNER_SILENT = 504;
    /// This instance owns a workspace's limit from now on.
    LIMIT_OWNED = 505;
    /// A connection was closed because of the bounds for callers; the reason names the bound.
    CONNECTION_CLOSED = 510;
    /// Bounds for callers, from the memory and the descriptors of the machine.
    CALLER_BOUNDS = 511;
    /// The lease for control work could not be read or renewed.
    LEASE_FAULT = 600;
    /// The copy of the settings in the object store could not be read or written.
    SNAPSHOT_FAULT = 601;
    /// An endpoint accepted an order.
    ORDER_GIVEN = 602;
    /// An endpoint refused an order, or its answer was lost.
    ORDER_REFUSED = 603;
    /// An engine serves the weights that it was ordered to load.
    WEIGHTS_LOADED = 604;
    /// An engine is withdrawn from service to load weights: how many are absent and may be, the mode, and the time left until it must have loaded.
    LOAD_STARTED = 605;
    /// An engine did not load the weights that it was ordered to load; it is tried again after the time named.
    LOAD_FAILED = 606;
    /// An engine was not ordered to load, since this instance may give no orders now.
    LOAD_WITHHELD = 607;
    /// This instance holds the lease for control work; the reason says why the previous holder's no longer counted.
    LEASE_TAKEN = 610;
    /// Another instance has taken the lease for control work that this one held.
    LEASE_LOST = 611;
    /// This instance has given up the lease for control work before the end of its term.
    LEASE_RELEASED = 612;
    /// Operators have ordered a version of a service to be put in the place of the others.
    ROLLOUT_ORDERED = 620;
    /// This instance controls a rollout and has published its stage; `told` is what operators are told by it, if anything.
    ROLLOUT_STAGE = 621;
    /// The stage of a rollout changes; names the verdict on the version, and whether all instances have reported and endpoints of the version are there for all requests.
    ROLLOUT_JUDGED = 622;
    /// The version on trial is bad; this instance sends nothing to it any more. The reason says whose observations show it.
    VERSION_BAD = 623;
    /// Nothing was heard from the instance that controls a rollout; this one sends nothing to the version on trial until it hears of it.
    ROLLOUT_SILENT = 624;
    /// A version of a service has appeared beside others; it is used once the rows of operators are as new as its endpoint's, so that an order for it would be known.
    VERSION_APPEARED = 625;
}
