//! What one rank adds to the demand for experts, in a compact encoding.

/// The largest encoded value of one expert.
const MAX_LEVEL: u64 = 255;

/// The length of the encoded epoch, step and unit, in bytes.
const HEADER_BYTES: usize = 24;

/// The tokens per set and expert that one rank counted between two queries.
///
/// Each expert takes one byte, because the coordinator of a large group reads the counts of all ranks several times a
/// second. The error of at most half a unit, 0.2% of the largest count, is far below the noise of the demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandDelta {
    /// The epoch of the group.
    pub epoch: u64,
    /// The last step that has started.
    pub step: u64,
    /// The number of tokens that one level stands for.
    unit: u64,
    /// The level of each expert, ordered by set and expert. Empty if there is nothing to compare with.
    levels: Vec<u8>,
}

impl DemandDelta {
    /// Returns a delta without tokens.
    pub const fn baseline(epoch: u64, step: u64) -> Self {
        Self { epoch, step, unit: 1, levels: Vec::new() }
    }

    /// Returns the delta from the cumulative counts `old` to `new`, which must not be lower.
    pub fn between(old: &[u64], new: &[u64], epoch: u64, step: u64) -> Self {
        let delta = |(old, new): (&u64, &u64)| new.saturating_sub(*old);
        let largest = old.iter().zip(new).map(delta).max().unwrap_or(0);
        let unit = largest.div_ceil(MAX_LEVEL).max(1);
        let level = |tokens: u64| (tokens.saturating_add(unit / 2) / unit).min(MAX_LEVEL) as u8;
        let levels = old.iter().zip(new).map(delta).map(level).collect();
        Self { epoch, step, unit, levels }
    }

    /// Returns the tokens of each expert, ordered by set and expert.
    pub fn tokens(&self) -> impl ExactSizeIterator<Item = f64> {
        let unit = self.unit as f64;
        self.levels.iter().map(move |level| f64::from(*level) * unit)
    }

    /// Encodes the delta for [`DemandDelta::decode`].
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_BYTES + self.levels.len());
        for number in [self.epoch, self.step, self.unit] {
            out.extend_from_slice(&number.to_be_bytes());
        }
        out.extend_from_slice(&self.levels);
        out
    }

    /// Decodes a delta. Returns None if `bytes` is too short.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (epoch, rest) = bytes.split_first_chunk()?;
        let (step, rest) = rest.split_first_chunk()?;
        let (unit, levels) = rest.split_first_chunk()?;
        Some(Self {
            epoch: u64::from_be_bytes(*epoch),
            step: u64::from_be_bytes(*step),
            unit: u64::from_be_bytes(*unit),
            levels: levels.to_vec(),
        })
    }
}
