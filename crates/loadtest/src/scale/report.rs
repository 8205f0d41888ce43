//! Reports of a run as text, CSV files and a plot, and the verdicts on its budgets.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;

use super::control::VersionTimes;
use super::count::Counts;
use super::plan::{Budget, Measure, Plan};
use super::run::{ControlServerRow, GatewayRow, Outcome, Phase};

/// Fraction of the machine's cores at work above which measured times say more about the machine than about the
/// gateways.
pub const BUSY_THRESHOLD: f64 = 2.0 / 3.0;

/// The verdict on one budget in one phase; a row of `budgets.csv`.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The budget's key in the plan.
    pub budget: String,
    /// Name of the judged phase; `all` stands for all phases after the start (`join`).
    pub phase: String,
    /// The limit of the budget.
    pub most: f64,
    /// The value of the worst gateway or control server; `None` if nothing was measured.
    pub found: Option<f64>,
    /// `kept`, `broken` or `not measured`.
    pub verdict: &'static str,
    /// Remarks that qualify the verdict, such as a busy machine; may be empty.
    pub note: String,
}

/// Minimum, median and maximum of some figures; `None` if there are none.
pub fn min_median_max(mut figures: Vec<f64>) -> Option<(f64, f64, f64)> {
    figures.sort_by(f64::total_cmp);
    Some((*figures.first()?, figures[figures.len() / 2], *figures.last()?))
}

/// The 50th percentile, the 99th percentile and the maximum of the times, in seconds; `None` if no gateway has acted.
pub fn quantiles(acted: &[(usize, Duration)]) -> Option<(f64, f64, f64)> {
    let last = acted.iter().map(|(_, time)| *time).max()?;
    let mut histogram: Histogram<u64> = Histogram::new_with_bounds(1, 3_600_000_000, 3).ok()?;
    for (_, time) in acted {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e6;
    let last = last.as_secs_f64();
    Some((at(0.5).min(last), at(0.99).min(last), last))
}

/// The sums of a gateway's processor times and bytes (these in `sent[0]`) over several phases, and the length of the
/// phases that it has a row in, in seconds.
fn sum_phases(phases: &[&Phase], gateway: &GatewayRow) -> (Counts, f64) {
    let mut sum = Counts::default();
    let mut length = 0.0;
    for phase in phases {
        let Some(row) = phase.rows.iter().find(|row| row.gateway == gateway.gateway) else { continue };
        sum.fleet_cpu += row.counts.fleet_cpu;
        sum.list_cpu += row.counts.list_cpu;
        sum.control_cpu += row.counts.control_cpu;
        sum.sent[0].bytes += row.counts.bytes();
        length += phase.length.as_secs_f64();
    }
    (sum, length)
}

/// The fraction of a core that a control server's process used over the phases that it has a row in.
fn control_server_cores(phases: &[&Phase], server: usize) -> f64 {
    let (mut cpu, mut length) = (Duration::ZERO, Duration::ZERO);
    for phase in phases {
        let Some(row) = phase.control_servers.iter().find(|row| row.server == server) else { continue };
        cpu += row.cpu;
        length += phase.length;
    }
    cpu.as_secs_f64() / length.as_secs_f64().max(1e-9)
}

/// Checks the measurements against all budgets of the plan.
pub fn verdicts(plan: &Plan, outcome: &Outcome) -> Vec<Verdict> {
    plan.budgets.iter().flat_map(|budget| judge_budget(budget, outcome)).collect()
}

/// The verdicts on one budget: for times, one per phase of the event; otherwise one for the phase without events and
/// one for all phases after the start.
fn judge_budget(budget: &Budget, outcome: &Outcome) -> Vec<Verdict> {
    let measured: Vec<&Phase> = outcome.phases.iter().filter(|phase| phase.name != "join").collect();
    if budget.measure == Measure::SecondsToLast {
        let event_phases: Vec<&Phase> =
            outcome.phases.iter().filter(|phase| phase.name == budget.subject).collect();
        let judged = event_phases.iter().map(|phase| {
            let (expected, acted) =
                phase.acted.as_ref().map_or((0, &[][..]), |(expected, acted)| (*expected, acted));
            let found = quantiles(acted).map(|(_, _, last)| last);
            let is_complete = acted.len() == expected;
            let mut note = String::new();
            if !is_complete {
                let _ = write!(note, "{} of {expected} have acted", acted.len());
            }
            verdict(budget, &phase.name, found, is_complete, note, phase.busy)
        });
        let judged: Vec<Verdict> = judged.collect();
        return if judged.is_empty() {
            vec![verdict(budget, "-", None, false, String::new(), 0.0)]
        } else {
            judged
        };
    }
    let quiet: Vec<&Phase> = measured.iter().copied().filter(|phase| phase.name == "quiet").collect();
    let mut judged = vec![("quiet", quiet.clone())];
    if measured.len() > quiet.len() {
        judged.push(("all", measured));
    }
    let judged = judged.into_iter().map(|(name, phases)| {
        let length: f64 = phases.iter().map(|phase| phase.length.as_secs_f64()).sum();
        let busy: f64 = phases.iter().map(|phase| phase.busy * phase.length.as_secs_f64()).sum::<f64>()
            / length.max(1e-9);
        if budget.subject == "control" {
            let figure = |row: &ControlServerRow| match budget.measure {
                Measure::Memory => row.memory as f64 * 1024.0 / 1e6,
                _ => control_server_cores(&phases, row.server),
            };
            let rows = phases.iter().flat_map(|phase| &phase.control_servers);
            let found = min_median_max(rows.map(figure).collect()).map(|(_, _, most)| most);
            return verdict(budget, name, found, true, String::new(), busy);
        }
        // Bytes of processes are not counted; memory of simulated gateways is the same average for each.
        let gateways = phases.iter().flat_map(|phase| &phase.rows);
        let is_judged = |row: &&GatewayRow| {
            (budget.subject != "voter" || row.voter)
                && (budget.measure != Measure::BytesPerSecond || !row.real)
        };
        let figure = |row: &GatewayRow| {
            let (sum, length) = sum_phases(&phases, row);
            match budget.measure {
                Measure::CpuCores => sum.cpu().as_secs_f64() / length,
                Measure::Memory => row.memory as f64 * 1024.0 / 1e6,
                Measure::BytesPerSecond | Measure::SecondsToLast => sum.sent[0].bytes as f64 / length,
            }
        };
        let found = min_median_max(gateways.filter(is_judged).map(figure).collect()).map(|(_, _, most)| most);
        verdict(budget, name, found, true, String::new(), busy)
    });
    judged.collect()
}

fn verdict(
    budget: &Budget,
    phase: &str,
    found: Option<f64>,
    is_complete: bool,
    mut note: String,
    busy: f64,
) -> Verdict {
    let verdict = match found {
        None if is_complete || note.is_empty() => "not measured",
        Some(found) if is_complete && found <= budget.limit => "kept",
        _ => "broken",
    };
    if busy > BUSY_THRESHOLD && matches!(budget.measure, Measure::CpuCores | Measure::SecondsToLast) {
        let _ = write!(
            note,
            "{}machine {:.0}% busy: the time is the machine's, not the gateways'",
            if note.is_empty() { "" } else { "; " },
            busy * 100.0
        );
    }
    Verdict { budget: budget.key.clone(), phase: phase.to_string(), most: budget.limit, found, verdict, note }
}

/// The text report that is printed at the end of a run.
pub fn render_text(plan: &Plan, outcome: &Outcome) -> String {
    let mut text = format!(
        "{} hollow and {} real gateways, {} control servers, {} voters, {} hosts, {} roles, seed {}; peak memory {} MiB\n",
        plan.simulated,
        plan.real,
        plan.control_servers,
        plan.voters,
        plan.hosts,
        plan.roles,
        plan.seed,
        outcome.peak_memory_mib
    );
    text += "\nPer gateway, minimum / median / maximum. Bytes are payload, sent and received.\n";
    text += "phase          s    busy  kind    fleet % core             control % core           rest % core              messages/s            bytes/s                 MB                 max bytes in all\n";
    for phase in &outcome.phases {
        let length = phase.length.as_secs_f64();
        for (real, voter) in [(false, false), (false, true), (true, false), (true, true)] {
            let rows: Vec<&GatewayRow> =
                phase.rows.iter().filter(|row| row.real == real && row.voter == voter).collect();
            if rows.is_empty() {
                continue;
            }
            let column = |figure: &dyn Fn(&GatewayRow) -> f64, decimals: usize| {
                let found = min_median_max(rows.iter().map(|row| figure(row)).collect()).unwrap_or_default();
                format!("{:.decimals$} / {:.decimals$} / {:.decimals$}", found.0, found.1, found.2)
            };
            let kind = match (real, voter) {
                (false, false) => "hollow",
                (false, true) => "voter",
                (true, false) => "real",
                (true, true) => "real voter",
            };
            let unless_real = |text: String| if real { "not counted".to_string() } else { text };
            let _ = writeln!(
                text,
                "{:12} {:5.1}  {:4.0}%  {:10} {:22}  {:22}  {:22}  {:21}  {:22}  {:17}  {}",
                phase.name,
                length,
                phase.busy * 100.0,
                kind,
                column(&|row| row.counts.fleet_cpu.as_secs_f64() / length * 100.0, 2),
                column(&|row| row.counts.control_cpu.as_secs_f64() / length * 100.0, 2),
                column(&|row| row.counts.list_cpu.as_secs_f64() / length * 100.0, 2),
                unless_real(column(&|row| row.counts.messages() as f64 / length, 1)),
                unless_real(column(&|row| row.counts.bytes() as f64 / length, 0)),
                column(&|row| row.memory as f64 * 1024.0 / 1e6, 1),
                unless_real(rows.iter().map(|row| row.counts.bytes()).max().unwrap_or(0).to_string()),
            );
        }
    }
    text += &control_text(outcome);
    text += "\nThe machine, in each phase. Datagrams and loopback include everything that runs on it.\n";
    text += "phase          datagrams/s  loopback bytes/s  calls  lists  bytes sent  declared gone\n";
    for phase in &outcome.phases {
        let length = phase.length.as_secs_f64();
        let losses: u64 = phase.rows.iter().map(|row| row.counts.losses).sum();
        let _ = writeln!(
            text,
            "{:12}  {:11.0}  {:16.0}  {:5}  {:5}  {:10}  {losses}",
            phase.name,
            phase.traffic.0 as f64 / length,
            phase.traffic.1 as f64 / length,
            phase.discovery.0,
            phase.discovery.1,
            phase.discovery.2
        );
    }
    text += "\nTime from an event until gateways have acted, in seconds.\n";
    text += "event         acted          p50      p99     last\n";
    for phase in &outcome.phases {
        let Some((expected, acted)) = &phase.acted else { continue };
        let times = quantiles(acted)
            .map_or("-".to_string(), |(p50, p99, last)| format!("{p50:7.3}  {p99:7.3}  {last:7.3}"));
        let partial = if acted.len() < *expected { "  partial: the others did not act in time" } else { "" };
        let _ = writeln!(text, "{:12}  {:4} of {:4}  {times}{partial}", phase.name, acted.len(), expected);
    }
    text += &versions_text(outcome);
    for phase in outcome.phases.iter().filter(|phase| phase.busy > BUSY_THRESHOLD) {
        let _ = writeln!(
            text,
            "{}: the machine was {:.0}% busy: its times are the machine's, only counts and bytes are valid",
            phase.name,
            phase.busy * 100.0
        );
    }
    if !plan.budgets.is_empty() {
        text += "\nbudget               phase        limit     found  verdict\n";
    }
    for verdict in verdicts(plan, outcome) {
        let found = verdict.found.map_or("-".to_string(), |found| format!("{found:.3}"));
        let _ = writeln!(
            text,
            "{:20} {:9} {:9}  {found:>8}  {}{}{}",
            verdict.budget,
            verdict.phase,
            verdict.most,
            verdict.verdict,
            if verdict.note.is_empty() { "" } else { ": " },
            verdict.note
        );
    }
    text
}

/// The table of control servers and of the gateways' traffic with them; empty without control servers.
fn control_text(outcome: &Outcome) -> String {
    let mut text = String::new();
    for phase in outcome.phases.iter().filter(|phase| !phase.control_servers.is_empty()) {
        let length = phase.length.as_secs_f64();
        let control_servers = |figure: &dyn Fn(&ControlServerRow) -> f64, decimals: usize| {
            let found =
                min_median_max(phase.control_servers.iter().map(figure).collect()).unwrap_or_default();
            format!("{:.decimals$} / {:.decimals$} / {:.decimals$}", found.0, found.1, found.2)
        };
        let simulated = |figure: &dyn Fn(&GatewayRow) -> u64| {
            let rows = phase.rows.iter().filter(|row| !row.real);
            let found =
                min_median_max(rows.map(|row| figure(row) as f64 / length).collect()).unwrap_or_default();
            format!("{:.0} / {:.0} / {:.0}", found.0, found.1, found.2)
        };
        let _ = writeln!(
            text,
            "{:12} {:2}  {:22}  {:20}  {:15}  {:22}  {:22}  {}",
            phase.name,
            phase.control_servers.len(),
            control_servers(&|row| row.cpu.as_secs_f64() / length * 100.0, 2),
            control_servers(&|row| row.memory as f64 * 1024.0 / 1e6, 1),
            control_servers(&|row| row.gateways as f64, 0),
            simulated(&|row| row.counts.control_sent),
            simulated(&|row| row.counts.control_received),
            phase.arrivals.map_or("-".to_string(), |most| most.to_string()),
        );
    }
    if text.is_empty() {
        return text;
    }
    format!(
        "\nPer control server process, and the traffic of a hollow gateway with its own, minimum / median / maximum.\n\
         phase       servers  % core              MB                    gateways         sent bytes/s            received bytes/s        max arrivals in a second\n{text}"
    )
}

/// The table of versions; empty if none was proposed.
fn versions_text(outcome: &Outcome) -> String {
    let mut text = String::new();
    for phase in outcome.phases.iter().filter(|phase| !phase.versions.is_empty()) {
        let accepted: Vec<&VersionTimes> = phase.versions.iter().filter(|it| it.number.is_some()).collect();
        let column = |figure: &dyn Fn(&VersionTimes) -> Option<f64>| {
            let found = min_median_max(accepted.iter().filter_map(|it| figure(it)).collect());
            found.map_or("-".to_string(), |it| format!("{:.3} / {:.3} / {:.3}", it.0, it.1, it.2))
        };
        let _ = writeln!(
            text,
            "{:12}  {:4} of {:4}  {:22}  {:22}  {:22}  {}",
            phase.name,
            accepted.len(),
            phase.versions.len(),
            column(&|it| Some(it.answer_time.as_secs_f64())),
            column(&|it| Some(quantiles(&it.acted)?.1)),
            column(&|it| Some(quantiles(&it.acted)?.2)),
            column(&|it| Some((quantiles(&it.acted)?.2 - it.answer_time.as_secs_f64()).max(0.0))),
        );
    }
    if text.is_empty() {
        return text;
    }
    let mut table = format!(
        "\nVersions, minimum / median / maximum, in seconds: until the answer, and until gateways have it or a newer one.\n\
         event         accepted      answer                  99% of gateways         last, from proposal     last, from answer\n{text}\
         gateways that went back to an older version: {}\n",
        outcome.regressions
    );
    if let Some(reason) = outcome.rejections.first() {
        let _ = writeln!(table, "not accepted: {}, first reason: {reason}", outcome.rejections.len());
    }
    table
}

/// A row of `control.csv`.
#[derive(Serialize)]
struct ControlServerCsvRow<'a> {
    phase: &'a str,
    seconds: f64,
    machine_busy: f64,
    control_machine: usize,
    cpu_us: u128,
    memory_kib: u64,
    gateways: usize,
}

/// A row of `versions.csv`.
#[derive(Serialize)]
struct VersionCsvRow<'a> {
    event: &'a str,
    machine_busy: f64,
    number: Option<u64>,
    put_s: f64,
    in_force: usize,
    p50_s: Option<f64>,
    p99_s: Option<f64>,
    last_s: Option<f64>,
    last_after_answer_s: Option<f64>,
}

/// A row of `gateways.csv`.
#[derive(Serialize)]
struct GatewayCsvRow<'a> {
    phase: &'a str,
    seconds: f64,
    machine_busy: f64,
    gateway: usize,
    kind: &'a str,
    voter: bool,
    fleet_cpu_us: u128,
    control_cpu_us: u128,
    rest_cpu_us: u128,
    memory_kib: u64,
    member_sent: u64,
    member_sent_bytes: u64,
    member_received: u64,
    member_received_bytes: u64,
    call_sent: u64,
    call_sent_bytes: u64,
    call_received: u64,
    call_received_bytes: u64,
    reply_sent: u64,
    reply_sent_bytes: u64,
    reply_received: u64,
    reply_received_bytes: u64,
    order_sent: u64,
    order_sent_bytes: u64,
    order_received: u64,
    order_received_bytes: u64,
    held_back: u64,
    discovery_calls: u64,
    discovery_call_bytes: u64,
    lists: u64,
    idle_answers: u64,
    idle_bytes: u64,
    list_bytes: u64,
    control_sent_bytes: u64,
    control_received_bytes: u64,
    taken_for_gone: u64,
    mistaken: u64,
}

/// A row of `events.csv`.
#[derive(Serialize)]
struct EventCsvRow<'a> {
    event: &'a str,
    machine_busy: f64,
    waited_for: usize,
    acted: usize,
    p50_s: Option<f64>,
    p99_s: Option<f64>,
    last_s: Option<f64>,
}

/// Writes `gateways.csv`, `control.csv`, `events.csv`, `versions.csv`, `budgets.csv` and `events.svg` into a folder.
///
/// # Errors
/// A file or the folder cannot be written; the error names the folder.
pub fn write(plan: &Plan, outcome: &Outcome, out: &Path) -> Result<(), String> {
    let describe = |e: &dyn std::fmt::Display| format!("cannot write into {}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(|e| describe(&e))?;
    let gateways =
        outcome.phases.iter().flat_map(|phase| phase.rows.iter().map(move |row| gateway_csv_row(phase, row)));
    write_csv(&out.join("gateways.csv"), gateways).map_err(|e| describe(&e))?;
    let events = outcome.phases.iter().filter_map(|phase| {
        let (waited_for, acted) = phase.acted.as_ref()?;
        let times = quantiles(acted);
        Some(EventCsvRow {
            event: &phase.name,
            machine_busy: phase.busy,
            waited_for: *waited_for,
            acted: acted.len(),
            p50_s: times.map(|times| times.0),
            p99_s: times.map(|times| times.1),
            last_s: times.map(|times| times.2),
        })
    });
    write_csv(&out.join("events.csv"), events).map_err(|e| describe(&e))?;
    let control_servers = outcome.phases.iter().flat_map(|phase| {
        phase.control_servers.iter().map(|row| ControlServerCsvRow {
            phase: &phase.name,
            seconds: phase.length.as_secs_f64(),
            machine_busy: phase.busy,
            control_machine: row.server,
            cpu_us: row.cpu.as_micros(),
            memory_kib: row.memory,
            gateways: row.gateways,
        })
    });
    write_csv(&out.join("control.csv"), control_servers).map_err(|e| describe(&e))?;
    let versions = outcome.phases.iter().flat_map(|phase| {
        phase.versions.iter().map(|version| {
            let times = quantiles(&version.acted);
            VersionCsvRow {
                event: &phase.name,
                machine_busy: phase.busy,
                number: version.number,
                put_s: version.answer_time.as_secs_f64(),
                in_force: version.acted.len(),
                p50_s: times.map(|times| times.0),
                p99_s: times.map(|times| times.1),
                last_s: times.map(|times| times.2),
                last_after_answer_s: times
                    .map(|times| (times.2 - version.answer_time.as_secs_f64()).max(0.0)),
            }
        })
    });
    write_csv(&out.join("versions.csv"), versions).map_err(|e| describe(&e))?;
    write_csv(&out.join("budgets.csv"), verdicts(plan, outcome)).map_err(|e| describe(&e))?;
    draw_plot(plan, outcome, &out.join("events.svg")).map_err(|e| describe(&e))
}

fn write_csv<T: Serialize>(path: &Path, lines: impl IntoIterator<Item = T>) -> Result<(), csv::Error> {
    let mut write_csv = csv::Writer::from_path(path)?;
    for gateway_csv_row in lines {
        write_csv.serialize(gateway_csv_row)?;
    }
    Ok(write_csv.flush()?)
}

fn gateway_csv_row<'a>(phase: &'a Phase, row: &GatewayRow) -> GatewayCsvRow<'a> {
    let Counts {
        sent,
        received,
        dropped,
        calls,
        lists,
        idle,
        control_sent,
        control_received,
        fleet_cpu,
        list_cpu,
        control_cpu,
        losses,
        mistaken_losses,
    } = row.counts;
    GatewayCsvRow {
        phase: &phase.name,
        seconds: phase.length.as_secs_f64(),
        machine_busy: phase.busy,
        gateway: row.gateway,
        kind: if row.real { "real" } else { "hollow" },
        voter: row.voter,
        fleet_cpu_us: fleet_cpu.as_micros(),
        control_cpu_us: control_cpu.as_micros(),
        rest_cpu_us: list_cpu.as_micros(),
        memory_kib: row.memory,
        member_sent: sent[0].messages,
        member_sent_bytes: sent[0].bytes,
        member_received: received[0].messages,
        member_received_bytes: received[0].bytes,
        call_sent: sent[1].messages,
        call_sent_bytes: sent[1].bytes,
        call_received: received[1].messages,
        call_received_bytes: received[1].bytes,
        reply_sent: sent[2].messages,
        reply_sent_bytes: sent[2].bytes,
        reply_received: received[2].messages,
        reply_received_bytes: received[2].bytes,
        order_sent: sent[3].messages,
        order_sent_bytes: sent[3].bytes,
        order_received: received[3].messages,
        order_received_bytes: received[3].bytes,
        held_back: dropped,
        discovery_calls: calls.messages,
        discovery_call_bytes: calls.bytes,
        lists: lists.messages,
        idle_answers: idle.messages,
        idle_bytes: idle.bytes,
        list_bytes: lists.bytes,
        control_sent_bytes: control_sent,
        control_received_bytes: control_received,
        taken_for_gone: losses,
        mistaken: mistaken_losses,
    }
}

/// Plots, with one line per event, the fraction of the gateways that had acted by each time after the event.
fn draw_plot(plan: &Plan, outcome: &Outcome, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let times = outcome.phases.iter().filter_map(|phase| phase.acted.as_ref()).flat_map(|(_, acted)| acted);
    let last = times.map(|(_, time)| time.as_secs_f64());
    let last = last.fold(1.0, f64::max);
    let area = SVGBackend::new(path, (960, 540)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("{} hollow and {} real gateways, {} hosts", plan.simulated, plan.real, plan.hosts);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..last * 1.02, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds from the event")
        .y_desc("fraction of gateways that have acted")
        .draw()?;
    for (number, phase) in outcome.phases.iter().enumerate() {
        let Some((expected, acted)) = &phase.acted else { continue };
        let colour = Palette99::pick(number).to_rgba();
        let mut points = vec![(0.0, 0.0)];
        for (index, (_, time)) in acted.iter().enumerate() {
            let (time, expected) = (time.as_secs_f64(), *expected as f64);
            points.extend([(time, index as f64 / expected), (time, (index + 1) as f64 / expected)]);
        }
        let drawn = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        drawn
            .label(phase.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
