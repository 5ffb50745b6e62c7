use std::str::FromStr;

/// A UTC time written as `2026-12-05T06:00:00Z`.
///
/// A time relative to now would differ between the tries of one submission, and the second try
/// would then conflict with the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DueTime {
    pub(super) unix_ms: u64,
}

impl FromStr for DueTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        parse(text).map(|seconds| Self { unix_ms: seconds * 1_000 }).ok_or_else(|| {
            format!("'{text}' is not a UTC time such as 2026-12-05T06:00:00Z after 1970")
        })
    }
}

fn parse(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let [year, month, day] = numbers(date, '-', [4, 2, 2])?;
    let [hour, minute, second] = numbers(time, ':', [2, 2, 2])?;
    let is_valid = year >= 1970
        && (1..=12).contains(&month)
        && (1..=days_in(year, month)).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    let days = is_valid.then(|| days_before(year, month) + day - 1)?;
    Some(days * 86_400 + hour * 3_600 + minute * 60 + second)
}

fn numbers(text: &str, separator: char, digits: [usize; 3]) -> Option<[u64; 3]> {
    let mut parts = text.split(separator);
    let mut numbers = [0; 3];
    for (number, digits) in numbers.iter_mut().zip(digits) {
        let part = parts.next()?;
        if part.len() != digits || !part.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        *number = part.parse().ok()?;
    }
    parts.next().is_none().then_some(numbers)
}

fn days_before(year: u64, month: u64) -> u64 {
    let leap_days = |year: u64| year / 4 - year / 100 + year / 400;
    let years = (year - 1970) * 365 + leap_days(year - 1) - leap_days(1969);
    years + (1..month).map(|month| days_in(year, month)).sum::<u64>()
}

fn days_in(year: u64, month: u64) -> u64 {
    let is_leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    match month {
        2 if is_leap => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}
