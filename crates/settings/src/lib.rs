//! The operators' settings: a tree of JSON documents under paths.
//!
//! Operators write rows of a [`Tree`]. A tree is checked as a whole and becomes
//! a [`Snapshot`], from which an instance serves requests. The check is a pure
//! function, so that the daemon, the command line and the tests accept the same
//! trees.

mod check;
mod document;
mod path;
mod snapshot;
mod tree;

pub use check::{
    MAX_DEADLINE,
    MAX_ROW_BYTES,
    MAX_ROWS,
    MAX_TOKENS,
    MAX_TREE_BYTES,
    Problem,
    check,
    check_transition, //
};
pub use document::{
    Class,
    Digest,
    Document,
    Endpoint,
    EndpointKind,
    Fencing,
    Key,
    Model,
    Operator,
    Route,
    RouteKind,
    Workspace, //
};
pub use path::{
    MAX_PATH_BYTES,
    Path,
    PathError, //
};
pub use snapshot::{
    EndpointEntry,
    KeyEntry,
    Lookup,
    RouteEntry,
    Snapshot,
    WorkspaceEntry, //
};
pub use tree::{
    Row,
    Tree, //
};
