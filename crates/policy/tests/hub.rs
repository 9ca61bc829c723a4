//! Which instances read the table for the others, and when that is not enough.

use std::time::Duration;

use policy::hub::{
    Candidate,
    HUBS,
    Heard,
    covers,
    pick, //
};
use quickcheck::quickcheck;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let numbered = names.iter().enumerate();
    numbered
        .map(|(index, name)| Candidate {
            name,
            domain: DOMAINS[index % DOMAINS.len()],
            is_wide: true,
        })
        .collect()
}

#[test]
fn each_domain_has_a_hub() {
    let names: Vec<String> = (0..86).map(|n| format!("front-{n}")).collect();
    let candidates = candidates(&names);
    let mut domains: Vec<&str> = pick(&candidates)
        .iter()
        .map(|&index| candidates[index].domain)
        .collect();
    domains.sort_unstable();
    assert_eq!(domains, DOMAINS);
}

/// Pattern: most links carry ten megabits a second, and a change goes to all instances at once.
#[test]
fn narrow_links_serve_only_where_no_other_is_left() {
    let names: Vec<String> = (0..86).map(|n| format!("front-{n}")).collect();
    let mut candidates = candidates(&names);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.is_wide = index % 20 == 0;
    }
    let hubs = pick(&candidates);
    assert_eq!(hubs.len(), HUBS);
    assert!(hubs.iter().all(|&index| candidates[index].is_wide));
    for candidate in &mut candidates {
        candidate.is_wide = false;
    }
    assert_eq!(pick(&candidates).len(), HUBS);
}

quickcheck! {
    /// Instances that list the same members in another order agree on the hubs.
    fn the_order_of_the_list_does_not_matter(names: Vec<String>) -> bool {
        let mut names = names;
        names.sort();
        names.dedup();
        let one = Candidate { name: "", domain: "a", is_wide: true };
        let forth: Vec<Candidate<'_>> = names.iter().map(|name| Candidate { name, ..one }).collect();
        let back: Vec<Candidate<'_>> = forth.iter().rev().copied().collect();
        let named = |list: &[Candidate<'_>]| -> Vec<String> {
            pick(list).iter().map(|&index| list[index].name.to_owned()).collect()
        };
        named(&forth) == named(&back) && pick(&forth).len() == names.len().min(HUBS)
    }
}

/// Pattern: the table turns the hubs away and serves the others, or the hubs are frozen.
#[test]
fn hubs_that_are_silent_or_stale_cover_nobody() {
    let fresh = Heard {
        ago: Duration::from_millis(300),
        view_age: Duration::from_millis(700),
    };
    let silent = Heard {
        ago: Duration::from_secs(1),
        ..fresh
    };
    let stale = Heard {
        view_age: Duration::from_secs(2),
        ..fresh
    };
    assert!(covers(&[silent, stale, fresh]));
    assert!(!covers(&[silent, stale]));
    assert!(!covers(&[]));
}
