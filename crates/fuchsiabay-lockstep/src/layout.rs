//! The layout of a group: which ranks hold which experts.

/// The experts of each set by rank. Each expert is on at least one rank, and the ranks that hold it share its tokens
/// evenly.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpertLayout {
    /// `sets[set][rank]` holds the experts in ascending order.
    pub sets: Vec<Vec<Vec<u16>>>,
}

impl ExpertLayout {
    /// Builds the layout from the expert lists of each rank, `ranks[rank][set]`.
    pub fn from_ranks(ranks: &[Vec<Vec<u16>>]) -> Self {
        let set_count = ranks.first().map_or(0, Vec::len);
        let set =
            |set: usize| ranks.iter().map(|lists| lists.get(set).cloned().unwrap_or_default()).collect();
        let mut layout = Self { sets: (0..set_count).map(set).collect() };
        for rank in layout.sets.iter_mut().flatten() {
            rank.sort_unstable();
        }
        layout
    }

    /// Returns the number of ranks that hold each of the first `experts` experts of `set`.
    pub fn replica_counts(&self, set: usize, experts: usize) -> Vec<u32> {
        let mut counts = vec![0; experts];
        for &expert in self.sets[set].iter().flatten() {
            if let Some(count) = counts.get_mut(usize::from(expert)) {
                *count += 1;
            }
        }
        counts
    }

    /// Returns the tokens that each rank processes in `set`, given the tokens of each expert.
    pub fn rank_loads(&self, set: usize, tokens: &[f64]) -> Vec<f64> {
        let counts = self.replica_counts(set, tokens.len());
        let share = |expert: &u16| {
            let i = usize::from(*expert);
            tokens.get(i).map_or(0.0, |tokens| tokens / f64::from(counts[i].max(1)))
        };
        self.sets[set].iter().map(|experts| experts.iter().map(share).sum()).collect()
    }

    /// Returns the number of experts that each rank must copy to change from this layout to `next`, summed over the sets.
    pub fn copies_by_rank(&self, next: &Self) -> Vec<usize> {
        let rank_count = next.sets.first().map_or(0, Vec::len);
        let mut copies = vec![0; rank_count];
        for (old, new) in self.sets.iter().zip(&next.sets) {
            for (rank, (old, new)) in old.iter().zip(new).enumerate() {
                copies[rank] += new.iter().filter(|expert| !old.contains(expert)).count();
            }
        }
        copies
    }
}
