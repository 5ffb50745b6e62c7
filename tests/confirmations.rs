//! How long ago a host knew that its routes or its configuration were the newest.

use std::time::{Duration, Instant};

use damaskhoist::configuration::{Confirmation, LastConfirmation};

const SECOND: Duration = Duration::from_secs(1);

fn confirmation(version: u64, confirmed_at: Instant) -> Confirmation {
    Confirmation { version, confirmed_at, source: "10.0.0.1:7".into() }
}

/// Guards against a slow control host whose old confirmation hides that there is a newer version.
#[test]
fn an_older_confirmation_does_not_replace_a_newer_one() {
    let (last, now) = (LastConfirmation::default(), Instant::now());
    assert_eq!(last.age(1, now), None);
    last.record(confirmation(1, now));
    assert_eq!(last.age(1, now + SECOND), Some(SECOND));
    last.record(confirmation(2, now + SECOND));
    last.record(confirmation(1, now));
    assert_eq!(last.age(1, now + SECOND), None);
    assert_eq!(last.age(2, now + 2 * SECOND), Some(SECOND));
}
