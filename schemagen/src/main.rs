//! Generates the Rust types of the schema into `src/generated` and `standin/src/generated`.
//!
//! `schemagen` writes the files; `schemagen --check` compares them with what is committed.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use miette::{miette, Context, IntoDiagnostic, Result};
use prost::Message;

const SCHEMAS: [&str; 7] = [
    "settings.proto",
    "config.proto",
    "state.proto",
    "routes.proto",
    "ledger.proto",
    "peer.proto",
    "explain.proto",
];
/// Packages that are also written and read as JSON.
const JSON_PACKAGES: [&str; 3] =
    [".damaskhoist.settings", ".damaskhoist.config", ".damaskhoist.explain"];

const STANDIN_SCHEMA: &str = "standin.proto";
const PLATFORM_SCHEMA: &str = "platform.proto";

fn main() -> ExitCode {
    let check = std::env::args().any(|argument| argument == "--check");
    match run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(check: bool) -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let schema = root.join("schema");
    update(&root.join("src/generated"), check, |output| generate(&schema, output))?;
    update(&root.join("standin/src/generated"), check, |output| generate_standin(&schema, output))?;
    let schema = root.join("platform/schema");
    update(&root.join("platform/src/generated"), check, |output| generate_platform(&schema, output))
}

fn update(committed: &Path, check: bool, generate: impl FnOnce(&Path) -> Result<()>) -> Result<()> {
    let scratch = tempfile::tempdir().into_diagnostic()?;
    generate(scratch.path())?;
    for path in generated_files(scratch.path())? {
        let name = path.file_name().expect("a generated file has a name");
        let target = committed.join(name);
        let new = fs::read(&path).into_diagnostic()?;
        if check {
            if fs::read(&target).unwrap_or_default() != new {
                return Err(miette!("{} is not current: run schemagen", target.display()));
            }
            continue;
        }
        fs::write(&target, new).into_diagnostic().wrap_err("writing generated code")?;
    }
    Ok(())
}

fn generate(schema: &Path, output: &Path) -> Result<()> {
    let files = SCHEMAS.map(|name| schema.join(name));
    let descriptors = protox::compile(files, [schema])?;
    prost_build::Config::new()
        .out_dir(output)
        .btree_map(["."])
        .bytes(["."])
        // Its keys must not get into logs.
        .skip_debug([".damaskhoist.routes.Team"])
        .compile_fds(descriptors.clone())
        .into_diagnostic()?;
    pbjson_build::Builder::new()
        .register_descriptors(&descriptors.encode_to_vec())
        .into_diagnostic()?
        .out_dir(output)
        .btree_map(["."])
        .preserve_proto_field_names()
        .build(&JSON_PACKAGES)
        .into_diagnostic()?;
    Ok(())
}

/// Uses plain serde, because the JSON that protobuf prescribes writes 64-bit numbers as strings
/// and leaves out default values, and upstreams do neither.
fn generate_standin(schema: &Path, output: &Path) -> Result<()> {
    let descriptors = protox::compile([schema.join(STANDIN_SCHEMA)], [schema])?;
    prost_build::Config::new()
        .out_dir(output)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .type_attribute(".", "#[serde(default)]")
        .compile_fds(descriptors)
        .into_diagnostic()?;
    Ok(())
}

/// Uses plain serde for the same reason as the stand-in; field names are those of the platform.
fn generate_platform(schema: &Path, output: &Path) -> Result<()> {
    let descriptors = protox::compile([schema.join(PLATFORM_SCHEMA)], [schema])?;
    prost_build::Config::new()
        .out_dir(output)
        .btree_map(["."])
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .type_attribute(".", "#[serde(rename_all = \"camelCase\")]")
        .field_attribute("Route.split", "#[serde(default)]")
        .field_attribute("Configuration.tenants", "#[serde(default)]")
        .field_attribute("Tenant.api_keys", "#[serde(default)]")
        .skip_debug([".damaskhoist.platform.Tenant"])
        .field_attribute(".damaskhoist.platform.Route.kind", "#[serde(rename = \"type\")]")
        .compile_fds(descriptors)
        .into_diagnostic()?;
    Ok(())
}

fn generated_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).into_diagnostic()? {
        files.push(entry.into_diagnostic()?.path());
    }
    files.sort();
    Ok(files)
}
