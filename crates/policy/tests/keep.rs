//! Which prefixes a store is told to keep, and how long they stay.

use policy::{
    inflow::Inflow,
    keep::is_worth, //
};

/// Pattern: twenty long prompts a second, of which the store's link carries half.
#[test]
fn a_busy_link_is_left_to_prefixes_that_are_asked_for_again() {
    assert!(is_worth(6.0, 0.0, false));
    assert!(!is_worth(6.0, 0.2, false));
    assert!(is_worth(6.0, 0.2, true));
    assert!(!is_worth(6.0, 0.5, true));
    // Computing it anew costs less than the transfer.
    assert!(!is_worth(1.0, 0.0, true));
}

/// Pattern: prompts turn an engine's memory over within seconds.
#[test]
fn entries_live_for_as_long_as_the_memory_takes_to_fill() {
    let mut inflow = Inflow::default();
    for count in 0..400_u64 {
        // Fifty thousand tokens a second.
        inflow.add(count * 100, 5_000.0);
    }
    let horizon = inflow.horizon(40_000, 150_000.0);
    assert!((1_800..2_600).contains(&horizon), "{horizon}");
    // A fresh engine keeps all it is given.
    assert!(Inflow::default().horizon(0, 150_000.0) > 60_000);
    // An engine that is given nothing any more drops nothing.
    assert!(inflow.horizon(70_000, 150_000.0) > 60_000);
}
