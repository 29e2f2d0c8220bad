//! What a measure found, beside its goals.

use std::fmt;

use serde::Serialize;

/// The figures of one policy.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The policy.
    pub policy: String,
    /// Figures by name. The name carries the unit.
    pub figures: Vec<(&'static str, f64)>,
}

/// A goal and whether it was met.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Goal {
    /// The goal as stated before the run.
    pub goal: &'static str,
    /// The figure that is compared with it.
    pub figure: f64,
    /// Whether it was met.
    pub met: bool,
}

/// A measure of several policies on one trace.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Measure {
    /// The name.
    pub name: &'static str,
    /// The trace.
    pub trace: &'static str,
    /// One row for each policy.
    pub rows: Vec<Row>,
    /// The goals.
    pub goals: Vec<Goal>,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.name, self.trace)?;
        for row in &self.rows {
            write!(f, "  {:<24}", row.policy)?;
            for (name, figure) in &row.figures {
                write!(f, "  {name}={figure:.3}")?;
            }
            writeln!(f)?;
        }
        for goal in &self.goals {
            let verdict = if goal.met { "met" } else { "missed" };
            writeln!(f, "  {verdict}: {} (measured {:.3})", goal.goal, goal.figure)?;
        }
        Ok(())
    }
}
