use proptest::test_runner::{Config, RngSeed};

/// Fixed seed, unless `PROPTEST_RNG_SEED` names another; `PROPTEST_CASES` sets the cases.
pub fn config() -> Config {
    let mut config = Config { failure_persistence: None, ..Config::default() };
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}
