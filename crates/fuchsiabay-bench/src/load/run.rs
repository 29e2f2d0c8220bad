//! Runs a plan against a target.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use trillium_client::Client;

use super::{LoadSettings, Plan, Report, client::LoadClient};
use crate::clock::unix_ms;

/// Time between the drawing of the plan and its first request.
const LEAD: Duration = Duration::from_millis(50);

/// Sends the requests of `settings` on their planned arrivals and returns what became of them.
///
/// The load is open: a slow response delays no later request, and times count from the planned arrival, so that
/// a stall of the target shows in every request that it delays.
pub async fn run_load(settings: LoadSettings) -> Result<Report, String> {
    let plan = Plan::new(&settings);
    let client = Arc::new(LoadClient::new(settings, unix_ms()));
    let start = Instant::now() + LEAD;
    let mut tasks = Vec::with_capacity(plan.requests.len());
    for request in plan.requests {
        let arrival = start + Duration::from_micros(request.at_us);
        smol::Timer::at(arrival).await;
        let client = client.clone();
        tasks.push(async_global_executor::spawn(async move {
            let observation = client.send(&request, arrival).await;
            let key = client.key(&request);
            (request, key, observation)
        }));
    }
    let mut report = Report::default();
    for task in tasks {
        let (request, key, observation) = task.await;
        report.add(&request, key, observation);
    }
    let effects = collect_effects(&client.settings().effect_sources).await?;
    report.add_effects(&effects);
    Ok(report)
}

async fn collect_effects(services: &[String]) -> Result<HashMap<String, u64>, String> {
    #[derive(serde::Deserialize)]
    struct Effects {
        effects: HashMap<String, u64>,
    }
    let client = Client::new(trillium_smol::ClientConfig::new());
    let mut sum = HashMap::new();
    for service in services {
        let url = format!("{service}/effects");
        let mut conn = client.get(url.as_str()).await.map_err(|error| format!("{url}: {error}"))?;
        let body = conn.response_body().read_string().await.map_err(|error| format!("{url}: {error}"))?;
        let effects: Effects = serde_json::from_str(&body).map_err(|error| format!("{url}: {error}"))?;
        for (key, count) in effects.effects {
            *sum.entry(key).or_insert(0) += count;
        }
    }
    Ok(sum)
}
