/// The key of a request, as it arrived.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CallerKey<'a> {
    /// The request carries none.
    Missing,
    /// The request carries one.
    One(&'a str),
    /// The request carries several, so it is not clear which one holds.
    Several,
}

impl<'a> CallerKey<'a> {
    /// Collects the values of the header that carries the key.
    pub fn from_values(mut values: impl Iterator<Item = &'a str>) -> Self {
        match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some(key), None) => Self::One(key),
            (Some(_), Some(_)) => Self::Several,
        }
    }
}

/// Leaves the key out, as it must not get into logs.
impl std::fmt::Debug for CallerKey<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Missing => "Missing",
            Self::One(_) => "One(..)",
            Self::Several => "Several",
        })
    }
}
