//! A planned layout with what it costs and brings.

use crate::ExpertLayout;

/// A planned layout.
#[derive(Clone, Debug, PartialEq)]
pub struct LayoutPlan {
    /// The layout.
    pub layout: ExpertLayout,
    /// Experts that must be copied.
    pub copies: usize,
    /// The most loaded rank relative to the mean, averaged over the sets, before.
    pub skew_before: f64,
    /// The same after.
    pub skew_after: f64,
}
