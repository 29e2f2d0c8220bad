//! Fake of a plain service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use trillium::{Conn, Handler, Method, Status};

use crate::{
    responses::service_response_body,
    server::{json_response, problem_response, with_state},
};

/// The request header that carries the key under which an effect is counted.
const KEY_HEADER: &str = "idempotency-key";

/// A plain service. It does not deduplicate idempotency keys, so that the effect counts show a call that ran twice.
pub struct FakeService {
    delay: Duration,
    effects: Mutex<BTreeMap<String, u64>>,
}

impl FakeService {
    /// Returns the HTTP handler of a service that responds to each call after `delay_ms`.
    pub fn handler(delay_ms: u64) -> impl Handler {
        let service = Arc::new(Self { delay: Duration::from_millis(delay_ms), effects: Mutex::default() });
        with_state(&service, Self::serve)
    }

    async fn serve(mut conn: Conn, service: Arc<Self>) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Get, "/effects") => {
                let effects = service.effects.lock().clone();
                return json_response(conn, Status::Ok, &serde_json::json!({ "effects": effects }));
            }
            (Method::Get, "/health") => return conn.ok("").halt(),
            _ => {}
        }
        let Ok(body) = conn.request_body().read_bytes().await else {
            return problem_response(conn, Status::BadRequest, "failed to read the request body");
        };
        // The effect is counted before the delay, because it stands even if the response is never delivered.
        if let Some(key) = conn.request_headers().get_str(KEY_HEADER) {
            *service.effects.lock().entry(key.to_owned()).or_insert(0) += 1;
        }
        if !service.delay.is_zero() {
            smol::Timer::after(service.delay).await;
        }
        let body = service_response_body(conn.method().as_str(), conn.path(), &body);
        conn.ok(body).with_response_header("content-type", "application/json").halt()
    }
}
