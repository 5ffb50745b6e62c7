use pico_args::Arguments;

use crate::cmd::{Console, Failure};

pub(super) const OVERVIEW: &str = "\
damaskhoist: command line of the damaskhoist serving system

Usage: damaskhoist COMMAND [OPTIONS]

Commands:
  entries         show the addresses to send requests to
  ask             send one online request and print its answer as it comes
  submit          submit a file of batch items and follow the job
  job             show, watch, cancel or list batch jobs
  results         read the results of a batch job
  config          show or change the configuration
  query           run statements of the query language
  drain           take a host out of service without cutting a request
  status          show the fleet at a glance
  trace           show the hops of a request from span files
  explain         show the decisions on a request or a batch job from log files
  placement       show where a request would go now, and why, without sending it
  check-settings  check the settings file of a host
  help COMMAND    show the help of a command

Common options:
  --entry LIST        addresses of entry hosts, separated by commas; tried in order
                      (or the environment variable DAMASKHOIST_ENTRY)
  --token-file FILE   file with the token to show
  --output FORMAT     table (default) or json
  --timeout SECONDS   longest wait for an answer, 10 by default

Exit codes:
  0 done   1 failed   2 wrong usage   3 refused by the system   4 no host reachable

Example:
  damaskhoist status --entry 10.1.0.4:7400";

const PAGES: &[(&str, &str)] = &[
    (
        "entries",
        "\
Usage: damaskhoist entries [--zone ZONE] [--region REGION]

Shows the addresses to send requests to, nearest first, and how long they may be kept.

Example:
  damaskhoist entries --zone Santander --entry 10.1.0.4:7400",
    ),
    (
        "ask",
        "\
Usage: damaskhoist ask --service NAME [OPTIONS] TEXT

Sends one online request and prints the answer as it comes. TEXT '-' reads standard input.

  --service NAME       service or model to ask
  --system TEXT        instructions that go before TEXT
  --max-tokens N       bound on the length of the answer
  --key KEY            idempotency key: the same key brings the same answer, run once
  --endpoint PATH      /v1/chat/completions by default
  --show-id            show the request id on standard error, for 'damaskhoist trace'

Without --key a new one is made; an answer that breaks off names it, for the next try.

Example:
  damaskhoist ask --service engraver-llm 'Is the 40 cm brass plate in stock?'",
    ),
    (
        "submit",
        "\
Usage: damaskhoist submit [OPTIONS] FILE

Submits a file of batch items (JSON lines with custom_id and body) and follows the job until it is
over. The job id goes to standard output, progress to standard error.

  --service NAME    service that runs the items; else each item's model decides
  --endpoint PATH   path each item is sent to, /v1/chat/completions by default
  --due TIME        latest end as UTC time, such as 2026-12-05T06:00:00Z
  --key KEY         idempotency key; derived from the file's content by default
  --name NAME       name of the file, by default its own
  --detach          return once the job is accepted
  --patience S      seconds to go on without any host answering, 300 by default

The command may be cut off and run again: the same file, or the same --key, is the same job. To run
a file a second time on purpose, give another --key. Exits with 1 when items failed.

Example:
  damaskhoist submit commissions.jsonl --service engraver-llm --due 2026-12-05T06:00:00Z",
    ),
    (
        "job",
        "\
Usage: damaskhoist job show ID
       damaskhoist job watch ID [--patience S]
       damaskhoist job cancel ID
       damaskhoist job list [--after ID] [--limit N]

Shows, follows, cancels or lists batch jobs. An item that finished before a cancel stays finished.

Example:
  damaskhoist job watch j-17",
    ),
    (
        "results",
        "\
Usage: damaskhoist results ID [OPTIONS]

Prints the results of a batch job as JSON lines, one an item, in the order of the file.

  --from N     index of the first item, 0 by default
  --limit N    largest number of items
  --failed     only items that failed
  --out FILE   write to a file, which appears only once it is complete

Example:
  damaskhoist results j-17 --failed",
    ),
    (
        "config",
        "\
Usage: damaskhoist config show
       damaskhoist config apply FILE [--base VERSION] [--command-id ID]

Shows the configuration, or applies edits to it. FILE holds {\"base_version\": N, \"edits\": [...]}
or only the list of edits. The change is accepted only if VERSION is still the newest one; 'current'
as VERSION reads the newest first, which gives up that protection.

The command id is derived from the content, so that a resend takes effect once.

Example:
  damaskhoist config apply weights.json --base 41",
    ),
    (
        "query",
        "\
Usage: damaskhoist query STATEMENT
       damaskhoist query --file FILE
       damaskhoist query < FILE

Runs statements of the query language (docs/query-language.md), one a line. Without a statement and
a file they are read from standard input, with a prompt on a terminal.

Example:
  damaskhoist query 'show items where job = j-17 and state = failed order by attempts desc limit 20'",
    ),
    (
        "drain",
        "\
Usage: damaskhoist drain [--wait] [--host NAME]

Drains the one host named by --entry: it leaves the addresses given to callers, ends its streams and
stops. --host NAME sends the order through any entry host instead. --wait returns when the host no
longer answers, and goes with --entry.

Example:
  damaskhoist drain --wait --entry 10.1.0.7:7400",
    ),
    (
        "status",
        "\
Usage: damaskhoist status [--watch] [--counters]

Shows the fleet at a glance. --watch repeats it every two seconds; --counters adds the counters of
the host asked.

Example:
  damaskhoist status --entry 10.1.0.4:7400",
    ),
    (
        "trace",
        "\
Usage: damaskhoist trace ID --span-file FILE [--span-file FILE ...]

Shows the hops of a request as a tree with their times, from the span files of the hosts. ID is a
trace id, or the value of a span's request_id.

Example:
  damaskhoist trace 0af7651916cd43dd8448eb211c80319c --span-file spans-1.jsonl",
    ),
    (
        "explain",
        "\
Usage: damaskhoist explain ID --log-file FILE [--log-file FILE ...] [--item N]

Shows what each host decided on a request or a batch job, in the order of time, from the lines that the
hosts wrote to standard output. --item keeps the lines of one item of a job; --output json prints the
lines themselves.

Example:
  damaskhoist explain 9c41d07be2a35f68 --log-file entry-1.log --log-file entry-2.log",
    ),
    (
        "placement",
        "\
Usage: damaskhoist placement --metrics ADDRESS --host NAME --path PATH [--team NAME] [OPTIONS]

Asks an entry host of a routed fleet where a request with this host name and path would go now, and why:
its route, what the quota of the team leaves, how much leaves the zone, and the part of the requests that
each upstream gets or why it is left out, with the age of what the host knows. Nothing is sent and
no quota is used. --output json prints the report itself.

Example:
  damaskhoist placement --metrics 10.1.0.4:9464 --host shop.example --path /counter/1 --team gift-shops",
    ),
    (
        "check-settings",
        "\
Usage: damaskhoist check-settings FILE

Checks the settings file of a host and shows every broken rule at once, with the place, the value
and the rule. Prints nothing when the file is good.

Example:
  damaskhoist check-settings /etc/damaskhoist/host.json",
    ),
];

pub(super) fn run(mut arguments: Arguments, console: &mut Console) -> Result<(), Failure> {
    let name: Option<String> = arguments.opt_free_from_str()?;
    match name {
        Some(name) => show(&name, console),
        None => console.line(OVERVIEW),
    }
}

pub(super) fn show(name: &str, console: &mut Console) -> Result<(), Failure> {
    let Some((_, page)) = PAGES.iter().find(|(known, _)| *known == name) else {
        return Err(unknown(name));
    };
    console.line(page)
}

pub(super) fn unknown(name: &str) -> Failure {
    let message = format!("there is no command '{name}'");
    Failure::usage(message, "run 'damaskhoist help' to see the commands")
}
