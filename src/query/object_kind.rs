use std::fmt;

/// A kind of object that `describe` reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectKind {
    /// A host by its id.
    Host,
    /// An upstream by its id.
    Upstream,
    /// A batch job by its id.
    Job,
    /// A file by its id.
    File,
    /// A service by its name.
    Service,
    /// A customer by its name.
    Customer,
    /// An online request by its id.
    Request,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Host,
        Self::Upstream,
        Self::Job,
        Self::File,
        Self::Service,
        Self::Customer,
        Self::Request,
    ];

    /// The kind as written in a statement.
    pub fn name(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Upstream => "upstream",
            Self::Job => "job",
            Self::File => "file",
            Self::Service => "service",
            Self::Customer => "customer",
            Self::Request => "request",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
