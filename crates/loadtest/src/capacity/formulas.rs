//! Formulas that compute capacity from a deployment's size: rows of a CSV file, each with an id that later rows may
//! use. Numbers of the size are variables; slopes are functions of a size.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use dunemount::text_file::LineError;
use evalexpr::{
    build_operator_tree, ContextWithMutableFunctions, ContextWithMutableVariables, EvalexprError, Function,
    HashMapContext, Node, Value,
};
use serde::de::DeserializeOwned;
use serde::Deserialize;

use super::size::DeploymentSize;
use super::slopes::{Slopes, SLOPE_KINDS};

/// A row of a table: what it describes, its formula, and the mechanism that handles it.
#[derive(Clone, Debug, Deserialize)]
pub struct Row {
    /// The table that contains the row.
    pub table: String,
    /// Its name in later formulas.
    pub id: String,
    /// Description of the value.
    pub what: String,
    /// The formula of the value.
    pub formula: String,
    /// Its unit.
    pub unit: String,
    /// The mechanism that handles it, usually a source file; `missing` if there is none yet.
    pub by: String,
}

/// An upper limit on the value of a row.
#[derive(Clone, Debug, Deserialize)]
pub struct Budget {
    /// Description of what is limited.
    pub what: String,
    /// The limit: a formula of the size.
    pub limit: String,
    /// Its unit.
    pub unit: String,
    /// The id of the row whose value is limited.
    pub worked: String,
    /// The number of the size that the value grows with.
    pub grows: String,
    /// What fails first when the limit is exceeded.
    pub breaks: String,
}

/// The computed value of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ComputedValue {
    /// The value; `None` if it depends on a slope that has not been measured.
    pub value: Option<f64>,
    /// The largest ratio of a size that the row's own slopes are evaluated at to the largest measured size; at least 1.
    pub extrapolation: f64,
}

/// Parsed formulas, in the order of the file.
pub struct Formulas {
    /// The rows of all tables.
    pub rows: Vec<Row>,
    trees: Vec<Node>,
}

/// Parses the rows of a CSV file, each with its line number.
fn read_rows<T: DeserializeOwned>(text: &str) -> Result<Vec<(usize, T)>, LineError<String>> {
    let mut reader = csv::Reader::from_reader(text.as_bytes());
    let csv_error = |e: csv::Error| {
        LineError::new(e.position().map_or(0, |position| position.line() as usize), e.to_string())
    };
    let headers = reader.headers().map_err(csv_error)?.clone();
    let mut rows = Vec::new();
    for row in reader.records() {
        let row = row.map_err(csv_error)?;
        let line = row.position().map_or(0, |position| position.line() as usize);
        rows.push((line, row.deserialize(Some(&headers)).map_err(csv_error)?));
    }
    Ok(rows)
}

/// Parses a formula whose variables must all be in `known_names`.
fn parse_formula(
    line: usize,
    formula: &str,
    known_names: &BTreeSet<String>,
) -> Result<Node, LineError<String>> {
    let tree = build_operator_tree(formula)
        .map_err(|e| LineError::new(line, format!("{formula:?} is not a valid formula: {e}")))?;
    let unknown_name =
        tree.iter_variable_identifiers().find(|name| !known_names.contains(*name)).map(str::to_string);
    match unknown_name {
        Some(name) => Err(LineError::new(
            line,
            format!("{name}: neither a number of the size nor the id of an earlier row"),
        )),
        None => Ok(tree),
    }
}

impl Formulas {
    /// Parses the text of a formulas file for a size.
    ///
    /// # Errors
    /// The first line that is not a valid formula, uses an unknown name, or has an id that is already in use.
    pub fn read(text: &str, size: &DeploymentSize) -> Result<Formulas, LineError<String>> {
        let mut known_names: BTreeSet<String> = size.iter().map(|(name, _)| name.to_string()).collect();
        let (mut rows, mut trees) = (Vec::new(), Vec::new());
        for (line, row) in read_rows::<Row>(text)? {
            trees.push(parse_formula(line, &row.formula, &known_names)?);
            if !known_names.insert(row.id.clone()) {
                return Err(LineError::new(line, format!("{}: this id is already in use", row.id)));
            }
            rows.push(row);
        }
        Ok(Formulas { rows, trees })
    }

    /// Parses the text of a budgets file; each budget with the value of its limit.
    ///
    /// # Errors
    /// The first line whose limit is not a valid formula of the size, or that names an unknown row or number.
    pub fn read_budgets(
        &self,
        text: &str,
        size: &DeploymentSize,
    ) -> Result<Vec<(Budget, f64)>, LineError<String>> {
        let known_names: BTreeSet<String> = size.iter().map(|(name, _)| name.to_string()).collect();
        let mut budgets = Vec::new();
        for (line, budget) in read_rows::<Budget>(text)? {
            let tree = parse_formula(line, &budget.limit, &known_names)?;
            if !self.rows.iter().any(|row| row.id == budget.worked) {
                return Err(LineError::new(line, format!("{}: no formula has this id", budget.worked)));
            }
            if size.get(&budget.grows).is_none() {
                return Err(LineError::new(line, format!("{}: not a number of the size", budget.grows)));
            }
            let limit = tree.eval_number_with_context(&size_context(size));
            budgets.push((budget, limit.map_err(|e| LineError::new(line, e.to_string()))?));
        }
        Ok(budgets)
    }

    /// Evaluates all rows and returns their values by id.
    ///
    /// # Errors
    /// The row that cannot be evaluated, its formula and the cause.
    pub fn evaluate(
        &self,
        size: &DeploymentSize,
        slopes: &Slopes,
    ) -> Result<BTreeMap<String, ComputedValue>, String> {
        let mut context = size_context(size);
        let extrapolation = Arc::new(Mutex::new(1.0f64));
        for kind in SLOPE_KINDS {
            if slopes.fit(kind.name).is_none() {
                continue;
            }
            let (slopes, extrapolation) = (slopes.clone(), extrapolation.clone());
            let slope_function = move |argument: &Value| {
                let size = argument.as_number()?;
                let factor = slopes.largest_size(kind.name).map_or(1.0, |largest_size| size / largest_size);
                if let Ok(mut extrapolation) = extrapolation.lock() {
                    *extrapolation = extrapolation.max(factor);
                }
                let value = slopes.value_at(kind.name, size);
                value.map(Value::Float).ok_or(EvalexprError::CustomMessage(format!(
                    "{}: fewer than two measured sizes",
                    kind.name
                )))
            };
            let function_set = context.set_function(kind.name.to_string(), Function::new(slope_function));
            function_set.map_err(|e| e.to_string())?;
        }
        let mut computed: BTreeMap<String, ComputedValue> = BTreeMap::new();
        for (row, tree) in self.rows.iter().zip(&self.trees) {
            if let Ok(mut extrapolation) = extrapolation.lock() {
                *extrapolation = 1.0;
            }
            let is_unmeasured =
                |name: &str| SLOPE_KINDS.iter().any(|k| k.name == name) && slopes.fit(name).is_none();
            let is_unknown = |name: &str| computed.get(name).is_some_and(|computed| computed.value.is_none());
            let value = if tree.iter_function_identifiers().any(is_unmeasured)
                || tree.iter_variable_identifiers().any(is_unknown)
            {
                None
            } else {
                let value = tree.eval_number_with_context(&context);
                let value = value.map_err(|e| format!("{}: {}: {e}", row.id, row.formula))?;
                let value_set = context.set_value(row.id.clone(), Value::Float(value));
                value_set.map_err(|e| format!("{}: {e}", row.id))?;
                Some(value)
            };
            let extrapolation = extrapolation.lock().map_or(1.0, |extrapolation| *extrapolation);
            computed.insert(row.id.clone(), ComputedValue { value, extrapolation });
        }
        Ok(computed)
    }

    /// The value of the budget's number of the size at which the row reaches its limit, searched between a thousandth
    /// and a thousand times its present value; `None` if it is not reached there. The row is assumed to increase with
    /// it.
    ///
    /// # Errors
    /// A row that cannot be evaluated, and the cause.
    pub fn size_at_limit(
        &self,
        size: &DeploymentSize,
        slopes: &Slopes,
        budget: &Budget,
        limit: f64,
    ) -> Result<Option<f64>, String> {
        let exceeds_limit = |factor: f64| -> Result<Option<bool>, String> {
            let computed = self.evaluate(&size.scaled(&budget.grows, factor), slopes)?;
            Ok(computed.get(&budget.worked).and_then(|computed| computed.value).map(|value| value > limit))
        };
        let (mut below, mut above) = (1e-3f64, 1e3f64);
        if exceeds_limit(below)? != Some(false) || exceeds_limit(above)? != Some(true) {
            return Ok(None);
        }
        for _ in 0..40 {
            let middle = (below * above).sqrt();
            if exceeds_limit(middle)? == Some(true) {
                above = middle;
            } else {
                below = middle;
            }
        }
        Ok(size.get(&budget.grows).map(|present| present * below))
    }
}

/// The numbers of a size as variables for formulas. All are floating-point, so that no division is an integer division.
fn size_context(size: &DeploymentSize) -> HashMapContext {
    let mut context = HashMapContext::new();
    for (name, number) in size.iter() {
        // Setting a variable cannot fail here: a new context accepts any type.
        let _ = context.set_value(name.to_string(), Value::Float(number));
    }
    context
}
