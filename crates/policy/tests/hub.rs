//! Selection of hubs, and detection of failed or stale hubs.

use std::time::Duration;

use policy::hub::{
    Candidate,
    HUBS,
    Observation,
    Reader,
    View,
    is_any_fresh,
    max_retry_delay,
    may_fetch,
    may_hear_soon,
    pick,
    readers, //
};
use quickcheck::quickcheck;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn candidates(names: &[String]) -> Vec<Candidate<'_>> {
    let numbered = names.iter().enumerate();
    numbered
        .map(|(index, name)| Candidate {
            name,
            domain: DOMAINS[index % DOMAINS.len()],
            has_fast_link: true,
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

/// Guards against hubs that cannot forward changes in time: most links carry ten megabits a second,
/// and a hub sends each change to all instances at once.
#[test]
fn slow_links_are_selected_only_without_fast_links() {
    let names: Vec<String> = (0..86).map(|n| format!("front-{n}")).collect();
    let mut candidates = candidates(&names);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.has_fast_link = index % 20 == 0;
    }
    let hubs = pick(&candidates);
    assert_eq!(hubs.len(), HUBS);
    assert!(hubs.iter().all(|&index| candidates[index].has_fast_link));
    for candidate in &mut candidates {
        candidate.has_fast_link = false;
    }
    assert_eq!(pick(&candidates).len(), HUBS);
}

quickcheck! {
    /// Instances that list the same members in different orders agree on the hubs.
    fn hubs_do_not_depend_on_the_order_of_candidates(names: Vec<String>) -> bool {
        let mut names = names;
        names.sort();
        names.dedup();
        let one = Candidate { name: "", domain: "a", has_fast_link: true };
        let sorted: Vec<Candidate<'_>> = names.iter().map(|name| Candidate { name, ..one }).collect();
        let reversed: Vec<Candidate<'_>> = sorted.iter().rev().copied().collect();
        let hubs_of = |list: &[Candidate<'_>]| -> Vec<String> {
            pick(list).iter().map(|&index| list[index].name.to_owned()).collect()
        };
        hubs_of(&sorted) == hubs_of(&reversed) && pick(&sorted).len() == names.len().min(HUBS)
    }
}

fn indexes(readers: &[Reader]) -> Vec<usize> {
    readers.iter().map(|reader| reader.index).collect()
}

/// Readers while these candidates have a fresh view and these a stale one.
fn readers_with(candidates: &[Candidate<'_>], fresh: &[usize], stale: &[usize]) -> Vec<Reader> {
    readers(candidates, |index| match index {
        _ if stale.contains(&index) => View::Stale,
        _ if fresh.contains(&index) => View::Fresh,
        _ => View::Unknown,
    })
}

/// Guards against a fleet in which nobody passes on what changes, since the table turns all hubs away.
#[test]
fn others_read_the_table_in_place_of_hubs_that_do_not_see_it() {
    let names: Vec<String> = (0..86).map(|n| format!("front-{n}")).collect();
    let candidates = candidates(&names);
    let hubs = pick(&candidates);
    assert_eq!(indexes(&readers_with(&candidates, &[], &[])), hubs);
    assert_eq!(indexes(&readers_with(&candidates, &hubs, &[])), hubs);
    for count in 1..=HUBS {
        let (stale, fresh) = hubs.split_at(count);
        let all = readers_with(&candidates, fresh, stale);
        assert_eq!(all.len(), HUBS + count);
        // Hubs are the first to see the table again.
        assert!(hubs.iter().all(|hub| indexes(&all).contains(hub)));
        // Once the others see the table, one of them is the first of all.
        let mut fresh = indexes(&all);
        fresh.retain(|index| !stale.contains(index));
        let all = readers_with(&candidates, &fresh, stale);
        assert_eq!(all.len(), HUBS + count);
        let first = all.iter().find(|reader| !stale.contains(&reader.index));
        assert_eq!(first.map(|reader| reader.rank), Some(0));
    }
    // They stop when the hubs see the table again.
    let mut fresh = hubs.clone();
    fresh.extend((0..86).filter(|index| !hubs.contains(index)).take(HUBS));
    assert_eq!(indexes(&readers_with(&candidates, &fresh, &[])), hubs);
}

/// Guards against readers that see the table and give way to instances of which nothing is known, such as
/// those that have just restarted, while the hubs do not see it.
#[test]
fn readers_with_a_fresh_view_stay_until_others_have_one() {
    let names: Vec<String> = (0..86).map(|n| format!("front-{n}")).collect();
    let candidates = candidates(&names);
    let hubs = pick(&candidates);
    let next = indexes(&readers_with(&candidates, &[], &hubs));
    let next: Vec<usize> = next.into_iter().filter(|i| !hubs.contains(i)).collect();
    let mut stale = [&hubs[..], &next[..]].concat();
    let later = indexes(&readers_with(&candidates, &[], &stale));
    let later: Vec<usize> = later.into_iter().filter(|i| !hubs.contains(i)).collect();
    // The views of those that gave way are forgotten.
    stale.truncate(HUBS);
    let mut all = indexes(&readers_with(&candidates, &later, &stale));
    all.retain(|index| !hubs.contains(index));
    assert_eq!(all, later);
}

/// Guards against a fleet that has fewer fast links than hubs and reads the table over slow ones.
#[test]
fn slow_links_read_the_table_only_in_place_of_hubs() {
    let names: Vec<String> = (0..20).map(|n| format!("front-{n}")).collect();
    let mut candidates = candidates(&names);
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate.has_fast_link = index == 7;
    }
    assert_eq!(indexes(&readers_with(&candidates, &[], &[])), [7]);
    assert_eq!(readers_with(&candidates, &[], &[7]).len(), 2);
}

/// Load: the table turns many instances away, the first ones in order among them. Those that read it in
/// their place are as many as hubs, however many of them are turned away as well.
#[test]
fn readers_do_not_grow_with_the_instances_that_do_not_see_the_table() {
    let names: Vec<String> = (0..889).map(|n| format!("front-{n}")).collect();
    let candidates = candidates(&names);
    let mut stale = pick(&candidates);
    for _ in 0..40 {
        let readers = readers_with(&candidates, &[], &stale);
        assert_eq!(readers.len(), 2 * HUBS);
        stale.extend(indexes(&readers));
    }
    let all: Vec<usize> = (0..candidates.len()).collect();
    assert_eq!(readers_with(&candidates, &[], &all).len(), HUBS);
}

/// Guards against changes that are a second late at many instances, since each fetches them from a hub
/// that hangs and from no other one.
#[test]
fn a_fetch_that_hangs_does_not_hold_up_those_from_other_hubs() {
    let hanging = Duration::from_millis(300);
    assert!(may_fetch(&"a", &[]));
    assert!(!may_fetch(&"a", &[("a", hanging)]));
    assert!(may_fetch(&"b", &[("a", hanging)]));
    // Changes are not fetched from each hub at once.
    assert!(!may_fetch(&"b", &[("a", Duration::from_millis(100))]));
    assert!(!may_fetch(&"c", &[("a", hanging), ("b", Duration::ZERO)]));
}

/// Guards against instances that rely on hubs without a fresh view: the table refuses the hubs but
/// serves the others, or the hubs are frozen.
#[test]
fn failed_and_stale_hubs_are_not_fresh() {
    let fresh = Observation {
        age: Duration::from_millis(300),
        view_age: Duration::from_millis(700),
    };
    let failed = Observation {
        age: Duration::from_secs(1),
        ..fresh
    };
    let stale = Observation {
        view_age: Duration::from_secs(2),
        ..fresh
    };
    assert!(is_any_fresh(&[failed, stale, fresh]));
    assert!(!is_any_fresh(&[failed, stale]));
    assert!(!is_any_fresh(&[]));
}

/// Load: a whole fleet starts at once and each instance has just read the table, while endpoints
/// register one after the other. Hubs are heard within two digests of 0.3 s; until then the instances
/// must not all read each change.
#[test]
fn instances_that_start_together_leave_changes_to_hubs_that_are_not_heard_yet() {
    let until_hubs_are_heard = Duration::from_millis(600);
    assert!(may_hear_soon(Duration::ZERO));
    assert!(may_hear_soon(until_hubs_are_heard));
    // As for hubs that fall silent, a change is read well within a second.
    assert!(!may_hear_soon(Duration::from_secs(1)));
}

/// Load: the table gives no answer for seconds, and each instance calls it again and again. Those that
/// hear a hub, which tells them of its return, together call no more often in a larger fleet.
#[test]
fn calls_to_a_table_without_answers_do_not_grow_with_the_fleet() {
    let calls_per_second =
        |instances: usize| instances as f64 / max_retry_delay(true, instances).as_secs_f64();
    for instances in 8..250 {
        assert!(calls_per_second(instances) <= 126.0, "{instances}");
    }
    // An instance never waits much longer for an answer that others do not get.
    assert!(max_retry_delay(true, 889) <= Duration::from_secs(2));
    let alone = max_retry_delay(false, 889);
    assert_eq!(alone, max_retry_delay(true, 8));
}
