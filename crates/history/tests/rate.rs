//! The rate checker accepts histories within rate and burst, and detects those above.

use history::rate::{
    Admission,
    check, //
};

fn admission(sent_us: u64, answered_us: u64, tokens: u64) -> Admission {
    Admission {
        sent_us,
        answered_us,
        tokens,
    }
}

const SECOND: u64 = 1_000_000;

#[test]
fn histories_within_rate_and_burst_pass() {
    let burst_then_rate: Vec<Admission> = (0..50)
        .map(|n| admission(n * SECOND, n * SECOND + 5, if n == 0 { 500 } else { 100 }))
        .collect();
    assert_eq!(check(&burst_then_rate, 100, 500), Ok(()));
    // Two full bursts whose instants of admission may lie a refill apart.
    let wide = [admission(0, 9 * SECOND, 500), admission(1, 6 * SECOND, 500)];
    assert_eq!(check(&wide, 100, 500), Ok(()));
    assert_eq!(check(&[], 0, 0), Ok(()));
}

#[test]
fn twice_the_rate_is_detected() {
    let mut twice: Vec<Admission> = Vec::new();
    for n in 0..40 {
        for _instance in 0..2 {
            twice.push(admission(n * SECOND / 10, n * SECOND / 10 + 20_000, 10));
        }
    }
    // Each stream alone stays within 100 tokens per second; both together exceed it.
    assert_eq!(check(&twice[..0], 100, 20), Ok(()));
    let excess = check(&twice, 100, 20).unwrap_err();
    assert_eq!(excess.admitted, 800);
    assert!(excess.allowed < 420, "{excess}");
    let one: Vec<Admission> = twice.iter().copied().step_by(2).collect();
    assert_eq!(check(&one, 100, 20), Ok(()));
}

#[test]
fn a_burst_spent_twice_is_detected_amid_allowed_traffic() {
    let mut history: Vec<Admission> = (0..60)
        .map(|n| admission(n * SECOND, n * SECOND + 1000, 50))
        .collect();
    assert_eq!(check(&history, 100, 500), Ok(()));
    history.push(admission(30 * SECOND, 30 * SECOND + 1000, 450));
    assert_eq!(check(&history, 100, 500), Ok(()));
    history.push(admission(30 * SECOND + 10, 30 * SECOND + 1010, 450));
    let excess = check(&history, 100, 500).unwrap_err();
    assert_eq!((excess.from_us, excess.admitted), (30 * SECOND, 950));
}
