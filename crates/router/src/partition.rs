//! Partitions of the engines' caches, which keep the prefixes of isolated workspaces apart.
//!
//! Whether a workspace is isolated may change with each configuration, but engines keep what they have
//! cached. A prefix may be used only if neither the workspace that uses it nor the one whose request
//! made it is isolated, unless they are the same. So the partition of the workspaces that share
//! prefixes depends on which ones do not: whatever the order of configurations, and whichever of them
//! an instance has in force, only requests of workspaces outside of that set add prefixes to it.

use std::{
    fmt,
    sync::Arc, //
};

use xxhash_rust::xxh3::Xxh3;

use crate::{
    node::Node,
    request::Call, //
};

/// Seed of the hashes of shared partitions.
const SHARED_SEED: u64 = 0;
/// Seed of the hashes of partitions that one workspace has for itself.
const OWN_SEED: u64 = 1;

/// Part of the engines' caches that a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Partition(u64);

impl Partition {
    /// The partition of all workspaces but the isolated ones, whose names are sorted and unique.
    pub fn shared(isolated: &[Arc<str>]) -> Self {
        Self::from_names(SHARED_SEED, isolated.iter().map(|name| &**name))
    }

    /// The partition of an isolated workspace.
    pub fn own(workspace: &str) -> Self {
        Self::from_names(OWN_SEED, [workspace].into_iter())
    }

    /// Each name is prefixed with its length, so that different lists do not collide by concatenation.
    fn from_names<'a>(seed: u64, names: impl Iterator<Item = &'a str>) -> Self {
        let mut hasher = Xxh3::with_seed(seed);
        for name in names {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        Self(hasher.digest())
    }

    /// Salt of the prefixes that engines cache in this partition for a model, a version of its weights
    /// and a build of the engines.
    pub fn salt(self, model: &str, version: u64, build: &str) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_le_bytes());
        for field in [model, build] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&version.to_le_bytes());
        hasher.digest()
    }
}

impl fmt::Display for Partition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Partition of a request that is sent to an engine now. The configuration in force decides, since it
/// may have changed after the request arrived; but a workspace that was isolated then stays so for it.
pub fn of_call<P>(node: &Node<P>, call: &Call) -> Partition {
    let workspace = call.workspace.as_ref().map(|workspace| &*workspace.name);
    let isolated = workspace.filter(|name| call.catalog.is_isolated(name));
    if let Some(name) = isolated {
        return Partition::own(name);
    }
    let in_force = node.catalog.load();
    in_force
        .as_ref()
        .unwrap_or(&call.catalog)
        .partition(workspace)
}
