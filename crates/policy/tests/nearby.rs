//! Selection of the instances listed for a caller.

use std::collections::BTreeSet;

use policy::nearby::pick;

/// Guards against instances that no response lists: there are eighty instances in four failure
/// domains, and a response holds sixty-four.
#[test]
fn callers_outside_all_domains_see_every_instance_over_time() {
    let domains: Vec<&str> = (0..80).map(|n| ["a", "b", "c", "d"][n % 4]).collect();
    let local = pick(&domains, "b", 64, 1);
    assert_eq!(local.len(), 20);
    assert!(local.iter().all(|index| domains[*index] == "b"));
    // A caller in no known domain gets a random subset of all instances in each response.
    let mut seen = BTreeSet::new();
    for seed in 0..40 {
        let listed = pick(&domains, "elsewhere", 64, seed);
        assert_eq!(listed.len(), 64);
        seen.extend(listed);
    }
    assert_eq!(seen.len(), 80);
}

/// Guards against callers that have too few instances left to connect to when their failure domain
/// has lost most of its instances.
#[test]
fn a_caller_in_a_small_domain_gets_instances_of_all_domains() {
    let domains = ["a", "a", "a", "b", "b", "b", "b", "c"];
    assert_eq!(pick(&domains, "a", 64, 1).len(), 8);
    assert_eq!(pick(&domains, "b", 64, 1).len(), 4);
    assert!(pick(&[], "a", 64, 1).is_empty());
}
