use std::path::PathBuf;

use pico_args::Arguments;

use crate::cmd::options::{finish, positional};
use crate::cmd::{Console, Failure, TextTable};
use crate::settings::HostSettings;

pub(super) fn run(mut arguments: Arguments, console: &mut Console) -> Result<(), Failure> {
    let file = PathBuf::from(positional(&mut arguments, "FILE")?);
    finish(arguments)?;
    let Err(errors) = HostSettings::read(&file) else { return Ok(()) };
    let mut table = TextTable::new(["path", "value", "rule"]);
    let count = errors.0.len();
    for error in errors.0 {
        table.push(vec![error.path, error.value, error.rule]);
    }
    console.write(table.to_string().as_bytes())?;
    let message = format!("{}: {count} broken rule(s)", file.display());
    let advice = "docs/settings.md lists every field with its unit, default and bounds";
    Err(Failure::failed(message, advice))
}
