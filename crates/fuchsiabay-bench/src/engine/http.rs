//! HTTP interface of the engine stand-in.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use trillium::{Body, Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

use super::{
    CrashMode, EngineSettings,
    batch::{Batch, Generation},
    group::{Permit, WeightsOrder},
    orders::Order,
    stream::stream,
};
use crate::{
    responses::TokenSequence,
    server::{body, json, problem, query, with},
};

/// The status of the process after a crash.
const CRASH_EXIT_CODE: i32 = 70;

/// A model engine.
pub struct FakeEngine {
    batch: Mutex<Batch>,
    work: smol::channel::Sender<()>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateRequest {
    id: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: i32,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    resume_text: String,
}

#[derive(Deserialize)]
struct KvImport {
    prompt: String,
}

impl FakeEngine {
    /// Starts a new engine and returns its HTTP handler.
    pub fn handler(settings: EngineSettings) -> impl Handler {
        let (tx, rx) = smol::channel::bounded(1);
        let engine = Arc::new(Self { batch: Mutex::new(Batch::new(settings)), work: tx });
        async_global_executor::spawn(run(engine.clone(), rx)).detach();
        Router::new()
            .post("/v1/generate", with(&engine, Self::generate))
            .post("/cancel/:id", with(&engine, Self::cancel))
            .post("/pause/:id", with(&engine, Self::pause))
            .post("/resume/:id", with(&engine, Self::resume))
            .get("/load", with(&engine, Self::load))
            .get("/cache-events", with(&engine, Self::cache_events))
            .post("/orders", with(&engine, Self::order))
            .get("/orders", with(&engine, Self::orders))
            .get("/kv/:id", with(&engine, Self::export_kv))
            .put("/kv/:id", with(&engine, Self::import_kv))
            .post("/group/permit", with(&engine, Self::permit))
            .post("/group/weights", with(&engine, Self::load_weights))
            .get("/group/load", with(&engine, Self::group_load))
            .get("/group", with(&engine, Self::group))
            .get("/health", with(&engine, Self::health))
    }

    async fn generate(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let request = match body::<GenerateRequest>(&mut conn).await {
            Ok(request) => request,
            Err(error) => return problem(conn, Status::BadRequest, &error),
        };
        let answer = TokenSequence::for_prompt(&request.prompt);
        if request.resume_from > request.max_tokens || request.resume_text != answer.text(request.resume_from)
        {
            return problem(
                conn,
                Status::UnprocessableEntity,
                "resume_text must hold the first resume_from tokens",
            );
        }
        let (sender, stream) = stream();
        let generation = Generation {
            id: request.id,
            prompt: request.prompt,
            answer,
            position: request.resume_from,
            max_tokens: request.max_tokens,
            priority: request.priority,
            paused: false,
            sender,
        };
        if !engine.admit(generation) {
            return problem(conn, Status::Conflict, "a stream with this id exists");
        }
        conn.ok(Body::new_streaming(stream, None))
            .with_response_header("content-type", "text/event-stream")
            .halt()
    }

    /// Queues a stream. Returns false when its id is taken.
    fn admit(&self, generation: Generation) -> bool {
        let mut batch = self.batch.lock();
        if generation.prompt.contains(&batch.settings.crash_marker) {
            log::error!("engine: request {} crashes the engine", generation.id);
            if batch.settings.crash == CrashMode::Exit {
                std::process::exit(CRASH_EXIT_CODE);
            }
            // The stream that crashed the engine is dropped here, which breaks it off like all the others.
            batch.crash();
            return true;
        }
        if batch.contains(&generation.id) {
            return false;
        }
        batch.submit(generation);
        // A full channel means that the loop is about to look.
        let _ = self.work.try_send(());
        true
    }

    async fn cancel(conn: Conn, engine: Arc<Self>) -> Conn {
        let cancelled = engine.batch.lock().cancel(conn.param("id").unwrap_or_default());
        match cancelled {
            Some(tokens) => json(conn, Status::Ok, &json!({ "cancelled": true, "total": tokens })),
            None => problem(conn, Status::NotFound, "no stream with this id"),
        }
    }

    async fn pause(conn: Conn, engine: Arc<Self>) -> Conn {
        let known = engine.batch.lock().set_paused(conn.param("id").unwrap_or_default(), true);
        confirm(conn, known)
    }

    async fn resume(conn: Conn, engine: Arc<Self>) -> Conn {
        let known = engine.batch.lock().set_paused(conn.param("id").unwrap_or_default(), false);
        confirm(conn, known)
    }

    async fn load(conn: Conn, engine: Arc<Self>) -> Conn {
        let load = engine.batch.lock().loads.reported(Instant::now());
        json(conn, Status::Ok, &load)
    }

    async fn cache_events(conn: Conn, engine: Arc<Self>) -> Conn {
        let from = query(&conn, "from").unwrap_or(0);
        let page = {
            let batch = engine.batch.lock();
            let (events, next) = batch.cache.events(from, Instant::now());
            json!({ "next": next, "events": events })
        };
        json(conn, Status::Ok, &page)
    }

    async fn order(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let order = match body::<Order>(&mut conn).await {
            Ok(order) => order,
            Err(error) => return problem(conn, Status::BadRequest, &error),
        };
        let result = {
            let mut batch = engine.batch.lock();
            let fencing = batch.settings.fencing;
            batch.orders.apply(order, fencing)
        };
        match result {
            Ok(()) => json(conn, Status::Ok, &json!({ "accepted": true })),
            Err(highest) => {
                json(conn, Status::Conflict, &json!({ "accepted": false, "highest_fence": highest }))
            }
        }
    }

    async fn orders(conn: Conn, engine: Arc<Self>) -> Conn {
        let state = json!(engine.batch.lock().orders);
        json(conn, Status::Ok, &state)
    }

    async fn export_kv(conn: Conn, engine: Arc<Self>) -> Conn {
        let id = conn.param("id").unwrap_or_default().to_owned();
        let exported = {
            let batch = engine.batch.lock();
            batch.export(&id).map(|(prompt, tokens)| json!({ "prompt": prompt, "tokens": tokens }))
        };
        match exported {
            Some(kv) => json(conn, Status::Ok, &kv),
            None => problem(conn, Status::NotFound, "no stream with this id"),
        }
    }

    async fn import_kv(mut conn: Conn, engine: Arc<Self>) -> Conn {
        match body::<KvImport>(&mut conn).await {
            Ok(import) => {
                engine.batch.lock().cache.store(&import.prompt, Instant::now());
                conn.with_status(Status::NoContent).halt()
            }
            Err(error) => problem(conn, Status::BadRequest, &error),
        }
    }

    async fn permit(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let permit = match body::<Permit>(&mut conn).await {
            Ok(permit) => permit,
            Err(error) => return problem(conn, Status::BadRequest, &error),
        };
        let result = engine.batch.lock().group.permit(permit);
        let _ = engine.work.try_send(());
        match result {
            Ok(()) => conn.with_status(Status::NoContent).halt(),
            Err(detail) => problem(conn, Status::Conflict, detail),
        }
    }

    /// Answers when the weights are loaded.
    async fn load_weights(mut conn: Conn, engine: Arc<Self>) -> Conn {
        let order = match body::<WeightsOrder>(&mut conn).await {
            Ok(order) => order,
            Err(error) => return problem(conn, Status::BadRequest, &error),
        };
        let missing = {
            let batch = engine.batch.lock();
            batch.group.missing_weights(&order).map(|missing| (missing, batch.settings.weights_us))
        };
        let (missing, weights_us) = match missing {
            Ok(missing) => missing,
            Err(detail) => return problem(conn, Status::Conflict, detail),
        };
        smol::Timer::after(Duration::from_micros(weights_us * missing as u64)).await;
        engine.batch.lock().group.weights_loaded(&order);
        json(conn, Status::Ok, &json!({ "map": order.map, "loaded": missing }))
    }

    async fn group_load(conn: Conn, engine: Arc<Self>) -> Conn {
        let load = engine.batch.lock().group.load();
        json(conn, Status::Ok, &load)
    }

    async fn group(conn: Conn, engine: Arc<Self>) -> Conn {
        let state = json!(engine.batch.lock().group);
        json(conn, Status::Ok, &state)
    }

    async fn health(conn: Conn, engine: Arc<Self>) -> Conn {
        let (steps, tokens) = engine.batch.lock().totals();
        json(conn, Status::Ok, &json!({ "steps": steps, "tokens": tokens }))
    }
}

/// Runs one step after the other for as long as the process lives.
async fn run(engine: Arc<FakeEngine>, work: smol::channel::Receiver<()>) {
    let mut at = Instant::now();
    loop {
        if engine.batch.lock().is_idle() {
            if work.recv().await.is_err() {
                return;
            }
            at = Instant::now();
        }
        // Counting from the planned start keeps late timers from slowing the engine down.
        at += engine.batch.lock().begin_step(at);
        smol::Timer::at(at).await;
        engine.batch.lock().end_step();
    }
}

fn confirm(conn: Conn, known: bool) -> Conn {
    if known {
        return conn.with_status(Status::NoContent).halt();
    }
    problem(conn, Status::NotFound, "no stream with this id")
}
