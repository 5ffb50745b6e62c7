//! Guards against events of decision records that are missing in `docs/telemetry.md`.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Start of the event name in a log call.
const EVENT_FIELD: &str = "event = \"";

#[test]
fn the_page_documents_every_event() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/telemetry.md")).unwrap();
    let mut events = BTreeSet::new();
    for folder in ["src", "platform/src"] {
        collect_events(&root.join(folder), &mut events);
    }
    assert!(events.len() > 40, "{events:?}");
    for event in events {
        assert!(page.contains(&format!("| `{event}` |")), "{event} is not in docs/telemetry.md");
    }
}

/// Adds the event names of all log calls in the files under `folder` to `events`.
fn collect_events(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_events(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap_or_default();
        for part in text.split(EVENT_FIELD).skip(1) {
            events.extend(part.split('"').next().map(str::to_owned));
        }
    }
}
