//! Measured slopes of membership: each has a value for each size and round, and repeated measurements give the same
//! values.

use std::path::PathBuf;

use dunemount_loadtest::capacity::measure::{members, Setup};
use dunemount_loadtest::capacity::slopes::{Point, SLOPE_KINDS};

fn measure(rounds: u32, largest: usize) -> Vec<Point> {
    members::measure(&Setup { rounds, largest, gateway: PathBuf::new(), disk: PathBuf::new() })
        .expect("measured")
}

/// The points that depend only on members and seeds, not on the machine.
fn deterministic(points: &[Point]) -> Vec<&Point> {
    points.iter().filter(|point| !["member_kib", "member_cpu_us_s"].contains(&point.slope.as_str())).collect()
}

/// Guards the slopes: the network whose memory is measured continues as the first round, so that its start is
/// simulated only once. No round may be lost or counted twice by that, and each must give the same values as without
/// other rounds.
#[test]
fn each_slope_has_its_sizes_and_rounds_and_no_round_affects_another() {
    let (one_round, two_rounds) = (measure(1, 45), measure(2, 90));
    for kind in SLOPE_KINDS.iter().filter(|kind| kind.measured_by == "members") {
        let sizes: Vec<f64> = two_rounds.iter().filter(|p| p.slope == kind.name).map(|p| p.size).collect();
        assert_eq!(sizes, [45.0, 90.0], "{}", kind.name);
    }
    for point in &two_rounds {
        // Memory is measured once, before the rounds start.
        assert_eq!(point.rounds, if point.slope == "member_kib" { 1 } else { 2 }, "{}", point.slope);
    }
    assert!(!deterministic(&one_round).is_empty());
    for point in deterministic(&one_round) {
        let both_rounds =
            two_rounds.iter().find(|other| (&other.slope, other.size) == (&point.slope, point.size));
        let both_rounds = both_rounds.expect("measured again");
        assert!(
            [both_rounds.least, both_rounds.most].contains(&point.median),
            "{point:?} is not among the rounds of {both_rounds:?}"
        );
    }
    assert_eq!(deterministic(&two_rounds), deterministic(&measure(2, 90)));
}
