//! Guards against decision records that docs/telemetry.md does not explain.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const EVENT_FIELD: &str = "event = \"";

#[test]
fn every_event_is_in_the_list() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("docs/telemetry.md")).unwrap();
    let mut events = BTreeSet::new();
    for folder in ["src", "platform/src"] {
        collect(&root.join(folder), &mut events);
    }
    assert!(events.len() > 40, "{events:?}");
    for event in events {
        assert!(page.contains(&format!("| `{event}` |")), "{event} is not in docs/telemetry.md");
    }
}

fn collect(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap_or_default();
        for part in text.split(EVENT_FIELD).skip(1) {
            events.extend(part.split('"').next().map(str::to_owned));
        }
    }
}
