use std::path::PathBuf;

use pico_args::Arguments;
use serde_json::{json, Value};
use tide::http::Method;

use crate::cmd::batch_file::BatchFile;
use crate::cmd::due_time::DueTime;
use crate::cmd::entries::with_parameters;
use crate::cmd::job_status::JobStatus;
use crate::cmd::options::{finish, positional, Options, OutputFormat};
use crate::cmd::watch::Watch;
use crate::cmd::{Call, Console, EntryClient, Failure};

const DEFAULT_ENDPOINT: &str = "/v1/chat/completions";

struct Submission {
    file: BatchFile,
    key: String,
    endpoint: String,
    service: Option<String>,
    due: Option<DueTime>,
}

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let watch = Watch::take(&mut arguments)?;
    let is_detached = arguments.contains("--detach");
    let submission = Submission::take(arguments)?;
    let mut client = EntryClient::new(&options);
    let batch = submission.send(&mut client, console).await?;
    let job = JobStatus::from_json(&batch)?;
    match options.output {
        OutputFormat::Json => console.line(&batch.to_string())?,
        OutputFormat::Table => console.line(&job.id)?,
    }
    if is_detached {
        return Ok(());
    }
    watch.follow(&mut client, &job.id, console).await?.require_success()
}

impl Submission {
    fn take(mut arguments: Arguments) -> Result<Self, Failure> {
        let service = arguments.opt_value_from_str("--service")?;
        let endpoint: Option<String> = arguments.opt_value_from_str("--endpoint")?;
        let due = arguments.opt_value_from_str("--due")?;
        let key: Option<String> = arguments.opt_value_from_str("--key")?;
        let name: Option<String> = arguments.opt_value_from_str("--name")?;
        let path = PathBuf::from(positional(&mut arguments, "FILE")?);
        finish(arguments)?;
        let mut file = BatchFile::read(&path)?;
        file.name = name.unwrap_or(file.name);
        let key = key.unwrap_or_else(|| file.content_key());
        let endpoint = endpoint.unwrap_or_else(|| DEFAULT_ENDPOINT.to_owned());
        Ok(Self { file, key, endpoint, service, due })
    }

    /// Uploads the file and creates the job; both are named by the key, so a resend changes nothing.
    async fn send(
        &self,
        client: &mut EntryClient,
        console: &mut Console<'_>,
    ) -> Result<Value, Failure> {
        if console.is_terminal {
            let file = &self.file;
            console.note(&format!("sending {} items of {}", file.items, file.name));
        }
        let file = client.json(self.upload(&self.upload_path())).await;
        let file = file.map_err(|failure| self.explain(failure))?;
        let Some(file_id) = file["id"].as_str() else {
            let message = "the answer to the upload is not a file object";
            return Err(Failure::failed(message, "check that --entry names a damaskhoist host"));
        };
        let body = self.job_body(file_id).to_string();
        let call = Call::post("/v1/batches", body.as_bytes()).under_key(&self.key);
        client.json(call).await.map_err(|failure| self.explain(failure))
    }

    fn upload_path(&self) -> String {
        let purpose = Some("batch".to_owned());
        with_parameters(
            "/v1/files",
            &[("name", Some(self.file.name.clone())), ("purpose", purpose)],
        )
    }

    fn upload<'a>(&'a self, path: &'a str) -> Call<'a> {
        Call {
            method: Method::Post,
            path,
            body: &self.file.bytes,
            content_type: "application/jsonl",
            key: &self.key,
            is_idempotent: true,
        }
    }

    fn job_body(&self, file_id: &str) -> Value {
        let mut body = json!({"input_file_id": file_id, "endpoint": self.endpoint});
        if let Some(service) = &self.service {
            body["service"] = json!(service);
        }
        if let Some(due) = self.due {
            body["deadline_unix_ms"] = json!(due.unix_ms);
        }
        body
    }

    fn explain(&self, failure: Failure) -> Failure {
        let Some(refusal) = &failure.refusal else {
            let advice = "run the same command again; it continues the same job";
            return failure.with_advice(advice);
        };
        if !refusal.code.contains("conflict") {
            return failure;
        }
        let advice = format!(
            "a job under the key {} exists with other options; \
             give another --key to run the file a second time",
            self.key
        );
        failure.with_advice(advice)
    }
}
