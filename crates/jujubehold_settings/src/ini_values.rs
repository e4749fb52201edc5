//! Values of a type out of an INI section.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ini_reader::IniReader;
use crate::ini_section::IniSection;
use crate::unit_hint::milliseconds_meant;

/// What an address is, for messages.
const ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:6432";
/// The longest name of a host, service, instance, domain or region, in bytes.
const MAX_NAME_BYTES: usize = 63;

impl IniReader {
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
        self.fault_in(section, key, &problem, &format!("write {expected}"));
        default
    }

    /// Reads a whole number within `range`, or keeps `default`.
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
        // A number beyond the type is as far out of range as any.
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

    /// Reads a whole number of milliseconds, or keeps `default`; `key` ends in `_ms`.
    pub fn duration_ms(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: Duration,
    ) -> Duration {
        self.duration_ms_in(section, key, default, 0..=u64::MAX)
    }

    /// Reads a whole number of milliseconds within `range_ms`, or keeps `default`; `key` ends in
    /// `_ms`.
    pub fn duration_ms_in(
        &mut self,
        section: &mut IniSection,
        key: &str,
        default: Duration,
        range_ms: RangeInclusive<u64>,
    ) -> Duration {
        let meant = section
            .entries
            .get(key)
            .and_then(|text| Some((text.clone(), milliseconds_meant(text)?)));
        if let Some((text, meant_ms)) = meant {
            section.entries.remove(key);
            let problem = format!("{text:?} has a unit, and the key is in milliseconds");
            self.fault_in(section, key, &problem, &format!("write {meant_ms}"));
            return default;
        }
        let default_ms = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(section, key, default_ms, range_ms))
    }

    /// Reads an IP number and a port, or returns `None` when the key is not there or faulty.
    pub fn address(&mut self, section: &mut IniSection, key: &str) -> Option<SocketAddr> {
        let text = section.entries.remove(key)?;
        self.parse_address(section, key, &text)
    }

    /// Reads addresses with commas between them, or keeps `default`.
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
                self.fault_in(section, key, &problem, &format!("write {ADDRESS}"));
            }
            Err(_) => {
                let problem = address_problem(text);
                self.fault_in(section, key, &problem, &format!("write {ADDRESS}"));
            }
        }
        None
    }

    /// Reads a text, or `None` when the key is not there.
    pub fn text(&mut self, section: &mut IniSection, key: &str) -> Option<SmolStr> {
        section.entries.remove(key).map(SmolStr::from)
    }

    /// Reads the name of a host, service, instance, domain or region, or `None` when the key is not
    /// there or faulty.
    pub fn name(&mut self, section: &mut IniSection, key: &str) -> Option<SmolStr> {
        let text = self.text(section, key)?;
        if let Some(problem) = name_problem(&text) {
            self.fault_in(section, key, &problem, NAME_ADVICE);
            return None;
        }
        Some(text)
    }

    /// Checks the name that a section carries in its head.
    pub(crate) fn check_own_name(&mut self, section: &IniSection, name: &str) {
        if let Some(problem) = name_problem(name) {
            self.fault_in(section, "", &problem, NAME_ADVICE);
        }
    }
}

const NAME_ADVICE: &str = "write 1 to 63 letters, digits, dots, dashes and underscores";

fn name_problem(name: &str) -> Option<String> {
    let is_known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_good = !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_known);
    (!is_good).then(|| format!("{name:?} is not a name"))
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
