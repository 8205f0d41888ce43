//! The capacity tables in Markdown, and the page that contains them between markers.

use std::collections::BTreeMap;

use dunemount::text_file::LineError;

use super::formulas::{Budget, ComputedValue, Formulas};
use super::size::DeploymentSize;
use super::slopes::{Slopes, SLOPE_KINDS};

/// The parsed inputs from which the tables are computed.
pub struct Inputs {
    size: DeploymentSize,
    slopes: Slopes,
    formulas: Formulas,
    budgets: Vec<(Budget, f64)>,
}

/// The texts of the four input files: pairs of the file's name for error messages and its text.
pub struct InputTexts<'a> {
    /// The size, INI.
    pub size: (&'a str, &'a str),
    /// The slopes, CSV.
    pub slopes: (&'a str, &'a str),
    /// The formulas, CSV.
    pub formulas: (&'a str, &'a str),
    /// The budgets, CSV.
    pub budgets: (&'a str, &'a str),
}

/// Number of budgets in the table of limits.
const LISTED_LIMITS: usize = 3;

impl Inputs {
    /// Parses all four files.
    ///
    /// # Errors
    /// File, line and cause of the first invalid line.
    pub fn read(texts: &InputTexts) -> Result<Inputs, String> {
        let to_error = |(name, _): (&str, &str)| {
            let name = name.to_string();
            move |error: LineError<String>| error.in_file(&name).to_string()
        };
        let size = DeploymentSize::read(texts.size.1).map_err(to_error(texts.size))?;
        let slopes = Slopes::read(texts.slopes.1).map_err(to_error(texts.slopes))?;
        let formulas = Formulas::read(texts.formulas.1, &size).map_err(to_error(texts.formulas))?;
        let budgets = formulas.read_budgets(texts.budgets.1, &size).map_err(to_error(texts.budgets))?;
        Ok(Inputs { size, slopes, formulas, budgets })
    }

    /// All tables with their names: the size, the slopes, one for each table of the formulas, the budgets, the limits.
    ///
    /// # Errors
    /// A row that cannot be evaluated, and the cause.
    pub fn tables(&self) -> Result<Vec<(String, String)>, String> {
        let computed = self.formulas.evaluate(&self.size, &self.slopes)?;
        let mut tables =
            vec![("size".to_string(), self.size_table()), ("slopes".to_string(), self.slopes_table())];
        for row in &self.formulas.rows {
            if !tables.iter().any(|(name, _)| *name == row.table) {
                tables.push((row.table.clone(), self.role_table(&row.table, &computed)));
            }
        }
        let (budgets, limits) = self.budget_tables(&computed)?;
        tables.extend([("budgets".to_string(), budgets), ("limits".to_string(), limits)]);
        Ok(tables)
    }

    fn size_table(&self) -> String {
        let rows = self.size.iter().map(|(name, value)| format!("| `{name}` | {} |\n", format_number(value)));
        format!("| input | value |\n| --- | --- |\n{}", rows.collect::<String>())
    }

    fn slopes_table(&self) -> String {
        let mut text = "| slope | sizes | least, median, most at the largest | base + each | leaves over | bend | measured by |\n\
                        | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
        for kind in SLOPE_KINDS {
            let points = self.slopes.points(kind.name);
            let by = format!("`loadtest slope {}`", kind.measured_by);
            let (Some(last), Some(fit)) = (points.last(), self.slopes.fit(kind.name)) else {
                text += &format!(
                    "| `{}`, {} against {} | | not measured | | | | {by} |\n",
                    kind.name, kind.unit, kind.size_unit
                );
                continue;
            };
            let sizes: Vec<String> = points.iter().map(|point| format_number(point.size)).collect();
            let is_straight = (0.8..=1.25).contains(&fit.bend) || fit.residual < 0.03;
            let bend_note = if is_straight { "" } else { ", **no line**" };
            text += &format!(
                "| `{}`, {} against {} | {} | {}, {}, {} of {} rounds | {} + {} | {:.1}% | {:.2}{bend_note} | {by} |\n",
                kind.name,
                kind.unit,
                kind.size_unit,
                sizes.join(" "),
                format_number(last.least),
                format_number(last.median),
                format_number(last.most),
                last.rounds,
                format_number(fit.intercept),
                format_number(fit.gradient),
                fit.residual * 100.0,
                fit.bend,
            );
        }
        text
    }

    fn role_table(&self, table: &str, computed: &BTreeMap<String, ComputedValue>) -> String {
        let mut text =
            "| what | name | formula | value | carried by |\n| --- | --- | --- | --- | --- |\n".to_string();
        for row in self.formulas.rows.iter().filter(|row| row.table == table) {
            let value = match computed.get(&row.id) {
                Some(ComputedValue { value: Some(value), extrapolation }) if *extrapolation > 1.005 => {
                    format!(
                        "{} {}, {} times beyond what was measured",
                        format_number(*value),
                        row.unit,
                        format_number(*extrapolation)
                    )
                }
                Some(ComputedValue { value: Some(value), .. }) => {
                    format!("{} {}", format_number(*value), row.unit)
                }
                _ => "not measured".to_string(),
            };
            let by = if row.by == "missing" { "**missing**" } else { &row.by };
            let formula = row.formula.replace('|', "\\|");
            text += &format!("| {} | `{}` | `{formula}` | {} | {by} |\n", row.what, row.id, value.trim_end());
        }
        text
    }

    /// The table of all budgets, and the list of those whose value is the largest share of its limit.
    fn budget_tables(&self, computed: &BTreeMap<String, ComputedValue>) -> Result<(String, String), String> {
        let mut text = "| budget | set | worked out | share | reached at | what breaks first |\n\
                        | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
        let mut shares = Vec::new();
        for (budget, limit) in &self.budgets {
            let (what, unit, breaks) = (&budget.what, &budget.unit, &budget.breaks);
            let with_unit = |value: f64| format!("{} {unit}", format_number(value)).trim_end().to_string();
            let set = with_unit(*limit);
            let Some(value) = computed.get(&budget.worked).and_then(|computed| computed.value) else {
                text += &format!("| {what} | {set} | not measured (`{}`) | | | {breaks} |\n", budget.worked);
                continue;
            };
            let share = value / limit;
            let reached_at = self.formulas.size_at_limit(&self.size, &self.slopes, budget, *limit)?;
            let reached = match reached_at {
                Some(at) => format!("{} = {}", budget.grows, format_number(at)),
                None if share > 1.0 => format!("broken at any `{}`", budget.grows),
                None => format!("not within a thousand times `{}`", budget.grows),
            };
            text += &format!(
                "| {what} | {set} | {} (`{}`) | {}% | {reached} | {breaks} |\n",
                with_unit(value),
                budget.worked,
                format_number(share * 100.0),
            );
            shares.push((share, what, reached, breaks));
        }
        shares.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut limits = String::new();
        for (rank, (share, what, reached, breaks)) in shares.iter().take(LISTED_LIMITS).enumerate() {
            limits += &format!(
                "{}. {what}: {} times the budget; reached at {reached}. {breaks}\n",
                rank + 1,
                format_number(*share)
            );
        }
        Ok((text, limits))
    }
}

/// Formats a number for the page: three significant digits, or a whole number with separated thousands from 1,000 on.
pub fn format_number(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1000.0 {
        let digits = format!("{magnitude:.0}");
        let groups: Vec<&str> =
            digits.as_bytes().rchunks(3).rev().filter_map(|group| std::str::from_utf8(group).ok()).collect();
        return format!("{}{}", if value < 0.0 { "-" } else { "" }, groups.join(","));
    }
    if value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    let decimals = if magnitude >= 100.0 {
        0
    } else {
        (2 - magnitude.max(1e-6).log10().floor() as i32).clamp(0, 6) as usize
    };
    format!("{value:.decimals$}")
}

/// Returns the page with each table replaced between its markers, `<!-- table: NAME -->` and `<!-- end -->`.
///
/// # Errors
/// A marker without an end, a marker of an unknown table, or a table without a marker.
pub fn update(page: &str, tables: &[(String, String)]) -> Result<String, LineError<String>> {
    let (mut text, mut open_marker, mut replaced) = (String::new(), None, Vec::new());
    for (index, line) in page.lines().enumerate() {
        let marker = line.strip_prefix("<!-- table: ").and_then(|rest| rest.strip_suffix(" -->"));
        if let (Some(name), None) = (marker, open_marker) {
            let table = tables.iter().find(|(known, _)| known == name);
            let (_, table) = table.ok_or(LineError::new(index + 1, format!("{name}: unknown table")))?;
            replaced.push(name);
            open_marker = Some(index + 1);
            text += &format!("{line}\n{table}");
        } else if line == "<!-- end -->" && open_marker.take().is_some() || open_marker.is_none() {
            text += &format!("{line}\n");
        }
    }
    match (open_marker, tables.iter().find(|(name, _)| !replaced.contains(&name.as_str()))) {
        (Some(line), _) => Err(LineError::new(line, "table marker without its `<!-- end -->`")),
        (None, Some((name, _))) => {
            Err(LineError::new(0, format!("{name}: the page has no marker for this table")))
        }
        (None, None) => Ok(text),
    }
}
