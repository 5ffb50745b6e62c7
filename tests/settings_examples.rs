//! Guards against example settings files, which the README refers to, that are no longer valid.

use std::path::Path;

use damaskhoist::settings::HostSettings;
use rstest::rstest;

#[rstest]
#[case("santander-control")]
#[case("torrelavega-control")]
#[case("pamplona-control")]
#[case("santander-entry")]
#[case("pamplona-entry")]
fn example_settings_are_valid(#[case] name: &str) {
    let file = Path::new("examples/settings").join(name).with_extension("json");
    let settings = HostSettings::read(&file).expect("the example file should be valid");
    assert_eq!(settings.host_id, name);
}
