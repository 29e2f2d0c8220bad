//! Stand-in of a plain service.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use trillium::{Conn, Handler, Method, Status};

use crate::{
    responses::service_response_body,
    server::{json, problem, with},
};

/// The header by which effects are counted.
const KEY_HEADER: &str = "idempotency-key";

/// A plain service. It deliberately runs a repeated key again, so that a doubled call shows in the counts.
pub struct FakeService {
    delay: Duration,
    effects: Mutex<BTreeMap<String, u64>>,
}

impl FakeService {
    /// Returns the HTTP handler of a service that takes `delay_ms` for each call.
    pub fn handler(delay_ms: u64) -> impl Handler {
        let service = Arc::new(Self { delay: Duration::from_millis(delay_ms), effects: Mutex::default() });
        with(&service, Self::serve)
    }

    async fn serve(mut conn: Conn, service: Arc<Self>) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Get, "/effects") => {
                let effects = service.effects.lock().clone();
                return json(conn, Status::Ok, &serde_json::json!({ "effects": effects }));
            }
            (Method::Get, "/health") => return conn.ok("").halt(),
            _ => {}
        }
        let Ok(body) = conn.request_body().read_bytes().await else {
            return problem(conn, Status::BadRequest, "the body cannot be read");
        };
        // The effect counts before the delay, because an answer that never arrives does not undo it.
        if let Some(key) = conn.request_headers().get_str(KEY_HEADER) {
            *service.effects.lock().entry(key.to_owned()).or_insert(0) += 1;
        }
        if !service.delay.is_zero() {
            smol::Timer::after(service.delay).await;
        }
        let answer = service_response_body(conn.method().as_str(), conn.path(), &body);
        conn.ok(answer).with_response_header("content-type", "application/json").halt()
    }
}
