//! One section of an INI text.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// One section; keys are taken out as they are read, so that what is left is unknown.
#[derive(Debug, Clone)]
pub struct IniSection {
    /// The section's name; empty outside of any.
    pub name: SmolStr,
    /// The line of the section's head; `None` when the text lacks the section.
    pub(crate) line: Option<usize>,
    pub(crate) entries: BTreeMap<String, String>,
    /// The line of each key, kept when the key is taken out.
    pub(crate) key_lines: BTreeMap<String, usize>,
}

impl IniSection {
    /// A section that the text lacks.
    pub(crate) fn absent(name: &str) -> Self {
        Self {
            name: name.into(),
            line: None,
            entries: BTreeMap::new(),
            key_lines: BTreeMap::new(),
        }
    }

    /// Whether the text has the section.
    pub fn is_present(&self) -> bool {
        self.line.is_some()
    }

    /// Whether the section has `key`, and it has not been taken out.
    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// The name after `kind` and a space, for sections that carry a name of their own.
    pub(crate) fn own_name(&self, kind: &str) -> Option<SmolStr> {
        self.name
            .strip_prefix(kind)?
            .strip_prefix(' ')
            .map(|name| SmolStr::new(name.trim()))
    }
}
