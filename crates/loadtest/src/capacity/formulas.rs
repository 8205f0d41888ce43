//! The formulas that work a size out: lines of a CSV file, each with a name that later ones may use. Numbers of the size
//! stand by name, slopes are functions of a size.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use dunemount::text_file::LineError;
use evalexpr::{
    build_operator_tree, ContextWithMutableFunctions, ContextWithMutableVariables, EvalexprError, Function,
    HashMapContext, Node, Value,
};
use serde::de::DeserializeOwned;
use serde::Deserialize;

use super::size::Size;
use super::slopes::{Slopes, KINDS};

/// A line of a table: what it says, how it is worked out, what carries it.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// The table that it stands in.
    pub table: String,
    /// Its name in formulas.
    pub id: String,
    /// What it says.
    pub what: String,
    /// How it is worked out.
    pub formula: String,
    /// Its unit.
    pub unit: String,
    /// The mechanism that carries it, or `missing`.
    pub by: String,
}

/// A budget.
#[derive(Clone, Debug, Deserialize)]
pub struct Budget {
    /// What it bounds.
    pub what: String,
    /// The bound: a formula.
    pub limit: String,
    /// Its unit.
    pub unit: String,
    /// The row that it bounds.
    pub worked: String,
    /// The number of the size that it grows with.
    pub grows: String,
    /// What breaks first.
    pub breaks: String,
}

/// A value as it was worked out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Worked {
    /// The value; none where a slope that it needs has not been measured.
    pub value: Option<f64>,
    /// By what factor the slopes that it uses itself go beyond what was measured; one if they do not.
    pub beyond: f64,
}

/// Formulas in their order, parsed.
pub struct Formulas {
    /// The lines of the tables.
    pub rows: Vec<Row>,
    trees: Vec<Node>,
}

/// Reads the lines of a CSV file, each with its number.
fn lines<T: DeserializeOwned>(text: &str) -> Result<Vec<(usize, T)>, LineError<String>> {
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let fault =
        |e: csv::Error| LineError::new(e.position().map_or(0, |at| at.line() as usize), e.to_string());
    let head = reader.headers().map_err(fault)?.clone();
    let mut found = Vec::new();
    for row in reader.records() {
        let row = row.map_err(fault)?;
        let line = row.position().map_or(0, |at| at.line() as usize);
        found.push((line, row.deserialize(Some(&head)).map_err(fault)?));
    }
    Ok(found)
}

fn parse(line: usize, formula: &str, known: &BTreeSet<String>) -> Result<Node, LineError<String>> {
    let tree = build_operator_tree(formula)
        .map_err(|e| LineError::new(line, format!("{formula:?} is no formula: {e}")))?;
    let unknown = tree.iter_variable_identifiers().find(|name| !known.contains(*name)).map(str::to_string);
    match unknown {
        Some(name) => Err(LineError::new(line, format!("{name}: neither in the size nor worked out above"))),
        None => Ok(tree),
    }
}

impl Formulas {
    /// Reads a file's text for a size.
    ///
    /// # Errors
    /// The first line that is no formula, names what is unknown, or a name again.
    pub fn read(text: &str, size: &Size) -> Result<Formulas, LineError<String>> {
        let mut known: BTreeSet<String> = size.iter().map(|(name, _)| name.to_string()).collect();
        let (mut rows, mut trees) = (Vec::new(), Vec::new());
        for (line, row) in lines::<Row>(text)? {
            trees.push(parse(line, &row.formula, &known)?);
            if !known.insert(row.id.clone()) {
                return Err(LineError::new(line, format!("{}: stands there already", row.id)));
            }
            rows.push(row);
        }
        Ok(Formulas { rows, trees })
    }

    /// Reads budgets, with their places in the file.
    ///
    /// # Errors
    /// The first line whose limit is no formula of the size, or that names no row or number.
    pub fn budgets(&self, text: &str, size: &Size) -> Result<Vec<(Budget, f64)>, LineError<String>> {
        let known: BTreeSet<String> = size.iter().map(|(name, _)| name.to_string()).collect();
        let mut budgets = Vec::new();
        for (line, budget) in lines::<Budget>(text)? {
            let tree = parse(line, &budget.limit, &known)?;
            if !self.rows.iter().any(|row| row.id == budget.worked) {
                return Err(LineError::new(line, format!("{}: no such row", budget.worked)));
            }
            if size.get(&budget.grows).is_none() {
                return Err(LineError::new(line, format!("{}: not in the size", budget.grows)));
            }
            let limit = tree.eval_number_with_context(&numbers(size));
            budgets.push((budget, limit.map_err(|e| LineError::new(line, e.to_string()))?));
        }
        Ok(budgets)
    }

    /// Works all out, by name.
    ///
    /// # Errors
    /// The row that cannot be worked out, and why.
    pub fn work(&self, size: &Size, slopes: &Slopes) -> Result<BTreeMap<String, Worked>, String> {
        let mut context = numbers(size);
        let beyond = Arc::new(Mutex::new(1.0f64));
        for kind in KINDS {
            if slopes.fit(kind.name).is_none() {
                continue;
            }
            let (slopes, beyond) = (slopes.clone(), beyond.clone());
            let at = move |argument: &Value| {
                let size = argument.as_number()?;
                let factor = slopes.largest(kind.name).map_or(1.0, |largest| size / largest);
                if let Ok(mut beyond) = beyond.lock() {
                    *beyond = beyond.max(factor);
                }
                let value = slopes.at(kind.name, size);
                value.map(Value::Float).ok_or(EvalexprError::CustomMessage(format!("{}: no line", kind.name)))
            };
            let set = context.set_function(kind.name.to_string(), Function::new(at));
            set.map_err(|e| e.to_string())?;
        }
        let mut worked: BTreeMap<String, Worked> = BTreeMap::new();
        for (row, tree) in self.rows.iter().zip(&self.trees) {
            if let Ok(mut beyond) = beyond.lock() {
                *beyond = 1.0;
            }
            let unmeasured = |name: &str| KINDS.iter().any(|k| k.name == name) && slopes.fit(name).is_none();
            let unknown = |name: &str| worked.get(name).is_some_and(|known| known.value.is_none());
            let value = if tree.iter_function_identifiers().any(unmeasured)
                || tree.iter_variable_identifiers().any(unknown)
            {
                None
            } else {
                let value = tree.eval_number_with_context(&context);
                let value = value.map_err(|e| format!("{}: {}: {e}", row.id, row.formula))?;
                let set = context.set_value(row.id.clone(), Value::Float(value));
                set.map_err(|e| format!("{}: {e}", row.id))?;
                Some(value)
            };
            let beyond = beyond.lock().map_or(1.0, |beyond| *beyond);
            worked.insert(row.id.clone(), Worked { value, beyond });
        }
        Ok(worked)
    }

    /// The value of a number of the size at which a row reaches its limit, between a thousandth and a thousand times
    /// what it is; the row is taken to rise with it.
    pub fn reaches(
        &self,
        size: &Size,
        slopes: &Slopes,
        budget: &Budget,
        limit: f64,
    ) -> Result<Option<f64>, String> {
        let over = |times: f64| -> Result<Option<bool>, String> {
            let worked = self.work(&size.scaled(&budget.grows, times), slopes)?;
            Ok(worked.get(&budget.worked).and_then(|worked| worked.value).map(|value| value > limit))
        };
        let (mut below, mut above) = (1e-3f64, 1e3f64);
        if over(below)? != Some(false) || over(above)? != Some(true) {
            return Ok(None);
        }
        for _ in 0..40 {
            let middle = (below * above).sqrt();
            if over(middle)? == Some(true) {
                above = middle;
            } else {
                below = middle;
            }
        }
        Ok(size.get(&budget.grows).map(|now| now * below))
    }
}

/// The numbers of a size, for formulas. All are of one kind, so that no division is a whole one.
fn numbers(size: &Size) -> HashMapContext {
    let mut context = HashMapContext::new();
    for (name, number) in size.iter() {
        // A new context takes any value.
        let _ = context.set_value(name.to_string(), Value::Float(number));
    }
    context
}
