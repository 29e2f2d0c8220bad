//! The results and goals of a benchmark.

use std::fmt;

use serde::Serialize;

/// The results of one policy.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The name of the policy.
    pub policy: String,
    /// Figures by name. The name contains the unit.
    pub figures: Vec<(&'static str, f64)>,
}

/// A goal and whether it was met.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Goal {
    /// The goal in words, as it was stated before the run.
    pub goal: &'static str,
    /// The figure that is compared with the limit of the goal.
    pub figure: f64,
    /// Whether the goal was met.
    pub met: bool,
}

/// The results of several policies on the same trace.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Benchmark {
    /// The name of the benchmark.
    pub name: &'static str,
    /// A description of the trace.
    pub trace: &'static str,
    /// One row for each policy.
    pub rows: Vec<Row>,
    /// The goals, which apply to fuchsiabay.
    pub goals: Vec<Goal>,
}

impl fmt::Display for Benchmark {
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
