//! Partition of engines into cells.

use policy::{
    cell::{
        count,
        index, //
    },
    prefix::name_hash, //
};

/// With thousands of engines, no instance may have to evaluate all of them for each request.
#[test]
fn cells_stay_small_and_even() {
    let engines = 6_700;
    let cells = count(engines);
    assert_eq!(cells, 53);
    let mut sizes = vec![0; 53];
    for engine in 0..engines {
        let cell = index(name_hash(&format!("engine-{engine}")), cells);
        sizes[usize::try_from(cell).unwrap_or_default()] += 1;
    }
    assert!(
        sizes.iter().all(|size| (70..190).contains(size)),
        "{sizes:?}"
    );
}

#[test]
fn a_small_fleet_is_one_cell() {
    assert_eq!((count(0), count(1), count(128), count(129)), (1, 1, 1, 2));
    assert_eq!(index(u64::MAX, 1), 0);
}
