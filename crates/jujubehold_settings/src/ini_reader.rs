//! Reading of INI texts that collects every fault.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;
use smol_str::SmolStr;

use crate::ini_fault::{IniFault, IniFaults};

/// A parsed text, with the faults found so far.
#[derive(Debug)]
pub struct IniReader {
    file: SmolStr,
    sections: Vec<IniSection>,
    faults: Vec<IniFault>,
}

/// One section; keys are taken out as they are read, so that what is left is unknown.
#[derive(Debug, Clone)]
pub struct IniSection {
    /// The section's name; empty outside of any.
    pub name: SmolStr,
    entries: BTreeMap<String, String>,
}

impl IniReader {
    /// Parses `text`, which came from `file`.
    ///
    /// # Errors
    /// The text is not INI at all.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniFaults> {
        let ini = Ini::load_from_str(text).map_err(|error| IniFaults {
            file: file.into(),
            faults: vec![IniFault {
                section: SmolStr::default(),
                key: SmolStr::default(),
                problem: format!("line {}: {}", error.line, error.msg),
                advice: "write [section] lines and key = value lines".into(),
            }],
        })?;
        let mut reader = Self {
            file: file.into(),
            sections: Vec::new(),
            faults: Vec::new(),
        };
        let mut seen = BTreeSet::new();
        for (name, properties) in &ini {
            let name = SmolStr::new(name.unwrap_or_default());
            let entries: BTreeMap<_, _> = properties
                .iter()
                .map(|(key, value)| (key.to_owned(), value.to_owned()))
                .collect();
            if name.is_empty() && entries.is_empty() {
                continue;
            }
            if !seen.insert(name.clone()) {
                reader.fault(&name, "", "the section stands twice", "keep one of them");
            }
            if entries.len() < properties.len() {
                reader.fault(&name, "", "a key stands twice", "keep one of them");
            }
            reader.sections.push(IniSection { name, entries });
        }
        Ok(reader)
    }

    /// Takes out the section called `name`; an empty one when the text has none.
    pub fn take_section(&mut self, name: &str) -> IniSection {
        match self
            .sections
            .iter()
            .position(|section| section.name == name)
        {
            Some(index) => self.sections.remove(index),
            None => IniSection {
                name: name.into(),
                entries: BTreeMap::new(),
            },
        }
    }

    /// Takes out every section whose name is `kind`, a space, and a name of its own; returns them
    /// by that name.
    pub fn take_kind(&mut self, kind: &str) -> Vec<(SmolStr, IniSection)> {
        let (taken, kept) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|section| own_name(section, kind).is_some());
        self.sections = kept;
        let taken: Vec<IniSection> = taken;
        taken
            .into_iter()
            .filter_map(|section| Some((own_name(&section, kind)?, section)))
            .collect()
    }

    /// Reads a value of a type with a text form, or keeps `default`.
    pub fn value<T: FromStr>(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: T,
        expected: &str,
    ) -> T {
        let Some(text) = section.entries.remove(key) else {
            return default;
        };
        if let Ok(value) = text.parse() {
            return value;
        }
        let problem = format!("{text:?} is not {expected}");
        self.fault(&section.name, key, &problem, &format!("write {expected}"));
        default
    }

    /// Reads a whole number of milliseconds, or keeps `default`; `key` ends in `_ms`.
    pub fn duration_ms(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: Duration,
    ) -> Duration {
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        let expected = "a whole number of milliseconds without a unit, such as 250";
        Duration::from_millis(self.value(section, key, default_ms, expected))
    }

    /// Reads a text, or `None` when the key is not there.
    pub fn text(&mut self, section: &mut IniSection, key: &str) -> Option<SmolStr> {
        section.entries.remove(key).map(SmolStr::from)
    }

    /// Takes every key left in the section, for sections whose keys are names.
    pub fn take_entries(&mut self, section: &mut IniSection) -> BTreeMap<String, String> {
        std::mem::take(&mut section.entries)
    }

    /// Notes a fault.
    pub fn fault(&mut self, section: &str, key: &str, problem: &str, advice: &str) {
        self.faults.push(IniFault {
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            advice: advice.into(),
        });
    }

    /// Notes every key that is left in a section; `known` lists the keys that it can have.
    pub fn finish_section(&mut self, section: IniSection, known: &[&str]) {
        for key in section.entries.into_keys() {
            let advice = format!("write one of: {}", known.join(", "));
            self.fault(&section.name, &key, "the key is unknown", &advice);
        }
    }

    /// Ends the reading of the text.
    ///
    /// # Errors
    /// Names every fault found, and every section that was not taken out.
    pub fn finish(mut self, known_sections: &[&str]) -> Result<(), IniFaults> {
        for section in std::mem::take(&mut self.sections) {
            let advice = format!("write one of: {}", known_sections.join(", "));
            self.fault(&section.name, "", "the section is unknown", &advice);
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(IniFaults {
            file: self.file,
            faults: self.faults,
        })
    }
}

fn own_name(section: &IniSection, kind: &str) -> Option<SmolStr> {
    section
        .name
        .strip_prefix(kind)?
        .strip_prefix(' ')
        .map(|name| SmolStr::new(name.trim()))
}
