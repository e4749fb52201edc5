//! Reading of INI texts that collects every fault.

use std::collections::{BTreeMap, BTreeSet};

use ini::{Ini, ParseOption, Properties};
use smol_str::SmolStr;

use crate::ini_fault::{IniFault, IniFaults};
use crate::ini_section::IniSection;
use crate::line_index::{IndexedLine, index_lines};
use crate::nearest_key::advice_for;

/// A parsed text, with the faults found so far.
///
/// The methods that read values of a type are in `ini_values.rs`.
#[derive(Debug)]
pub struct IniReader {
    file: SmolStr,
    sections: Vec<IniSection>,
    faults: Vec<IniFault>,
}

impl IniReader {
    /// Parses `text`, which came from `file`.
    ///
    /// # Errors
    /// The text is not INI at all.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniFaults> {
        // Values are taken as they are written: no quotes and no escapes, so that a secret or a
        // path needs none.
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
        let mut heads = sections_of_lines(lines).into_iter();
        for (name, properties) in ini {
            let name = SmolStr::new(name.unwrap_or_default());
            // The library lists a section without a name first, also when it is empty.
            let (line, keys) = if name.is_empty() {
                (Some(1), keys_before_sections(lines))
            } else {
                heads.next().unwrap_or_default()
            };
            if name.is_empty() && properties.is_empty() {
                continue;
            }
            let section = IniSection {
                name: name.clone(),
                line,
                entries: entries(properties),
                key_lines: keys.iter().rev().cloned().collect(),
            };
            if !seen.insert(name) {
                let problem = "the section stands twice";
                self.fault_in(&section, "", problem, "keep one of them");
            }
            self.note_doubled_keys(&section, &keys);
            self.sections.push(section);
        }
    }

    fn note_doubled_keys(&mut self, section: &IniSection, keys: &[(String, usize)]) {
        let mut seen = BTreeSet::new();
        for (key, line) in keys {
            if !seen.insert(key) {
                let problem = format!(
                    "the key stands twice, first on line {}",
                    section.key_lines[key]
                );
                self.push(
                    Some(*line),
                    &section.name,
                    key,
                    &problem,
                    "keep one of them",
                );
            }
        }
    }

    /// Whether the text has a section called `name` that has not been taken out.
    pub fn has_section(&self, name: &str) -> bool {
        self.sections.iter().any(|section| section.name == name)
    }

    /// Takes out the section called `name`; an empty one when the text has none.
    pub fn take_section(&mut self, name: &str) -> IniSection {
        match self
            .sections
            .iter()
            .position(|section| section.name == name)
        {
            Some(index) => {
                let section = self.sections.remove(index);
                // Copies have been named as doubled; naming them as unknown too would mislead.
                self.sections.retain(|section| section.name != name);
                section
            }
            None => IniSection::absent(name),
        }
    }

    /// Takes out every section whose name is `kind`, a space, and a name of its own; returns them
    /// by that name.
    pub fn take_kind(&mut self, kind: &str) -> Vec<(SmolStr, IniSection)> {
        let (taken, kept): (Vec<IniSection>, Vec<IniSection>) = std::mem::take(&mut self.sections)
            .into_iter()
            .partition(|section| section.own_name(kind).is_some());
        self.sections = kept;
        taken
            .into_iter()
            .filter_map(|section| Some((section.own_name(kind)?, section)))
            .collect()
    }

    /// Takes every key left in the section, for sections whose keys are names.
    pub fn take_entries(&mut self, section: &mut IniSection) -> BTreeMap<String, String> {
        std::mem::take(&mut section.entries)
    }

    /// Notes a fault that has no line, such as a section that is not there.
    pub fn fault(&mut self, section: &str, key: &str, problem: &str, advice: &str) {
        self.push(None, section, key, problem, advice);
    }

    /// Notes a fault of a section or one of its keys, with its line.
    pub fn fault_in(&mut self, section: &IniSection, key: &str, problem: &str, advice: &str) {
        let line = section.key_lines.get(key).copied().or(section.line);
        self.push(line, &section.name, key, problem, advice);
    }

    /// Notes every key that is left in a section; `known` lists the keys that it can have.
    pub fn finish_section(&mut self, mut section: IniSection, known: &[&str]) {
        for key in std::mem::take(&mut section.entries).into_keys() {
            let advice = advice_for(&key, known);
            self.fault_in(&section, &key, "the key is unknown", &advice);
        }
    }

    /// Ends the reading of the text.
    ///
    /// # Errors
    /// Names every fault found, and every section that was not taken out.
    pub fn finish(mut self, known_sections: &[&str]) -> Result<(), IniFaults> {
        for section in std::mem::take(&mut self.sections) {
            if section.name.is_empty() {
                for key in section.entries.keys() {
                    let advice = format!("move it below one of: {}", known_sections.join(", "));
                    self.fault_in(&section, key, "the key stands before any section", &advice);
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

    fn push(&mut self, line: Option<usize>, section: &str, key: &str, problem: &str, advice: &str) {
        self.faults.push(IniFault {
            line,
            section: section.into(),
            key: key.into(),
            problem: problem.into(),
            advice: advice.into(),
        });
    }
}

/// The line of a section's head, and its keys with theirs.
type SectionLines = (Option<usize>, Vec<(String, usize)>);

fn sections_of_lines(lines: &[IndexedLine]) -> Vec<SectionLines> {
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

/// The values by key; of a key that stands twice, the first.
fn entries(properties: &Properties) -> BTreeMap<String, String> {
    let mut entries = BTreeMap::new();
    for (key, value) in properties {
        entries
            .entry(key.to_owned())
            .or_insert_with(|| value.to_owned());
    }
    entries
}
