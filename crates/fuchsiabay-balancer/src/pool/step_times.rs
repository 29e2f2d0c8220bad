//! The recent durations of the passes of a lockstep group, as seen by this instance.

use std::collections::VecDeque;

use fuchsiabay_base::Timestamp;

/// How long a pass is used to compute the concurrency limit, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// The maximum number of passes that are kept. It bounds the memory; more passes do not improve the quantile.
const MAX_PASSES: usize = 64;

/// The time within which all streams of an instance receive their events of one pass, in milliseconds. Events that arrive
/// within it count as one pass, so that a pass with many streams has no more weight than another.
const PASS_SPREAD_MS: u64 = 20;

/// The minimum number of passes from which a quantile is computed. A single delayed pass must not decide.
const MIN_PASSES: usize = 3;

/// The quantile of the durations. It leaves out the longest of up to 11 passes, which may be an exception.
const QUANTILE: f64 = 0.9;

/// The number of passes of which the median shows that a group is slow.
const MEDIAN_PASSES: usize = 3;

/// How long a pass may count for that, in milliseconds. A pass of a slow group takes a second and longer.
const MEDIAN_WINDOW_MS: u64 = 10_000;

/// The duration of a pass, and the load under which it was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTime {
    /// The time between two events of a stream, in milliseconds.
    pub gap_ms: f64,
    /// The mean number of running requests per rank.
    pub running: f64,
}

/// The gaps that ended with one pass.
#[derive(Clone, Copy, Debug)]
struct Pass {
    at: Timestamp,
    gaps: u32,
    total_ms: f64,
    running: f64,
}

impl Pass {
    fn step_time(&self) -> StepTime {
        StepTime { gap_ms: self.total_ms / f64::from(self.gaps), running: self.running }
    }
}

/// The recent times between two events of any stream of a service. All ranks of a group run each step together, so every
/// stream shows the duration of the passes of its group.
#[derive(Clone, Debug, Default)]
pub struct StepTimes {
    passes: VecDeque<Pass>,
}

impl StepTimes {
    /// Records the time between two events of a stream, with the mean number of running requests per rank.
    pub fn record(&mut self, gap_ms: u64, running: f64, now: Timestamp) {
        let last = self.passes.back_mut().filter(|pass| now.millis_since(pass.at) < PASS_SPREAD_MS);
        if let Some(pass) = last {
            pass.gaps += 1;
            pass.total_ms += gap_ms as f64;
            return;
        }
        if self.passes.len() == MAX_PASSES {
            self.passes.pop_front();
        }
        self.passes.push_back(Pass { at: now, gaps: 1, total_ms: gap_ms as f64, running });
    }

    /// Returns the median time between two events in the last passes, in milliseconds. None if too few were measured, or none
    /// recently.
    ///
    /// While streams run, of which the last one began at `streams_since`, the time since the last event counts as a pass if it is
    /// longer than the passes so far. A single long pass never decides.
    pub fn median_gap_ms(&self, streams_since: Option<Timestamp>, now: Timestamp) -> Option<f64> {
        let last = self.passes.back()?;
        let recent = self.passes.iter().rev().take_while(|pass| now.millis_since(pass.at) < MEDIAN_WINDOW_MS);
        let mut gaps: Vec<f64> = recent.take(MEDIAN_PASSES).map(|pass| pass.step_time().gap_ms).collect();
        let silent_ms = streams_since.map(|since| now.millis_since(since.max(last.at)) as f64);
        if let Some(silent_ms) = silent_ms.filter(|ms| gaps.iter().all(|gap| ms > gap)) {
            gaps.truncate(MEDIAN_PASSES - 1);
            gaps.push(silent_ms);
        }
        if gaps.len() < MEDIAN_PASSES {
            return None;
        }
        let (_, median, _) = gaps.select_nth_unstable_by(MEDIAN_PASSES / 2, f64::total_cmp);
        // Without streams, nothing is known about the passes after the next one.
        let is_current =
            streams_since.is_some() || now.millis_since(last.at) as f64 <= WINDOW_MS as f64 + 2.0 * *median;
        is_current.then_some(*median)
    }

    /// Returns the upper quantile of the passes of the last second, ordered by their duration in relation to the one that
    /// `predict` returns for their load. None if there are too few.
    ///
    /// Comparing durations alone would mistake the passes of a load that has just fallen for those of the present load.
    pub fn upper_quantile(&self, predict: impl Fn(f64) -> f64, now: Timestamp) -> Option<StepTime> {
        let since = now.minus_millis(WINDOW_MS);
        let recent = self.passes.iter().rev().take_while(|pass| pass.at > since);
        let mut recent: Vec<_> = recent
            .map(Pass::step_time)
            .map(|step| (step.gap_ms / predict(step.running).max(f64::MIN_POSITIVE), step))
            .collect();
        if recent.len() < MIN_PASSES {
            return None;
        }
        let i = ((recent.len() - 1) as f64 * QUANTILE) as usize;
        let (_, (_, step), _) = recent.select_nth_unstable_by(i, |a, b| a.0.total_cmp(&b.0));
        Some(*step)
    }
}
