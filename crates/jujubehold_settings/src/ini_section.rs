//! One section of an INI text.

use std::collections::BTreeMap;

use smol_str::SmolStr;

/// One section. Reading a key removes it, so the keys that remain at the end are unknown.
#[derive(Debug, Clone)]
pub struct IniSection {
    /// The section's name; empty for keys before the first section.
    pub name: SmolStr,
    /// The line of the section's header; `None` if the text has no such section.
    pub(crate) line: Option<usize>,
    /// The values that have not been read yet, by key.
    pub(crate) entries: BTreeMap<String, String>,
    /// The line of each key; kept after the key has been read.
    pub(crate) key_lines: BTreeMap<String, usize>,
}

impl IniSection {
    /// Creates an empty section that stands for one missing from the text.
    pub(crate) fn absent(name: &str) -> Self {
        Self {
            name: name.into(),
            line: None,
            entries: BTreeMap::new(),
            key_lines: BTreeMap::new(),
        }
    }

    /// Returns whether the text has the section.
    pub fn is_present(&self) -> bool {
        self.line.is_some()
    }

    /// Returns whether the section has `key` and it has not been read yet.
    pub fn has(&self, key: &str) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns the name in a header of the form `[KIND NAME]`, or `None` if the section is not of
    /// this kind.
    pub(crate) fn name_after_kind(&self, kind: &str) -> Option<SmolStr> {
        self.name
            .strip_prefix(kind)?
            .strip_prefix(' ')
            .map(|name| SmolStr::new(name.trim()))
    }
}
