//! Slopes as they were measured: at each size the least, the median and the most of several rounds, and the straight line
//! through the medians with what it leaves over.

use std::collections::BTreeMap;

use dunemount::text_file::LineError;
use serde::{Deserialize, Serialize};

/// What may be measured: its name in formulas, its unit, what its size counts, and the measurement that gives it.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// The unit of its figures.
    pub unit: &'static str,
    /// What its size counts.
    pub of: &'static str,
    /// The measurement that gives it: `loadtest slope` takes this name.
    pub by: &'static str,
}

const fn kind(name: &'static str, unit: &'static str, of: &'static str, by: &'static str) -> Kind {
    Kind { name, unit, of, by }
}

/// All slopes that formulas may name. One that has not been measured leaves what needs it "not measured".
pub const KINDS: &[Kind] = &[
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

/// One size of a slope: a line of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The slope.
    pub slope: String,
    /// The size.
    pub size: f64,
    /// The least of the rounds.
    pub least: f64,
    /// Their median.
    pub median: f64,
    /// The most of them.
    pub most: f64,
    /// Number of rounds.
    pub rounds: u32,
}

impl Point {
    /// The point of some rounds; none without any.
    pub fn of(slope: &str, size: f64, mut rounds: Vec<f64>) -> Option<Point> {
        rounds.sort_unstable_by(f64::total_cmp);
        let (least, most) = (*rounds.first()?, *rounds.last()?);
        let (below, above) = (rounds[(rounds.len() - 1) / 2], rounds[rounds.len() / 2]);
        let median = (below + above) / 2.0;
        Some(Point { slope: slope.to_string(), size, least, median, most, rounds: rounds.len() as u32 })
    }
}

/// A straight line through a slope's medians.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// At size zero.
    pub base: f64,
    /// For each one more.
    pub per: f64,
    /// What the line leaves over at most, as a part of the largest median.
    pub residual: f64,
    /// Steepness above the middle size against that below it: far from one, the line is none.
    pub bend: f64,
}

/// All slopes by name, their points by size.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Slopes(BTreeMap<String, Vec<Point>>);

impl Slopes {
    /// Reads a file's text.
    ///
    /// # Errors
    /// The first line that does not hold a point, names no slope, or whose figures are out of order.
    pub fn read(text: &str) -> Result<Slopes, LineError<String>> {
        let mut slopes = Slopes::default();
        let mut reader = csv::Reader::from_reader(text.as_bytes());
        let mut row = csv::StringRecord::new();
        let fault = |e: csv::Error| {
            let line = e.position().map_or(0, |at| at.line() as usize);
            LineError::new(line, e.to_string())
        };
        let head = reader.headers().map_err(fault)?.clone();
        while reader.read_record(&mut row).map_err(fault)? {
            let line = row.position().map_or(0, |at| at.line() as usize);
            let point: Point = row.deserialize(Some(&head)).map_err(fault)?;
            if !KINDS.iter().any(|kind| kind.name == point.slope) {
                return Err(LineError::new(line, format!("{:?}: no such slope", point.slope)));
            }
            let figures = [0.0, point.least, point.median, point.most];
            if !figures.is_sorted() || !point.most.is_finite() || !point.size.is_finite() || point.size < 0.0
            {
                return Err(LineError::new(line, format!("{}: figures out of order", point.slope)));
            }
            let points = slopes.0.entry(point.slope.clone()).or_default();
            if points.last().is_some_and(|before| before.size >= point.size) {
                return Err(LineError::new(line, format!("{}: sizes do not rise", point.slope)));
            }
            points.push(point);
        }
        Ok(slopes)
    }

    /// The file's text.
    ///
    /// # Errors
    /// What the writer says.
    pub fn write(&self) -> Result<String, String> {
        let mut writer = csv::Writer::from_writer(Vec::new());
        for kind in KINDS {
            for point in self.points(kind.name) {
                writer.serialize(point).map_err(|e| e.to_string())?;
            }
        }
        let bytes = writer.into_inner().map_err(|e| e.to_string())?;
        String::from_utf8(bytes).map_err(|e| e.to_string())
    }

    /// Puts points in the place of those of the same slopes.
    pub fn renew(&mut self, points: Vec<Point>) {
        for point in &points {
            self.0.remove(&point.slope);
        }
        for point in points {
            let known = self.0.entry(point.slope.clone()).or_default();
            known.push(point);
            known.sort_unstable_by(|a, b| a.size.total_cmp(&b.size));
        }
    }

    /// The points of a slope, by size.
    pub fn points(&self, slope: &str) -> &[Point] {
        self.0.get(slope).map_or(&[], Vec::as_slice)
    }

    /// The line through a slope's medians; none with fewer than two sizes.
    pub fn fit(&self, slope: &str) -> Option<Fit> {
        let points = self.points(slope);
        let (base, per) = line(points)?;
        let most = points.iter().map(|point| point.median).fold(f64::MIN_POSITIVE, f64::max);
        let off = |point: &Point| (point.median - base - per * point.size).abs() / most;
        let middle = points.len() / 2;
        let (below, above) = (line(&points[..=middle]), line(&points[middle..]));
        let bend = below.zip(above).map_or(1.0, |((_, below), (_, above))| above / below);
        Some(Fit { base, per, residual: points.iter().map(off).fold(0.0, f64::max), bend })
    }

    /// A slope at a size: between two that were measured on the line from one median to the other; beyond the
    /// largest, or below the least, on the line through all.
    pub fn at(&self, slope: &str, size: f64) -> Option<f64> {
        let points = self.points(slope);
        let between = points.windows(2).find(|pair| (pair[0].size..=pair[1].size).contains(&size));
        match between.map(line) {
            Some(Some((base, per))) => Some(base + per * size),
            _ => self.fit(slope).map(|fit| (fit.base + fit.per * size).max(0.0)),
        }
    }

    /// The largest size that a slope was measured at.
    pub fn largest(&self, slope: &str) -> Option<f64> {
        self.points(slope).last().map(|point| point.size)
    }
}

/// Base and steepness of the line of least squares through the medians.
fn line(points: &[Point]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (size, median) = (mean(|p| p.size), mean(|p| p.median));
    let spread: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
    let both: f64 = points.iter().map(|p| (p.size - size) * (p.median - median)).sum();
    let per = both / spread;
    per.is_finite().then_some((median - per * size, per))
}
