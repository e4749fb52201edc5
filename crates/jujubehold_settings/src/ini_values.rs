//! Reading of typed values from an INI section. An invalid value adds a fault to the reader.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ini_reader::IniReader;
use crate::ini_section::IniSection;
use crate::unit_hint::suggested_milliseconds;

/// The expected form of an address, for fault texts.
const ADDRESS_FORM: &str = "an IP number and a port, such as 127.0.0.1:6432";
/// The maximum length of the name of a host, service, instance, domain or region.
const MAX_NAME_BYTES: usize = 63;

impl IniReader {
    /// Reads a value by parsing its text, or returns `default` if the key is missing or invalid.
    ///
    /// `expected` describes the accepted form in the fault.
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
        self.fault_in(section, key, &problem, &format!("write {expected}"));
        default
    }

    /// Reads a whole number within `range`, or returns `default` if the key is missing or invalid.
    pub fn number<T>(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: T,
        range: RangeInclusive<T>,
    ) -> T
    where
        T: FromStr + PartialOrd + Display,
    {
        let Some(text) = section.entries.remove(key) else {
            return default;
        };
        let (start, end) = range.into_inner();
        let advice = format!("write a whole number from {start} to {end}");
        // A number that overflows the type is reported as out of range, like any other number that
        // is too large.
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        match text.parse::<T>() {
            Ok(value) if value >= start && value <= end => return value,
            Ok(_) => self.fault_in(section, key, &format!("{text} is out of range"), &advice),
            Err(_) if is_number => {
                self.fault_in(section, key, &format!("{text} is out of range"), &advice);
            }
            Err(_) => {
                let problem = format!("{text:?} is not a whole number");
                self.fault_in(section, key, &problem, &advice);
            }
        }
        default
    }

    /// Reads a whole number of milliseconds, or returns `default` if the key is missing or invalid.
    ///
    /// `key` ends in `_ms`.
    pub fn duration_ms(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: Duration,
    ) -> Duration {
        self.duration_ms_in(section, key, default, 0..=u64::MAX)
    }

    /// Reads a whole number of milliseconds within `range_ms`, or returns `default` if the key is
    /// missing or invalid.
    ///
    /// `key` ends in `_ms`.
    pub fn duration_ms_in(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: Duration,
        range_ms: RangeInclusive<u64>,
    ) -> Duration {
        let suggestion = section
            .entries
            .get(key)
            .and_then(|text| Some((text.clone(), suggested_milliseconds(text)?)));
        if let Some((text, suggested_ms)) = suggestion {
            section.entries.remove(key);
            let problem = format!("{text:?} has a unit, and the key is in milliseconds");
            self.fault_in(section, key, &problem, &format!("write {suggested_ms}"));
            return default;
        }
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(section, key, default_ms, range_ms))
    }

    /// Reads an IP address and a port, or returns `None` if the key is missing or invalid.
    pub fn address(&mut self, section: &mut IniSection, key: &str) -> Option<SocketAddr> {
        let text = section.entries.remove(key)?;
        self.parse_address(section, key, &text)
    }

    /// Reads addresses separated by commas, or returns `default` if the key is missing.
    ///
    /// Invalid addresses are reported and left out.
    pub fn addresses(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: Vec<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let Some(text) = section.entries.remove(key) else {
            return default;
        };
        text.split(',')
            .filter_map(|part| self.parse_address(section, key, part.trim()))
            .collect()
    }

    fn parse_address(&mut self, section: &IniSection, key: &str, text: &str) -> Option<SocketAddr> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => return Some(address),
            Ok(_) => {
                let problem = format!("{text:?} has port 0");
                self.fault_in(section, key, &problem, &format!("write {ADDRESS_FORM}"));
            }
            Err(_) => {
                let problem = address_problem(text);
                self.fault_in(section, key, &problem, &format!("write {ADDRESS_FORM}"));
            }
        }
        None
    }

    /// Reads a text, or returns `None` if the key is missing.
    pub fn text(&mut self, section: &mut IniSection, key: &str) -> Option<SmolStr> {
        section.entries.remove(key).map(SmolStr::from)
    }

    /// Reads the name of a host, service, instance, domain or region, or returns `None` if the key
    /// is missing or invalid.
    pub fn name(&mut self, section: &mut IniSection, key: &str) -> Option<SmolStr> {
        let text = self.text(section, key)?;
        if let Some(problem) = name_problem(&text) {
            self.fault_in(section, key, &problem, NAME_ADVICE);
            return None;
        }
        Some(text)
    }

    /// Checks the name in the header of a `[KIND NAME]` section.
    pub(crate) fn check_section_name(&mut self, section: &IniSection, name: &str) {
        if let Some(problem) = name_problem(name) {
            self.fault_in(section, "", &problem, NAME_ADVICE);
        }
    }
}

const NAME_ADVICE: &str = "write 1 to 63 letters, digits, dots, dashes and underscores";

fn name_problem(name: &str) -> Option<String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed);
    (!is_valid).then(|| format!("{name:?} is not a name"))
}

fn address_problem(text: &str) -> String {
    if text.parse::<std::net::IpAddr>().is_ok() {
        return format!("{text:?} has no port");
    }
    let host = text.rsplit_once(':').map_or(text, |(host, _)| host);
    let is_name = host.contains(|c: char| c.is_ascii_alphabetic()) && !host.contains(':');
    if is_name {
        return format!(
            "{text:?} has a name in place of an IP number, and names are not looked up"
        );
    }
    format!("{text:?} is not an address")
}
