use async_trait::async_trait;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};
use tide::Response;

use crate::admission::{Refusal, RefusalKind};
use crate::entry::caller_request::{invalid_request, CallerRequest};
use crate::entry::route::RouteHandler;
use crate::entry::routes::batches::results_response;
use crate::entry::routes::json::json_response;
use crate::entry::shared::EntryShared;
use crate::schema::state::{
    command, query, query_answer, AppendFile, DeleteFile as DeleteFileCommand, File,
    GetFile as GetFileQuery, ListFiles as ListFilesQuery, ReadFile,
};
use crate::telemetry::Span;

/// Maximum bytes of lines in one append command.
const COMMAND_LIMIT_BYTES: usize = 256 * 1024;
/// Maximum number of files per page.
const PAGE_LIMIT: u32 = 100;
/// Prefix of the ids of files that contain the results of a batch.
const OUTPUT_PREFIX: &str = "output-";

/// `POST /v1/files`: stores a file of JSON lines.
pub struct CreateFile;

/// `GET /v1/files/:id`: the metadata of a file.
pub struct GetFile;

/// `GET /v1/files/:id/content`: the lines of a file, or the results of a batch.
pub struct ReadFileContent;

/// `GET /v1/files`: one page of the customer's files.
pub struct ListFiles;

/// `DELETE /v1/files/:id`: deletes a file.
pub struct DeleteFile;

#[async_trait]
impl RouteHandler for CreateFile {
    fn name(&self) -> &'static str {
        "create_file"
    }

    async fn handle(&self, mut request: CallerRequest, span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let shared = request.shared().clone();
        shared.check_serving("", false)?;
        let name = request.query_parameter("name").unwrap_or_else(|| "batch.jsonl".to_owned());
        let purpose = request.query_parameter("purpose").unwrap_or_else(|| "batch".to_owned());
        let content = request.body_with_limit(shared.settings.limits.file_bytes).await?;
        let lines = non_empty_lines(&content);
        if lines.is_empty() {
            return Err(invalid_request("the file has no lines".to_owned()));
        }
        let file_id = file_id(&customer, &name, &content);
        let mut span = span.child("append_file");
        span.set_number("lines", lines.len() as i64);
        for append in append_commands(&customer, &file_id, &name, &purpose, &lines) {
            let command_id = format!("{file_id}-{}", append.offset_bytes);
            shared.submit(command_id, command::Command::AppendFile(append)).await?;
        }
        Ok(json_response(&file_json(&shared.file(&customer, &file_id).await?)))
    }
}

/// Derives the id of a file from its customer, name and content, so that a repeated upload refers
/// to the same file.
fn file_id(customer: &str, name: &str, content: &[u8]) -> String {
    let mut hash = Sha256::new();
    for part in [customer.as_bytes(), name.as_bytes(), content] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    let hex: String = digest[..12].iter().map(|byte| format!("{byte:02x}")).collect();
    format!("file-{hex}")
}

fn non_empty_lines(content: &[u8]) -> Vec<&[u8]> {
    let lines = content.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines.filter(|line| !line.is_empty()).collect()
}

/// Splits the lines into append commands of bounded size.
fn append_commands(
    customer: &str,
    file_id: &str,
    name: &str,
    purpose: &str,
    lines: &[&[u8]],
) -> Vec<AppendFile> {
    let mut commands: Vec<AppendFile> = Vec::new();
    let mut offset_bytes = 0;
    let mut command_bytes = COMMAND_LIMIT_BYTES;
    for line in lines {
        if command_bytes + line.len() > COMMAND_LIMIT_BYTES {
            command_bytes = 0;
            commands.push(AppendFile {
                customer: customer.to_owned(),
                file_id: file_id.to_owned(),
                name: name.to_owned(),
                offset_bytes,
                lines: Vec::new(),
                last: false,
                purpose: purpose.to_owned(),
            });
        }
        let command = commands.last_mut().expect("the first line starts a command");
        command.lines.push(line.to_vec().into());
        command_bytes += line.len() + 1;
        offset_bytes += line.len() as u64 + 1;
    }
    if let Some(last) = commands.last_mut() {
        last.last = true;
    }
    commands
}

impl EntryShared {
    async fn file(&self, customer: &str, file_id: &str) -> Result<File, Refusal> {
        let get = GetFileQuery { customer: customer.to_owned(), file_id: file_id.to_owned() };
        match self.query(query::Query::GetFile(get)).await? {
            query_answer::Answer::File(file) => Ok(file),
            _ => Err(not_found(file_id)),
        }
    }
}

#[async_trait]
impl RouteHandler for GetFile {
    fn name(&self) -> &'static str {
        "get_file"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let file = request.shared().file(&customer, request.path_parameter("id")).await?;
        Ok(json_response(&file_json(&file)))
    }
}

#[async_trait]
impl RouteHandler for ReadFileContent {
    fn name(&self) -> &'static str {
        "read_file"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let customer = request.authenticate_customer()?;
        let file_id = request.path_parameter("id");
        let shared = request.shared();
        if let Some(job_id) = file_id.strip_prefix(OUTPUT_PREFIX) {
            return results_response(shared, &customer, job_id, 0, u32::MAX).await;
        }
        shared.file(&customer, file_id).await?;
        let mut content = Vec::new();
        let mut from_line = 0;
        loop {
            let read = ReadFile {
                customer: customer.clone(),
                file_id: file_id.to_owned(),
                from_line,
                limit: 1_000,
                limit_bytes: 1024 * 1024,
            };
            let query_answer::Answer::Lines(page) =
                shared.query(query::Query::ReadFile(read)).await?
            else {
                return Err(not_found(file_id));
            };
            for line in &page.lines {
                content.extend_from_slice(line);
                content.push(b'\n');
            }
            from_line += page.lines.len() as u32;
            if !page.more {
                break;
            }
        }
        Ok(Response::builder(200).content_type("application/jsonl").body(content).build())
    }
}

#[async_trait]
impl RouteHandler for ListFiles {
    fn name(&self) -> &'static str {
        "list_files"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let list = ListFilesQuery {
            customer: request.authenticate_customer()?,
            after_file_id: request.query_parameter("after").unwrap_or_default(),
            limit: request.query_number("limit", 20)?.clamp(1, PAGE_LIMIT),
        };
        let answer = request.shared().query(query::Query::ListFiles(list)).await?;
        let query_answer::Answer::Files(page) = answer else { return Err(not_found("")) };
        let files: Vec<_> = page.files.iter().map(file_json).collect();
        Ok(json_response(&json!({"object": "list", "data": files, "has_more": page.more})))
    }
}

#[async_trait]
impl RouteHandler for DeleteFile {
    fn name(&self) -> &'static str {
        "delete_file"
    }

    async fn handle(&self, request: CallerRequest, _span: Span) -> Result<Response, Refusal> {
        let file_id = request.path_parameter("id").to_owned();
        let delete = DeleteFileCommand {
            customer: request.authenticate_customer()?,
            file_id: file_id.clone(),
        };
        let command = command::Command::DeleteFile(delete);
        request.shared().submit(String::new(), command).await?;
        Ok(json_response(&json!({"id": file_id, "object": "file", "deleted": true})))
    }
}

fn not_found(file_id: &str) -> Refusal {
    Refusal::not_run(RefusalKind::NotFound, format!("no file `{file_id}`"))
}

fn file_json(file: &File) -> Value {
    json!({
        "id": file.file_id,
        "object": "file",
        "bytes": file.size_bytes,
        "lines": file.lines,
        "created_at": file.created_at_unix_ms / 1_000,
        "filename": file.name,
        "purpose": file.purpose,
        "status": if file.complete { "processed" } else { "uploaded" },
    })
}
