//! Measured slopes: for each size the minimum, the median and the maximum of several rounds, and the straight line
//! that is fitted through the medians, with its residual.

use std::collections::BTreeMap;

use dunemount::text_file::LineError;
use serde::{Deserialize, Serialize};

/// A quantity that can be measured as a function of a size, and the measurement that provides it.
#[derive(Clone, Copy, Debug)]
pub struct SlopeKind {
    /// Its name, which formulas call as a function of the size.
    pub name: &'static str,
    /// The unit of its values.
    pub unit: &'static str,
    /// What the size counts.
    pub size_unit: &'static str,
    /// The measurement that provides it, as an argument of `loadtest slope`.
    pub measured_by: &'static str,
}

const fn kind(
    name: &'static str,
    unit: &'static str,
    size_unit: &'static str,
    measured_by: &'static str,
) -> SlopeKind {
    SlopeKind { name, unit, size_unit, measured_by }
}

/// All slopes that formulas may use. A row that depends on a slope with fewer than two sizes is "not measured".
pub const SLOPE_KINDS: &[SlopeKind] = &[
    kind("list_bytes", "bytes", "hosts in a whole list", "lists"),
    kind("list_us", "us", "hosts in a whole list", "lists"),
    kind("list_read_us", "us", "hosts in a whole list", "lists"),
    kind("list_take_us", "us", "hosts in a whole list", "lists"),
    kind("list_members_us", "us", "hosts in a whole list", "lists"),
    kind("change_bytes", "bytes", "hosts in a change", "lists"),
    kind("change_us", "us", "hosts in a change, 1,000 known", "lists"),
    kind("survey_us_s", "us/s", "hosts known, no traffic", "lists"),
    kind("position_bytes", "bytes", "hosts in a message of positions", "lists"),
    kind("client_kib", "KiB", "idle clients", "clients"),
    kind("client_cpu_us_s", "us/s", "idle clients", "clients"),
    kind("connect_cpu_us", "us", "clients that connect at once and ask once", "clients"),
    kind("connect_last_ms", "ms", "clients that connect at once and ask once", "clients"),
    kind("statement_cpu_us_s", "us/s", "statements a second", "statements"),
    kind("reconnects_roomy_s", "1/s", "clients, descriptors for 5 times as many", "reconnects"),
    kind("reconnects_crowded_s", "1/s", "clients, descriptors for 4.2 times as many", "reconnects"),
    kind("reconnects_short_s", "1/s", "clients, descriptors for 2.5 times as many", "reconnects"),
    kind("host_kib", "KiB", "hosts known to a process", "reload"),
    kind("reload_cpu_us", "us", "hosts known to a process", "reload"),
    kind("voter_file_bytes", "bytes", "registers", "voter"),
    kind("voter_store_us", "us", "registers", "voter"),
    kind("voter_datagram_bytes", "bytes", "registers", "voter"),
    kind("member_messages_s", "1/s", "members", "members"),
    kind("member_bytes_s", "bytes/s", "members", "members"),
    kind("member_cpu_us_s", "us/s", "members", "members"),
    kind("member_kib", "KiB", "members", "members"),
    kind("death_known_s", "s", "members", "members"),
    kind("death_bytes_s", "bytes/s", "members", "members"),
    kind("zone_death_known_s", "s", "members", "members"),
    kind("zone_death_bytes_s", "bytes/s", "members", "members"),
    kind("zone_back_known_s", "s", "members", "members"),
    kind("zone_back_bytes_s", "bytes/s", "members", "members"),
    kind("rejoin_known_s", "s", "members", "members"),
    kind("rejoin_bytes_s", "bytes/s", "members", "members"),
    kind("pool_connections", "connections", "hosts before a gateway", "pools"),
    kind("pool_handshakes_s", "1/s", "hosts before a gateway", "pools"),
    kind("pool_probes_s", "1/s", "hosts before a gateway", "pools"),
    kind("pool_return_handshakes", "handshakes", "hosts before a gateway", "pools"),
    kind("subset_replica_part", "part", "replicas of a family that a gateway knows", "pools"),
    kind("subset_connections", "connections", "replicas of a family that a gateway knows", "pools"),
];

/// The results at one size of a slope: a line of the slopes file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Name of the slope.
    pub slope: String,
    /// The size at which it was measured.
    pub size: f64,
    /// Minimum of the rounds.
    pub least: f64,
    /// Median of the rounds.
    pub median: f64,
    /// Maximum of the rounds.
    pub most: f64,
    /// Number of rounds.
    pub rounds: u32,
}

impl Point {
    /// The point of the values of all rounds; `None` if there are none.
    pub fn from_rounds(slope: &str, size: f64, mut rounds: Vec<f64>) -> Option<Point> {
        rounds.sort_unstable_by(f64::total_cmp);
        let (least, most) = (*rounds.first()?, *rounds.last()?);
        let (lower, upper) = (rounds[(rounds.len() - 1) / 2], rounds[rounds.len() / 2]);
        let median = (lower + upper) / 2.0;
        Some(Point { slope: slope.to_string(), size, least, median, most, rounds: rounds.len() as u32 })
    }
}

/// A straight line fitted through a slope's medians.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size zero.
    pub intercept: f64,
    /// Increase for each unit of the size.
    pub gradient: f64,
    /// Largest deviation of a median from the line, as a fraction of the largest median.
    pub residual: f64,
    /// Ratio of the gradient above the middle size to that below it: far from one, the points are not on a line.
    pub bend: f64,
}

/// Points of all slopes by name, in ascending order of size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slopes(BTreeMap<String, Vec<Point>>);

impl Slopes {
    /// Parses the text of a slopes file.
    ///
    /// # Errors
    /// The first line that is not a point, names an unknown slope, has invalid values, or whose size does not ascend.
    pub fn read(text: &str) -> Result<Slopes, LineError<String>> {
        let mut slopes = Slopes::default();
        let mut reader = csv::Reader::from_reader(text.as_bytes());
        let mut row = csv::StringRecord::new();
        let csv_error = |e: csv::Error| {
            let line = e.position().map_or(0, |position| position.line() as usize);
            LineError::new(line, e.to_string())
        };
        let headers = reader.headers().map_err(csv_error)?.clone();
        while reader.read_record(&mut row).map_err(csv_error)? {
            let line = row.position().map_or(0, |position| position.line() as usize);
            let point: Point = row.deserialize(Some(&headers)).map_err(csv_error)?;
            if !SLOPE_KINDS.iter().any(|kind| kind.name == point.slope) {
                return Err(LineError::new(line, format!("{:?}: unknown slope", point.slope)));
            }
            let ordered = [0.0, point.least, point.median, point.most];
            if !ordered.is_sorted() || !point.most.is_finite() || !point.size.is_finite() || point.size < 0.0
            {
                return Err(LineError::new(
                    line,
                    format!(
                        "{}: least, median and most must ascend, and all numbers be finite and not negative",
                        point.slope
                    ),
                ));
            }
            let points = slopes.0.entry(point.slope.clone()).or_default();
            if points.last().is_some_and(|previous| previous.size >= point.size) {
                return Err(LineError::new(line, format!("{}: sizes must ascend", point.slope)));
            }
            points.push(point);
        }
        Ok(slopes)
    }

    /// The text of a slopes file.
    ///
    /// # Errors
    /// The CSV writer failed, or its output is not UTF-8.
    pub fn write(&self) -> Result<String, String> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        for kind in SLOPE_KINDS {
            for point in self.points(kind.name) {
                writer.serialize(point).map_err(|e| e.to_string())?;
            }
        }
        let bytes = writer.into_inner().map_err(|e| e.to_string())?;
        String::from_utf8(bytes).map_err(|e| e.to_string())
    }

    /// Replaces all points of the slopes that `points` contains.
    pub fn replace(&mut self, points: Vec<Point>) {
        for point in &points {
            self.0.remove(&point.slope);
        }
        for point in points {
            let slope_points = self.0.entry(point.slope.clone()).or_default();
            slope_points.push(point);
            slope_points.sort_unstable_by(|a, b| a.size.total_cmp(&b.size));
        }
    }

    /// The points of a slope, in ascending order of size.
    pub fn points(&self, slope: &str) -> &[Point] {
        self.0.get(slope).map_or(&[], Vec::as_slice)
    }

    /// The line through a slope's medians; `None` with fewer than two sizes.
    pub fn fit(&self, slope: &str) -> Option<Fit> {
        let points = self.points(slope);
        let (intercept, gradient) = fit_line(points)?;
        let largest_median = points.iter().map(|point| point.median).fold(f64::MIN_POSITIVE, f64::max);
        let deviation =
            |point: &Point| (point.median - intercept - gradient * point.size).abs() / largest_median;
        let middle = points.len() / 2;
        let (below, above) = (fit_line(&points[..=middle]), fit_line(&points[middle..]));
        let bend = below.zip(above).map_or(1.0, |((_, below), (_, above))| above / below);
        Some(Fit { intercept, gradient, residual: points.iter().map(deviation).fold(0.0, f64::max), bend })
    }

    /// The value of a slope at a size: interpolated linearly between two measured medians, or extrapolated with the
    /// line through all medians above the largest and below the smallest measured size.
    pub fn value_at(&self, slope: &str, size: f64) -> Option<f64> {
        let points = self.points(slope);
        let surrounding = points.windows(2).find(|pair| (pair[0].size..=pair[1].size).contains(&size));
        match surrounding.map(fit_line) {
            Some(Some((intercept, gradient))) => Some(intercept + gradient * size),
            _ => self.fit(slope).map(|fit| (fit.intercept + fit.gradient * size).max(0.0)),
        }
    }

    /// The largest size at which a slope was measured.
    pub fn largest_size(&self, slope: &str) -> Option<f64> {
        self.points(slope).last().map(|point| point.size)
    }
}

/// Intercept and gradient of the least squares line through the medians.
fn fit_line(points: &[Point]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean = |field: fn(&Point) -> f64| points.iter().map(field).sum::<f64>() / count;
    let (mean_size, mean_median) = (mean(|p| p.size), mean(|p| p.median));
    let squared_deviation_sum: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let covariance_sum: f64 = points.iter().map(|p| (p.size - mean_size) * (p.median - mean_median)).sum();
    let gradient = covariance_sum / squared_deviation_sum;
    gradient.is_finite().then_some((mean_median - gradient * mean_size, gradient))
}
