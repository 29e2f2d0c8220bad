//! Fake of the rate-limited weight store.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

use crate::server::{problem_response, with_state};

/// A weight store. A token bucket limits the bytes per second of all callers together.
pub struct FakeWeightStore {
    bytes_per_second: u64,
    expert_len: usize,
    bucket: Mutex<Bucket>,
}

struct Bucket {
    available_bytes: u64,
    refilled_at: Instant,
}

impl FakeWeightStore {
    /// Returns the HTTP handler of a store in which the weights of each expert take `expert_len` bytes.
    pub fn handler(bytes_per_second: u64, expert_len: usize) -> impl Handler {
        let bucket = Mutex::new(Bucket { available_bytes: bytes_per_second, refilled_at: Instant::now() });
        let store = Arc::new(Self { bytes_per_second, expert_len, bucket });
        Router::new().get("/weights/:layer/:expert", with_state(&store, Self::fetch))
    }

    async fn fetch(conn: Conn, store: Arc<Self>) -> Conn {
        let expert = conn.param("layer").zip(conn.param("expert"));
        let Some((Ok(layer), Ok(expert))) = expert.map(|(l, e)| (l.parse::<u64>(), e.parse::<u64>())) else {
            return problem_response(conn, Status::BadRequest, "layer and expert must be numbers");
        };
        if !store.try_take(store.expert_len as u64) {
            return problem_response(conn, Status::TooManyRequests, "byte rate limit exceeded")
                .with_response_header("retry-after", "1");
        }
        let mut rng = fastrand::Rng::with_seed(layer << 32 | expert);
        let weights: Vec<u8> = (0..store.expert_len).map(|_| rng.u8(..)).collect();
        conn.ok(weights).with_response_header("content-type", "application/octet-stream").halt()
    }

    fn try_take(&self, bytes: u64) -> bool {
        let mut bucket = self.bucket.lock();
        let refill = bucket.refilled_at.elapsed().as_millis() as u64 * self.bytes_per_second / 1000;
        if refill > 0 {
            bucket.available_bytes = (bucket.available_bytes + refill).min(self.bytes_per_second);
            bucket.refilled_at = Instant::now();
        }
        if bucket.available_bytes < bytes {
            return false;
        }
        bucket.available_bytes -= bytes;
        true
    }
}
