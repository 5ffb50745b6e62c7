use pico_args::Arguments;
use tide::http::Url;

use crate::cmd::json_view::describe;
use crate::cmd::options::{finish, Options, OutputFormat};
use crate::cmd::{Call, Console, EntryClient, Failure};

pub(super) async fn run(
    mut arguments: Arguments,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let options = Options::take(&mut arguments)?;
    let zone: Option<String> = arguments.opt_value_from_str("--zone")?;
    let region: Option<String> = arguments.opt_value_from_str("--region")?;
    finish(arguments)?;
    let parameters = [("zone", zone), ("region", region)];
    let path = with_parameters("/v1/entries", &parameters);
    show(&path, &options, console).await
}

/// Prints the JSON under a path in the form the options ask for.
pub(super) async fn show(
    path: &str,
    options: &Options,
    console: &mut Console<'_>,
) -> Result<(), Failure> {
    let answer = EntryClient::new(options).json(Call::get(path)).await?;
    match options.output {
        OutputFormat::Json => console.line(&answer.to_string()),
        OutputFormat::Table => console.line(&describe(&answer)),
    }
}

/// Path with the parameters that have a value, encoded for a URL.
pub(super) fn with_parameters(path: &str, parameters: &[(&str, Option<String>)]) -> String {
    let mut url = Url::parse("http://host").expect("the URL is constant");
    url.set_path(path);
    for (name, value) in parameters {
        let Some(value) = value else { continue };
        url.query_pairs_mut().append_pair(name, value);
    }
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}
