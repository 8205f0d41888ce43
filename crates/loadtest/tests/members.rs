//! Membership's slopes: each is there for each size and round, and they are the same whenever they are measured.

use std::path::PathBuf;

use dunemount_loadtest::capacity::measure::{members, Setup};
use dunemount_loadtest::capacity::slopes::{Point, KINDS};

fn measured(rounds: u32, largest: usize) -> Vec<Point> {
    members::measure(&Setup { rounds, largest, gateway: PathBuf::new(), disk: PathBuf::new() })
        .expect("measured")
}

/// What depends on members and seeds alone, not on the machine.
fn counted(points: &[Point]) -> Vec<&Point> {
    points.iter().filter(|point| !["member_kib", "member_cpu_us_s"].contains(&point.slope.as_str())).collect()
}

/// Guards the slopes: the net whose memory is measured goes on as the first round, so that its start is played once; no
/// round is lost by it, none is counted twice, and it gives what it gives without others beside it.
#[test]
fn each_slope_has_its_sizes_and_rounds_and_no_run_disturbs_another() {
    let (one, two) = (measured(1, 45), measured(2, 90));
    for kind in KINDS.iter().filter(|kind| kind.by == "members") {
        let sizes: Vec<f64> = two.iter().filter(|p| p.slope == kind.name).map(|p| p.size).collect();
        assert_eq!(sizes, [45.0, 90.0], "{}", kind.name);
    }
    for point in &two {
        // Memory is measured before there are rounds.
        assert_eq!(point.rounds, if point.slope == "member_kib" { 1 } else { 2 }, "{}", point.slope);
    }
    assert!(!counted(&one).is_empty());
    for point in counted(&one) {
        let both = two.iter().find(|other| (&other.slope, other.size) == (&point.slope, point.size));
        let both = both.expect("measured again");
        assert!([both.least, both.most].contains(&point.median), "{point:?} is no round of {both:?}");
    }
    assert_eq!(counted(&two), counted(&measured(2, 90)));
}
