//! Faults of an INI text, with their places.

use std::fmt;

use smol_str::SmolStr;

/// One fault: its place, the problem, and what to write instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IniFault {
    /// The line, counted from 1; `None` if something is missing from the text.
    pub line: Option<usize>,
    /// The section; empty for keys before the first section.
    pub section: SmolStr,
    /// The key; empty if the fault concerns the section itself.
    pub key: SmolStr,
    /// The problem.
    pub problem: String,
    /// What to write instead.
    pub advice: String,
}

/// Every fault of one text.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct IniFaults {
    /// The file or other source of the text.
    pub file: SmolStr,
    /// The faults, sorted by line; those without a line come last.
    pub faults: Vec<IniFault>,
}

impl fmt::Display for IniFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            f.write_str(&self.file)?;
            if let Some(line) = fault.line {
                write!(f, ":{line}")?;
            }
            f.write_str(":")?;
            if !fault.section.is_empty() {
                write!(f, " [{}]", fault.section)?;
            }
            if !fault.key.is_empty() {
                write!(f, " {}", fault.key)?;
            }
            let colon = if fault.section.is_empty() && fault.key.is_empty() {
                ""
            } else {
                ":"
            };
            write!(f, "{colon} {}; {}", fault.problem, fault.advice)?;
        }
        Ok(())
    }
}
