//! A reader of INI texts that collects every fault.

use std::collections::{BTreeMap, BTreeSet};

use ini::{Ini, ParseOption, Properties};
use smol_str::SmolStr;

use crate::ini_fault::{IniFault, IniFaults};
use crate::ini_section::IniSection;
use crate::line_index::{IndexedLine, index_lines};
use crate::nearest_key::advice_for;

/// A parsed text with the faults found so far.
///
/// The methods that read typed values are in `ini_values.rs`.
#[derive(Debug)]
pub struct IniReader {
    file: SmolStr,
    sections: Vec<IniSection>,
    faults: Vec<IniFault>,
}

impl IniReader {
    /// Parses `text`; `file` names its source in faults.
    ///
    /// # Errors
    /// Returns an error if the text is not valid INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniFaults> {
        // Quotes and escapes are read literally, so that a secret or a path needs no escaping.
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| IniFaults {
            file: file.into(),
            faults: vec![IniFault {
                line: Some(error.line),
                section: SmolStr::default(),
                key: SmolStr::default(),
                problem: format!("the line can't be read: {}", error.msg),
                advice: "write [section] lines and key = value lines".into(),
            }],
        })?;
        let mut reader = Self {
            file: file.into(),
            sections: Vec::new(),
            faults: Vec::new(),
        };
        reader.read_sections(&ini, &index_lines(text));
        Ok(reader)
    }

    fn read_sections(&mut self, ini: &Ini, lines: &[IndexedLine]) {
        let mut seen = BTreeSet::new();
        let mut section_lines = keys_by_section(lines).into_iter();
        for (name, properties) in ini {
            let name = SmolStr::new(name.unwrap_or_default());
            // The library lists the unnamed section first, even if it is empty.
            let (line, keys) = if name.is_empty() {
                (Some(1), keys_before_sections(lines))
            } else {
                section_lines.next().unwrap_or_default()
            };
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            let section = IniSection {
                name: name.clone(),
                line,
                entries: first_values(properties),
                key_lines: keys.iter().rev().cloned().collect(),
            };
            if !seen.insert(name) {
                let problem = "the section appears twice";
                self.fault_in(&section, "", problem, "keep one of them");
            }
            self.report_duplicate_keys(&section, &keys);
            self.sections.push(section);
        }
    }

    fn report_duplicate_keys(&mut self, section: &IniSection, keys: &[(String, usize)]) {
        let mut seen = BTreeSet::new();
        for (key, line) in keys {
            if !seen.insert(key) {
                let problem = format!(
                    "the key is set twice, first on line {}",
                    section.key_lines[key]
                );
                self.push_fault(
                    Some(*line),
                    &section.name,
                    key,
                    &problem,
                    "keep one of them",
                );
            }
        }
    }

    /// Returns whether the text has a section called `name` that has not been taken yet.
    pub fn has_section(&self, name: &str) -> bool {
        self.sections.iter().any(|section| section.name == name)
    }

    /// Removes and returns the section called `name`, or an empty one if the text has none.
    pub fn take_section(&mut self, name: &str) -> IniSection {
        match self
            .sections
            .iter()
            .position(|section| section.name == name)
        {
            Some(index) => {
                let section = self.sections.remove(index);
                // Duplicates have been reported already; reporting them as unknown too would
                // mislead.
                self.sections.retain(|section| section.name != name);
                section
            }
            None => IniSection::absent(name),
        }
    }

    /// Removes every section with a header of the form `[KIND NAME]`; returns them with that name.
    pub fn take_sections_of_kind(&mut self, kind: &str) -> Vec<(SmolStr, IniSection)> {
        let (taken, kept): (Vec<IniSection>, Vec<IniSection>) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|section| section.name_after_kind(kind).is_some());
        self.sections = kept;
        taken
            .into_iter()
            .filter_map(|section| Some((section.name_after_kind(kind)?, section)))
            .collect()
    }

    /// Removes and returns all keys left in the section, for sections whose keys are arbitrary
    /// names.
    pub fn take_entries(&mut self, section: &mut IniSection) -> BTreeMap<String, String> {
        std::mem::take(&mut section.entries)
    }

    /// Adds a fault that has no line, such as a missing section.
    pub fn fault(&mut self, section: &str, key: &str, problem: &str, advice: &str) {
        self.push_fault(None, section, key, problem, advice);
    }

    /// Adds a fault of a section or, if `key` is not empty, of that key, with its line.
    pub fn fault_in(&mut self, section: &IniSection, key: &str, problem: &str, advice: &str) {
        let line = section.key_lines.get(key).copied().or(section.line);
        self.push_fault(line, &section.name, key, problem, advice);
    }

    /// Adds a fault for every key left in a section; `known` lists the keys that it may have.
    pub fn finish_section(&mut self, mut section: IniSection, known: &[&str]) {
        for key in std::mem::take(&mut section.entries).into_keys() {
            let advice = advice_for(&key, known);
            self.fault_in(&section, &key, "the key is unknown", &advice);
        }
    }

    /// Finishes reading the text.
    ///
    /// # Errors
    /// Returns every fault found, including one for every section that was not taken.
    pub fn finish(mut self, known_sections: &[&str]) -> Result<(), IniFaults> {
        for section in std::mem::take(&mut self.sections) {
            if section.name.is_empty() {
                for key in section.entries.keys() {
                    let advice = format!("move it below one of: {}", known_sections.join(", "));
                    self.fault_in(&section, key, "the key is set before any section", &advice);
                }
                continue;
            }
            let advice = advice_for(&section.name, known_sections);
            self.fault_in(&section, "", "the section is unknown", &advice);
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults
            .sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
        Err(IniFaults {
            file: self.file,
            faults: self.faults,
        })
    }

    fn push_fault(
        &mut self,
        line: Option<usize>,
        section: &str,
        key: &str,
        problem: &str,
        advice: &str,
    ) {
        self.faults.push(IniFault {
            line,
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            advice: advice.into(),
        });
    }
}

/// The line of a section's header, and the section's keys with their lines.
type SectionLines = (Option<usize>, Vec<(String, usize)>);

fn keys_by_section(lines: &[IndexedLine]) -> Vec<SectionLines> {
    let mut sections: Vec<SectionLines> = Vec::new();
    for indexed in lines {
        match indexed {
            IndexedLine::Section { line } => sections.push((Some(*line), Vec::new())),
            IndexedLine::Key { line, key } => {
                if let Some((_, keys)) = sections.last_mut() {
                    keys.push((key.clone(), *line));
                }
            }
        }
    }
    sections
}

fn keys_before_sections(lines: &[IndexedLine]) -> Vec<(String, usize)> {
    lines
        .iter()
        .map_while(|indexed| match indexed {
            IndexedLine::Section { .. } => None,
            IndexedLine::Key { line, key } => Some((key.clone(), *line)),
        })
        .collect()
}

/// Returns the values by key; a key that is set twice keeps its first value.
fn first_values(properties: &Properties) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    for (key, value) in properties {
        values
            .entry(key.to_owned())
            .or_insert_with(|| value.to_owned());
    }
    values
}
