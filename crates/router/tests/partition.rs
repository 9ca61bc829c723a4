//! Partitions of the engines' caches under configurations in any order.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use quickcheck::quickcheck;
use router::{
    catalog::{
        Catalog,
        Limits, //
    },
    partition::Partition, //
};
use xxhash_rust::xxh3::Xxh3;

/// Names that could collide if they were only concatenated.
const NAMES: [&str; 5] = ["", "a", "b", "ab", "ba"];

/// A configuration in which the workspaces of this set are isolated, one bit each.
fn catalog(version: u64, isolated: u8) -> Catalog {
    let isolated = (0..)
        .zip(NAMES)
        .filter(|(bit, _)| isolated & (1 << bit) != 0);
    // In the order of a configuration, which is any, and each twice.
    let isolated: Vec<Arc<str>> = isolated.map(|(_, name)| name.into()).collect();
    let isolated = isolated.iter().rev().chain(&isolated).cloned().collect();
    Catalog::new(
        version,
        Vec::new(),
        None,
        isolated,
        Vec::new(),
        Limits::default(),
    )
}

quickcheck! {
    /// Guards against cached prefixes that an isolated workspace shares with others, for any order of
    /// configurations and any workspaces that send requests under each of them.
    fn isolated_workspaces_share_no_partition(configurations: Vec<(u8, u8)>) -> bool {
        let mut makers: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        (1..).zip(configurations).all(|(version, (isolated, senders))| {
            let catalog = catalog(version, isolated);
            let senders = (0..).zip(NAMES).filter(|(bit, _)| senders & (1 << bit) != 0);
            let mut senders = senders.map(|(_, name)| name);
            senders.all(|user| {
                let partition = catalog.partition(Some(user)).to_string();
                let makers = makers.entry(partition).or_default();
                let is_kept = makers.iter().all(|maker| {
                    *maker == user || !catalog.is_isolated(maker) && !catalog.is_isolated(user)
                });
                makers.push(user);
                is_kept
            })
        })
    }

    fn workspaces_that_are_not_isolated_share_a_partition(isolated: u8) -> bool {
        let catalog = catalog(1, isolated);
        NAMES.iter().all(|name| {
            let shares = catalog.partition(Some(name)) == catalog.partition(None);
            shares != catalog.is_isolated(name)
        })
    }
}

#[test]
fn salts_differ_by_partition_model_version_and_build() {
    let shared = Partition::shared(&[]);
    let other = Partition::shared(&["a".into()]);
    let salts = [
        shared.salt("m", 1, "b"),
        other.salt("m", 1, "b"),
        shared.salt("n", 1, "b"),
        shared.salt("m", 2, "b"),
        shared.salt("m", 1, "c"),
        shared.salt("mb", 1, ""),
        Partition::own("a").salt("m", 1, "b"),
        Partition::own("").salt("m", 1, "b"),
    ];
    let mut unique = salts.to_vec();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique.len(), salts.len(), "{salts:?}");
}

/// Guards against a build whose salts reach prefixes that earlier builds cached for all workspaces,
/// whichever of them were isolated, while both run side by side.
#[test]
fn no_salt_is_that_of_a_build_without_partitions() {
    let earlier = |workspace: &str| {
        let mut hasher = Xxh3::new();
        for field in [workspace, "m", "b"] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&1_u64.to_le_bytes());
        hasher.digest()
    };
    let earlier = NAMES.map(earlier);
    for isolated in 0..1 << NAMES.len() {
        let catalog = catalog(1, isolated);
        for name in NAMES {
            let salt = catalog.partition(Some(name)).salt("m", 1, "b");
            assert!(!earlier.contains(&salt), "{isolated} {name}");
        }
    }
}
