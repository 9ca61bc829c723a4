//! Which instances a caller is told of.

use std::collections::BTreeSet;

use policy::nearby::pick;

/// Pattern: eighty instances in four failure domains, and an answer that holds sixty-four.
#[test]
fn every_instance_is_named_to_somebody() {
    let domains: Vec<&str> = (0..80).map(|n| ["a", "b", "c", "d"][n % 4]).collect();
    let near = pick(&domains, "b", 64, 1);
    assert_eq!(near.len(), 20);
    assert!(near.iter().all(|index| domains[*index] == "b"));
    // A caller from elsewhere is named all, a part in each answer.
    let mut seen = BTreeSet::new();
    for seed in 0..40 {
        let named = pick(&domains, "elsewhere", 64, seed);
        assert_eq!(named.len(), 64);
        seen.extend(named);
    }
    assert_eq!(seen.len(), 80);
}

/// Pattern: a failure domain has lost most of its instances.
#[test]
fn a_failure_domain_with_few_instances_is_not_left_to_them() {
    let domains = ["a", "a", "a", "b", "b", "b", "b", "c"];
    assert_eq!(pick(&domains, "a", 64, 1).len(), 8);
    assert_eq!(pick(&domains, "b", 64, 1).len(), 4);
    assert!(pick(&[], "a", 64, 1).is_empty());
}
