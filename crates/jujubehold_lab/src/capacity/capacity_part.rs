//! The parts of the capacity experiment, each of which can run alone.

/// A part of the experiment, named after what it measures or the size that it varies. A quiet host
/// is one without callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityPart {
    /// Parsing and storing a whole configuration, by services.
    Configuration,
    /// Selecting owners, by hosts of a failure domain.
    Ownership,
    /// Quiet hosts, by hosts of one failure domain.
    Hosts,
    /// Quiet hosts, by failure domains.
    Domains,
    /// Quiet hosts, by services that they watch.
    Services,
    /// Idle callers.
    Callers,
    /// Changes of configuration a second.
    Changes,
}

impl CapacityPart {
    /// Every part, in the order in which they are run.
    pub const ALL: [Self; 7] = [
        Self::Configuration,
        Self::Ownership,
        Self::Hosts,
        Self::Domains,
        Self::Services,
        Self::Callers,
        Self::Changes,
    ];

    /// Returns the name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Ownership => "ownership",
            Self::Hosts => "hosts",
            Self::Domains => "domains",
            Self::Services => "services",
            Self::Callers => "callers",
            Self::Changes => "changes",
        }
    }
}
