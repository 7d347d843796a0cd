//! The bound on log lines that say the same again.

use std::time::{Duration, Instant};

use logs::Repeats;

#[test]
fn a_flood_of_subjects_is_logged_up_to_a_bound_each_minute() {
    let mut repeats = Repeats::default();
    let start = Instant::now();
    for minute in 0..3 {
        let now = start + Duration::from_mins(minute);
        let logged = (0..100_000).filter(|n| repeats.is_due(&format!("server {n}"), now)).count();
        assert_eq!(logged, 1_024, "minute {minute}");
    }
}

#[test]
fn a_subject_that_repeats_without_end_is_logged_once_a_minute() {
    let mut repeats = Repeats::default();
    let start = Instant::now();
    let logged = (0..3_000)
        .filter(|n| repeats.is_due("server i-1", start + Duration::from_millis(100 * n)))
        .count();
    assert_eq!(logged, 5, "in five minutes");
}
