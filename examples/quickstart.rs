//! The main job on an embedded default: one process that holds a control and entry host with a
//! temporary data folder, and a stand-in engine.

use std::time::{Duration, Instant};

use async_std::task;
use damaskhoist::settings::HostSettings;
use damaskhoist::Host;
use miette::{ensure, miette, IntoDiagnostic, Result};
use serde_json::json;
use standin::{Caller, Engine, EngineOptions};

const MODEL: &str = "engraver-llm";
const ITEMS: usize = 20;
/// Longest time for each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

fn main() -> Result<()> {
    task::block_on(run())
}

async fn run() -> Result<()> {
    let folder = tempfile::tempdir().into_diagnostic()?;
    let mut settings = HostSettings::loopback("quickstart-1", "santander", "cantabria");
    settings.roles.control = true;
    settings.control.data_folder = folder.path().to_path_buf();
    settings.entry.entries_hold_ms = 100;
    let host = Host::open(settings).await?;
    let address = host.caller_address().ok_or_else(|| miette!("the host has no entry role"))?;
    let caller = Caller::open(address);

    let mut options = EngineOptions::for_service("engraving", MODEL);
    options.entry_addresses = vec![address.to_string()];
    options.zone = "santander".to_owned();
    options.region = "cantabria".to_owned();
    let engine = Engine::bind(options).into_diagnostic()?;

    let entries = caller.get("/v1/entries?zone=santander").await.into_diagnostic()?;
    println!("entries: {}", entries.body);
    wait_for_model(&caller).await?;

    let tokens = stream_answer(&caller).await?;
    let (job_id, finished) = run_batch(&caller).await?;
    println!("online: 1 answer streamed in {tokens} pieces");
    println!("batch: {job_id} finished {finished} of {ITEMS} items");
    println!("engine: {} requests started", engine.stats().started.len());
    engine.close().await;
    host.close().await;
    println!("quickstart: ok");
    Ok(())
}

async fn wait_for_model(caller: &Caller) -> Result<()> {
    let started = Instant::now();
    loop {
        let models = caller.get("/v1/models").await.into_diagnostic()?.json();
        if models["data"][0]["id"] == MODEL {
            return Ok(());
        }
        ensure!(started.elapsed() < STEP_TIMEOUT, "no upstream announced model {MODEL}");
        task::sleep(Duration::from_millis(20)).await;
    }
}

/// Streams one online answer; gives the number of its pieces.
async fn stream_answer(caller: &Caller) -> Result<usize> {
    let body = json!({"model": MODEL, "stream": true, "max_tokens": 12,
        "messages": [{"role": "user", "content": "An inscription for a bell"}]});
    let headers = [("idempotency-key", "quickstart-bell")];
    let started = Instant::now();
    loop {
        let answer =
            caller.post("/v1/chat/completions", &headers, &body).await.into_diagnostic()?;
        if answer.status == 200 {
            let events = answer.events();
            ensure!(events.last() == Some(&"[DONE]"), "the stream is not whole: {}", answer.body);
            println!("answer: {}", answer.streamed_text().trim());
            return Ok(events.len() - 2);
        }
        // The single control host needs a moment to elect itself.
        ensure!(started.elapsed() < STEP_TIMEOUT, "refused: {}", answer.body);
        task::sleep(Duration::from_millis(100)).await;
    }
}

/// Runs a job; gives its id and the number of finished items.
async fn run_batch(caller: &Caller) -> Result<(String, u64)> {
    let mut lines = String::new();
    for item in 0..ITEMS {
        let body = json!({"model": MODEL, "max_tokens": 8,
            "messages": [{"role": "user", "content": format!("Engraving sheet {item}")}]});
        let line = json!({"custom_id": format!("sheet-{item}"), "method": "POST",
            "url": "/v1/chat/completions", "body": body});
        lines.push_str(&format!("{line}\n"));
    }
    let file = caller.call("POST", "/v1/files?purpose=batch", &[], lines.as_bytes()).await;
    let file = file.into_diagnostic()?;
    ensure!(file.status == 200, "the file was refused: {}", file.body);
    let batch = json!({"input_file_id": file.json()["id"], "endpoint": "/v1/chat/completions"});
    let headers = [("idempotency-key", "quickstart-job")];
    let created = caller.post("/v1/batches", &headers, &batch).await.into_diagnostic()?;
    ensure!(created.status == 200, "the job was refused: {}", created.body);
    let job_id = created.json()["id"].as_str().unwrap_or_default().to_owned();
    let started = Instant::now();
    loop {
        let job = caller.get(&format!("/v1/batches/{job_id}")).await.into_diagnostic()?.json();
        if job["status"] == "completed" {
            break;
        }
        ensure!(started.elapsed() < STEP_TIMEOUT, "the job did not finish: {job}");
        task::sleep(Duration::from_millis(50)).await;
    }
    let results = caller.get(&format!("/v1/batches/{job_id}/results")).await.into_diagnostic()?;
    let finished = results.body.lines().count() as u64;
    ensure!(finished == ITEMS as u64, "{finished} results of {ITEMS} items");
    Ok((job_id, finished))
}
