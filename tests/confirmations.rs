//! How long ago a host knew that its routes or its configuration were the newest.

use std::time::Duration;

use damaskhoist::boot_instant::BootInstant;
use damaskhoist::configuration::{Confirmation, LastConfirmation};
use damaskhoist::gateway::{RefusalKind, RoutesState};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn confirmation(version: u64, confirmed_at: BootInstant) -> Confirmation {
    Confirmation { version, confirmed_at, source: "10.0.0.1:7".into() }
}

/// Guards against a slow control host whose old confirmation hides that there is a newer version.
#[test]
fn an_older_confirmation_does_not_replace_a_newer_one() {
    let (last, now) = (LastConfirmation::default(), BootInstant::now());
    assert_eq!(last.age(1, now), None);
    last.record(confirmation(1, now));
    assert_eq!(last.age(1, now + SECOND), Some(SECOND));
    last.record(confirmation(2, now + SECOND));
    last.record(confirmation(1, now));
    assert_eq!(last.age(1, now + SECOND), None);
    assert_eq!(last.age(2, now + 2 * SECOND), Some(SECOND));
}

/// Guards against a 404 by routes that may lack what was acknowledged over 2.5 s ago.
#[rstest]
#[case::none_yet(0, Some(0), RefusalKind::NotRun)]
#[case::current(7, Some(1_500), RefusalKind::NoRoute)]
#[case::too_old(7, Some(2_500), RefusalKind::NotRun)]
#[case::never_confirmed(7, None, RefusalKind::NotRun)]
fn only_current_routes_show_that_a_route_is_missing(
    #[case] version: u64,
    #[case] age_ms: Option<u64>,
    #[case] expected: RefusalKind,
) {
    let age = age_ms.map(Duration::from_millis);
    let refusal = RoutesState { version, age, source: String::new() }.missing_route();
    assert_eq!(refusal.kind, expected);
    assert_eq!(refusal.retry_after.is_some(), expected == RefusalKind::NotRun);
}

/// Guards against routes that look younger than they are because a host stands still while it passes on the age.
#[test]
fn a_confirmation_that_is_passed_on_is_not_younger() {
    let (confirmed_at, arrived) =
        (BootInstant::now().checked_sub(SECOND).unwrap(), BootInstant::now());
    let passed_on = confirmation(1, confirmed_at).passed_on(arrived);
    let known_by = arrived + Duration::from_millis(passed_on.held_ms);
    assert!(known_by <= confirmed_at + Duration::from_millis(passed_on.age_ms), "{passed_on:?}");
}
