use std::path::PathBuf;

use pico_args::Arguments;
use serde_json::{json, Value};

use crate::cmd::config_edits::ConfigEdits;
use crate::cmd::entries::show;
use crate::cmd::options::{finish, positional, Options, OutputFormat};
use crate::cmd::{Call, Console, EntryClient, Failure};
use crate::schema::config::Configuration;

const PATH: &str = "/v1/admin/configuration";

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let action = arguments.subcommand()?.unwrap_or_default();
    let options = Options::take(&mut arguments)?;
    match action.as_str() {
        "show" => {
            finish(arguments)?;
            show(PATH, &options, console).await
        }
        "apply" => apply(arguments, &options, console).await,
        other => Err(Failure::usage(
            format!("'{other}' is not an action on the configuration"),
            "use show or apply",
        )),
    }
}

async fn apply(
    mut arguments: Arguments,
    options: &Options,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let base: Option<String> = arguments.opt_value_from_str("--base")?;
    let command_id: Option<String> = arguments.opt_value_from_str("--command-id")?;
    let path = PathBuf::from(positional(&mut arguments, "FILE")?);
    finish(arguments)?;
    let edits = ConfigEdits::read(&path)?;
    let mut client = EntryClient::new(options);
    let base_version = base_version(base.as_deref(), &edits, &mut client).await?;
    let command_id = command_id.unwrap_or_else(|| edits.command_id(base_version));
    let body = json!({
        "command_id": command_id,
        "base_version": base_version,
        "edits": edits.edits,
    })
    .to_string();
    // The command id makes a resend take effect once.
    let call = Call { is_idempotent: true, ..Call::post(PATH, body.as_bytes()) };
    let answer = match client.json(call).await {
        Ok(answer) => answer,
        Err(failure) => return Err(explain(failure, &edits, base_version, &mut client).await),
    };
    if options.output == OutputFormat::Json {
        console.line(&answer.to_string())?;
    }
    Ok(())
}

async fn base_version(
    base: Option<&str>,
    edits: &ConfigEdits,
    client: &mut EntryClient,
) -> Result<u64, Failure> {
    let advice = "run 'damaskhoist config show', look at what your edits change, and give its \
                  version with --base";
    match (base, edits.base_version) {
        (Some("current"), _) => Ok(current(client).await?.version),
        (Some(text), in_file) => {
            let version = text
                .parse()
                .map_err(|_| Failure::usage(format!("'{text}' is not a version"), advice))?;
            if in_file.is_some_and(|in_file| in_file != version) {
                let message = "--base and the file's base_version differ";
                return Err(Failure::usage(message, advice));
            }
            Ok(version)
        }
        (None, Some(version)) => Ok(version),
        (None, None) => {
            Err(Failure::usage("the version the edits are based on is missing", advice))
        }
    }
}

async fn current(client: &mut EntryClient) -> Result<Configuration, Failure> {
    let answer = client.json(Call::get(PATH)).await?;
    let configuration: &Value = answer.get("configuration").unwrap_or(&answer);
    serde_path_to_error::deserialize(configuration).map_err(|error| {
        let message = format!("the configuration cannot be read: {error}");
        Failure::failed(message, "use a damaskhoist command of the same version as the hosts")
    })
}

/// Explains a lost race: what is in force now, against what the edits want.
async fn explain(
    failure: Failure,
    edits: &ConfigEdits,
    base_version: u64,
    client: &mut EntryClient,
) -> Failure {
    let Some(refusal) = &failure.refusal else {
        let advice = "the change may be in force; run the same command again: it takes effect once";
        return failure.with_advice(advice);
    };
    if refusal.code != "version_conflict" {
        return failure;
    }
    let Ok(current) = current(client).await else { return failure };
    if current.version <= base_version {
        // The host that answered has not received the winning change yet.
        return failure.with_advice("run 'damaskhoist config show' in a second, then decide again");
    }
    let standing = edits.compare(&current).join("\n  ");
    let version = current.version;
    failure.with_advice(format!(
        "somebody changed the configuration first: it is at version {version}, your edits are \
         based on {base_version} and nothing of them took effect.\nIn force now:\n  {standing}\n\
         Adjust the edits if needed and apply them with --base {version}"
    ))
}
