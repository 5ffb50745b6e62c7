use std::fmt;

/// A table that `show` reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TableName {
    /// Hosts of the fleet.
    Hosts,
    /// Upstreams with their load.
    Upstreams,
    /// Batch jobs.
    Jobs,
    /// Items of batch jobs.
    Items,
    /// Uploaded files.
    Files,
    /// Services of the configuration.
    Services,
    /// Customers of the configuration.
    Customers,
    /// Version and policy of the configuration.
    Configuration,
    /// Counters that hosts report.
    Counters,
}

impl TableName {
    /// Every table.
    pub const ALL: [Self; 9] = [
        Self::Hosts,
        Self::Upstreams,
        Self::Jobs,
        Self::Items,
        Self::Files,
        Self::Services,
        Self::Customers,
        Self::Configuration,
        Self::Counters,
    ];

    /// The name as written in a statement.
    pub fn name(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Upstreams => "upstreams",
            Self::Jobs => "jobs",
            Self::Items => "items",
            Self::Files => "files",
            Self::Services => "services",
            Self::Customers => "customers",
            Self::Configuration => "configuration",
            Self::Counters => "counters",
        }
    }
}

impl fmt::Display for TableName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
