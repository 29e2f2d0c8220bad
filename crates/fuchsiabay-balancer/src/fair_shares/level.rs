//! How the usage of a workspace compares with its share.

/// How the usage of a workspace compares with its share. The levels are coarse, so that most jobs stay in the order of their goals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareLevel {
    /// Less than half of the share.
    FarBelow,
    /// About the share, or workspaces do not compete.
    Near,
    /// Well above the share.
    Above,
}
