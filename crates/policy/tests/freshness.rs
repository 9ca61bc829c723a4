//! Exhaustive check of the freshness rule over all sets of holders, restarts and partitions.

use std::time::Duration;

use policy::freshness::{
    Report,
    current_as_of,
    majority, //
};

const NOW: Duration = Duration::from_secs(100);

/// Set of members as a bit mask.
type Set = u32;

fn indexes(set: Set, members: usize) -> impl Iterator<Item = usize> {
    (0..members).filter(move |index| set >> index & 1 == 1)
}

/// One member: whether it counts in a majority, and whether it holds the acknowledged change.
#[derive(Clone, Copy, Debug)]
struct Member {
    settled: bool,
    holds: bool,
}

/// Lets `reader` query all of `reachable`; returns whether it then considers its view current.
fn query(fleet: &mut [Member], reader: usize, reachable: Set) -> bool {
    let mut reports = Vec::new();
    for index in indexes(reachable, fleet.len()).filter(|index| *index != reader) {
        fleet[reader].holds |= fleet[index].holds;
        reports.push(Report {
            requested_at: NOW,
            settled: fleet[index].settled,
        });
    }
    let current = current_as_of(fleet.len(), NOW, fleet[reader].settled, &reports).is_some();
    fleet[reader].settled |= current;
    current
}

/// The table is down after a change was acknowledged with `holders`. The members of `restarted`
/// restart one after another while only those of `first` reach each other; then a reader reaches
/// `second`. Returns whether no reader without the change considers its view current.
fn is_safe(members: usize, holders: Set, restarted: Set, first: Set, second: Set) -> bool {
    let mut fleet: Vec<Member> = (0..members)
        .map(|index| Member {
            settled: true,
            holds: holders >> index & 1 == 1,
        })
        .collect();
    for index in indexes(restarted, members) {
        fleet[index] = Member {
            settled: false,
            holds: false,
        };
        if first >> index & 1 == 1 {
            query(&mut fleet, index, first);
        }
    }
    indexes(second, members).all(|reader| {
        let mut fleet = fleet.clone();
        !query(&mut fleet, reader, second) || fleet[reader].holds
    })
}

#[test]
fn no_view_is_current_without_an_acknowledged_change_in_any_partition() {
    for members in 1..=5 {
        let all = 1 << members;
        for holders in (0..all).filter(|set: &Set| set.count_ones() as usize >= majority(members)) {
            // At least one holder does not restart; the loss of all holders is not covered.
            for restarted in (0..all).filter(|restarted| holders & !restarted != 0) {
                for first in 0..all {
                    for second in 0..all {
                        assert!(
                            is_safe(members, holders, restarted, first, second),
                            "{members} members, {holders:b} {restarted:b} {first:b} {second:b}"
                        );
                    }
                }
            }
        }
    }
}

#[test]
fn in_a_table_outage_a_majority_is_current_and_a_minority_is_not() {
    for members in 1..=9 {
        for reached in 1..=members {
            let report = Report {
                requested_at: NOW,
                settled: true,
            };
            let reports = vec![report; reached - 1];
            let current = current_as_of(members, NOW, true, &reports).is_some();
            assert_eq!(current, reached >= majority(members), "{reached}/{members}");
        }
        // After a simultaneous restart of all members, answers of all of them suffice.
        let report = Report {
            requested_at: NOW,
            settled: false,
        };
        let reports = vec![report; members - 1];
        assert!(current_as_of(members, NOW, false, &reports).is_some());
    }
}

#[test]
fn a_view_is_only_as_current_as_the_oldest_answer_that_it_needs() {
    let at = |seconds| Report {
        requested_at: Duration::from_secs(seconds),
        settled: true,
    };
    let reports = [at(90), at(99), at(10)];
    // A majority of five: the local view and the two latest answers.
    let time = current_as_of(5, NOW, true, &reports);
    assert_eq!(time, Some(Duration::from_secs(90)));
}
