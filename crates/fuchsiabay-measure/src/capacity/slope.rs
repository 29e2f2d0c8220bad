//! Measures memory and processor time as slopes over the number of items.

use std::{fmt, fs};

use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// The memory and processor time of one kind of item.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Slope {
    item: &'static str,
    sizes: Vec<u64>,
    /// The slope of a least-squares line through the origin.
    bytes_per_item: f64,
    /// The largest relative deviation of the measured memory from the fitted line. If it is small, the slope may be
    /// extrapolated.
    worst_fit: f64,
    /// The processor time at the largest size.
    nanoseconds_per_item: f64,
}

/// Memory below this many bytes per item is not reported.
const MIN_REPORTED_BYTES: f64 = 16.0;

/// Measures `build` at each size. Everything that is built is leaked, because memory that is freed and used again would
/// not show in the resident memory of the next size.
pub(crate) fn measure<T>(item: &'static str, sizes: [u64; 3], mut build: impl FnMut(u64) -> T) -> Slope {
    // The first build includes one-time initialization, so it is not measured.
    std::mem::forget(build(1));
    let mut points = Vec::new();
    let mut nanoseconds = 0;
    for &size in &sizes {
        let (memory, time) = (resident_bytes(), process_nanoseconds());
        let built = build(size);
        nanoseconds = (process_nanoseconds() - time) / size;
        points.push((size as f64, resident_bytes().saturating_sub(memory) as f64));
        std::mem::forget(built);
    }
    let sum_of_squares: f64 = points.iter().map(|(size, _)| size * size).sum();
    let bytes_per_item = points.iter().map(|(size, bytes)| size * bytes).sum::<f64>() / sum_of_squares;
    let deviation = |(size, bytes): &(f64, f64)| (bytes / (size * bytes_per_item).max(1.0) - 1.0).abs();
    Slope {
        item,
        sizes: sizes.to_vec(),
        bytes_per_item,
        worst_fit: points.iter().map(deviation).fold(0.0, f64::max),
        nanoseconds_per_item: nanoseconds as f64,
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { item, sizes, bytes_per_item, worst_fit, nanoseconds_per_item } = self;
        write!(f, "{item}: {nanoseconds_per_item:.0} ns")?;
        // The memory of items that retain nothing is allocator noise, which no line fits.
        if *bytes_per_item >= MIN_REPORTED_BYTES {
            write!(f, " and {bytes_per_item:.0} bytes, worst fit {:.0} %,", worst_fit * 100.0)?;
        }
        write!(f, " per item, sizes {sizes:?}")
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0);
    pages * rustix::param::page_size() as u64
}

/// Returns the processor time of this process in nanoseconds.
fn process_nanoseconds() -> u64 {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}
