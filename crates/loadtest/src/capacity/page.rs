//! The tables in Markdown, and the page that holds them between marks.

use std::collections::BTreeMap;

use dunemount::text_file::LineError;

use super::formulas::{Budget, Formulas, Worked};
use super::size::Size;
use super::slopes::{Slopes, KINDS};

/// What the tables are made from.
pub struct Inputs {
    size: Size,
    slopes: Slopes,
    formulas: Formulas,
    budgets: Vec<(Budget, f64)>,
}

/// The texts of the four files, each with the name that faults are told under.
pub struct Texts<'a> {
    /// The size, INI.
    pub size: (&'a str, &'a str),
    /// The slopes, CSV.
    pub slopes: (&'a str, &'a str),
    /// The formulas, CSV.
    pub formulas: (&'a str, &'a str),
    /// The budgets, CSV.
    pub budgets: (&'a str, &'a str),
}

/// Number of limits that are named.
const FIRST_LIMITS: usize = 3;

impl Inputs {
    /// Reads all four.
    ///
    /// # Errors
    /// File, line and cause of the first fault.
    pub fn read(texts: &Texts) -> Result<Inputs, String> {
        let of = |(name, _): (&str, &str)| {
            let name = name.to_string();
            move |fault: LineError<String>| fault.in_file(&name).to_string()
        };
        let size = Size::read(texts.size.1).map_err(of(texts.size))?;
        let slopes = Slopes::read(texts.slopes.1).map_err(of(texts.slopes))?;
        let formulas = Formulas::read(texts.formulas.1, &size).map_err(of(texts.formulas))?;
        let budgets = formulas.budgets(texts.budgets.1, &size).map_err(of(texts.budgets))?;
        Ok(Inputs { size, slopes, formulas, budgets })
    }

    /// All tables by name, in the order of the page.
    ///
    /// # Errors
    /// A row that cannot be worked out, and why.
    pub fn tables(&self) -> Result<Vec<(String, String)>, String> {
        let worked = self.formulas.work(&self.size, &self.slopes)?;
        let mut tables =
            vec![("size".to_string(), self.size_table()), ("slopes".to_string(), self.slopes_table())];
        for row in &self.formulas.rows {
            if !tables.iter().any(|(name, _)| *name == row.table) {
                tables.push((row.table.clone(), self.role_table(&row.table, &worked)));
            }
        }
        let (budgets, limits) = self.budget_tables(&worked)?;
        tables.extend([("budgets".to_string(), budgets), ("limits".to_string(), limits)]);
        Ok(tables)
    }

    fn size_table(&self) -> String {
        let rows = self.size.iter().map(|(name, value)| format!("| `{name}` | {} |\n", number(value)));
        format!("| input | value |\n| --- | --- |\n{}", rows.collect::<String>())
    }

    fn slopes_table(&self) -> String {
        let mut text = "| slope | sizes | least, median, most at the largest | base + each | leaves over | bend | measured by |\n\
                        | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
        for kind in KINDS {
            let points = self.slopes.points(kind.name);
            let by = format!("`loadtest slope {}`", kind.by);
            let (Some(last), Some(fit)) = (points.last(), self.slopes.fit(kind.name)) else {
                text += &format!(
                    "| `{}`, {} against {} | | not measured | | | | {by} |\n",
                    kind.name, kind.unit, kind.of
                );
                continue;
            };
            let sizes: Vec<String> = points.iter().map(|point| number(point.size)).collect();
            let straight = (0.8..=1.25).contains(&fit.bend) || fit.residual < 0.03;
            let bent = if straight { "" } else { ", **no line**" };
            text += &format!(
                "| `{}`, {} against {} | {} | {}, {}, {} of {} rounds | {} + {} | {:.1}% | {:.2}{bent} | {by} |\n",
                kind.name,
                kind.unit,
                kind.of,
                sizes.join(" "),
                number(last.least),
                number(last.median),
                number(last.most),
                last.rounds,
                number(fit.base),
                number(fit.per),
                fit.residual * 100.0,
                fit.bend,
            );
        }
        text
    }

    fn role_table(&self, table: &str, worked: &BTreeMap<String, Worked>) -> String {
        let mut text =
            "| what | name | formula | value | carried by |\n| --- | --- | --- | --- | --- |\n".to_string();
        for row in self.formulas.rows.iter().filter(|row| row.table == table) {
            let value = match worked.get(&row.id) {
                Some(Worked { value: Some(value), beyond }) if *beyond > 1.005 => {
                    format!(
                        "{} {}, {} times beyond what was measured",
                        number(*value),
                        row.unit,
                        number(*beyond)
                    )
                }
                Some(Worked { value: Some(value), .. }) => format!("{} {}", number(*value), row.unit),
                _ => "not measured".to_string(),
            };
            let by = if row.by == "missing" { "**missing**" } else { &row.by };
            let formula = row.formula.replace('|', "\\|");
            text += &format!("| {} | `{}` | `{formula}` | {} | {by} |\n", row.what, row.id, value.trim_end());
        }
        text
    }

    /// The budgets, and of those that were worked out the ones with the largest share.
    fn budget_tables(&self, worked: &BTreeMap<String, Worked>) -> Result<(String, String), String> {
        let mut text = "| budget | set | worked out | share | reached at | what breaks first |\n\
                        | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
        let mut shares = Vec::new();
        for (budget, limit) in &self.budgets {
            let (what, unit, breaks) = (&budget.what, &budget.unit, &budget.breaks);
            let of = |value: f64| format!("{} {unit}", number(value)).trim_end().to_string();
            let set = of(*limit);
            let Some(value) = worked.get(&budget.worked).and_then(|worked| worked.value) else {
                text += &format!("| {what} | {set} | not measured (`{}`) | | | {breaks} |\n", budget.worked);
                continue;
            };
            let share = value / limit;
            let at = self.formulas.reaches(&self.size, &self.slopes, budget, *limit)?;
            let at = match at {
                Some(at) => format!("{} = {}", budget.grows, number(at)),
                None if share > 1.0 => format!("broken at any `{}`", budget.grows),
                None => format!("not within a thousand times `{}`", budget.grows),
            };
            text += &format!(
                "| {what} | {set} | {} (`{}`) | {}% | {at} | {breaks} |\n",
                of(value),
                budget.worked,
                number(share * 100.0),
            );
            shares.push((share, what, at, breaks));
        }
        shares.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut limits = String::new();
        for (place, (share, what, at, breaks)) in shares.iter().take(FIRST_LIMITS).enumerate() {
            limits += &format!(
                "{}. {what}: {} times the budget; reached at {at}. {breaks}\n",
                place + 1,
                number(*share)
            );
        }
        Ok((text, limits))
    }
}

/// A number for the page: three digits that count, thousands apart.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 1000.0 {
        let digits = format!("{size:.0}");
        let groups: Vec<&str> =
            digits.as_bytes().rchunks(3).rev().filter_map(|group| std::str::from_utf8(group).ok()).collect();
        return format!("{}{}", if value < 0.0 { "-" } else { "" }, groups.join(","));
    }
    if value.fract() == 0.0 {
        return format!("{value:.0}");
    }
    let places =
        if size >= 100.0 { 0 } else { (2 - size.max(1e-6).log10().floor() as i32).clamp(0, 6) as usize };
    format!("{value:.places$}")
}

/// The page with each table put between its marks, `<!-- table: NAME -->` and `<!-- end -->`.
///
/// # Errors
/// A mark without an end, one that names no table, or a table that has no mark.
pub fn renew(page: &str, tables: &[(String, String)]) -> Result<String, LineError<String>> {
    let (mut text, mut inside, mut seen) = (String::new(), None, Vec::new());
    for (at, line) in page.lines().enumerate() {
        let mark = line.strip_prefix("<!-- table: ").and_then(|rest| rest.strip_suffix(" -->"));
        if let (Some(name), None) = (mark, inside) {
            let table = tables.iter().find(|(known, _)| known == name);
            let (_, table) = table.ok_or(LineError::new(at + 1, format!("{name}: no such table")))?;
            seen.push(name);
            inside = Some(at + 1);
            text += &format!("{line}\n{table}");
        } else if line == "<!-- end -->" && inside.take().is_some() || inside.is_none() {
            text += &format!("{line}\n");
        }
    }
    match (inside, tables.iter().find(|(name, _)| !seen.contains(&name.as_str()))) {
        (Some(line), _) => Err(LineError::new(line, "a table's mark without its end")),
        (None, Some((name, _))) => Err(LineError::new(0, format!("{name}: no mark for this table"))),
        (None, None) => Ok(text),
    }
}
