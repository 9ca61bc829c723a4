//! The catalogue of events.

/// One kind of log line.
///
/// # Invariants
///
/// `number` is unique and is not reused after an event is retired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number by which operators look the event up.
    pub number: u32,
    /// Short name.
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
    /// A planned stop has begun; running requests end by themselves.
    STOPPING = 101;
    /// The instance has stopped.
    STOPPED = 102;
    /// Log lines were left out before the next one, since there were too many in a second.
    LINES_DROPPED = 103;
    /// A settings revision is in force.
    SETTINGS_IN_FORCE = 200;
    /// The table gave no answer; settings may be stale if this lasts.
    TABLE_FAULT = 201;
    /// The table holds settings that do not pass the checks; the last good ones stay in force.
    SETTINGS_REFUSED = 202;
    /// The table holds an older revision than this instance has in force; restore it from its newest copy.
    TABLE_BEHIND = 203;
    /// A key was withdrawn in an emergency; the instance refuses it from now on.
    KEY_WITHDRAWN = 204;
    /// An emergency withdrawal could not be kept in the table yet; it is tried again.
    WITHDRAWAL_UNKEPT = 205;
    /// The table answers again.
    TABLE_REGAINED = 206;
    /// The table no longer has the history that was asked for; all rows are read anew.
    HISTORY_LOST = 207;
    /// A configuration is in force.
    CATALOG_IN_FORCE = 208;
    /// A row that the operator wrote does not read; what was read before stays in force.
    CATALOG_UNREADABLE = 209;
    /// New weights were named; engines are to load them.
    WEIGHTS_WANTED = 210;
    /// The settings file has changed; the change is in force after the next start.
    SETTINGS_FILE_CHANGED = 211;
    /// No hub with a fresh view was heard; this instance reads the table itself until one is.
    HUBS_SILENT = 212;
    /// A hub with a fresh view was heard; the table is left to it.
    HUBS_HEARD = 213;
    /// The instance list gave no answer; the last known members stay.
    INSTANCES_FAULT = 300;
    /// A peer could not be reached or closed the connection.
    PEER_FAULT = 301;
    /// A connection on the peer plane did not show the secret or sent garbage.
    PEER_REFUSED = 302;
    /// A row of an instance does not read; the instance is passed over until it writes another.
    INSTANCE_UNREADABLE = 303;
    /// An instance that starts has taken over what a peer knows.
    STATE_IMPORTED = 304;
    /// An endpoint failed a request.
    ENDPOINT_FAULT = 400;
    /// A request was refused.
    REQUEST_REFUSED = 401;
    /// A caller's connection ended with an error.
    CONNECTION_FAULT = 402;
    /// A row of an endpoint does not read; it names no endpoint.
    ENDPOINT_UNREADABLE = 403;
    /// A stream goes on at another endpoint.
    STREAM_RESUMED = 404;
    /// The instance that places long requests gave no answer; this one chooses alone for a while.
    PLANNER_SILENT = 405;
    /// A request is sent to an endpoint; what was expected there is counted in blocks of its prompt.
    REQUEST_PLACED = 406;
    /// An answer of an endpoint was passed on to its end, or until its caller left.
    REQUEST_SERVED = 407;
    /// The outcome of a request that may run once could not be written; replays hear that it may have run.
    CLAIM_UNSETTLED = 420;
    /// The table gave no answer about token rights; they end with their term if this lasts.
    RIGHTS_FAULT = 500;
    /// Others ended the rights of this instance after its term; it starts anew.
    RIGHTS_LOST = 501;
    /// The rights of an instance that is gone were ended; its parts are free.
    RIGHTS_ENDED = 502;
    /// A row of token rights does not read; nobody gets rights from it until it is mended.
    RIGHTS_UNREADABLE = 503;
    /// The owner of a workspace's limit gave no answer; this instance spends an even part of it.
    LIMIT_OWNER_SILENT = 504;
    /// This instance owns a workspace's limit from now on.
    LIMIT_OWNED = 505;
    /// The lease for control work was not read or renewed.
    LEASE_FAULT = 600;
    /// The copy of the settings in the object store was not read or written.
    SNAPSHOT_FAULT = 601;
    /// An endpoint took an order.
    ORDER_GIVEN = 602;
    /// An endpoint refused an order or its answer was lost.
    ORDER_REFUSED = 603;
    /// An engine serves the weights that it was ordered to load.
    WEIGHTS_LOADED = 604;
}
