//! Tests that the hosts read and write the same text as the operators' Python library.
//!
//! The Python tests compare the same file with the library's output.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::{format_service, parse_service};

const LIBRARY_OUTPUT: &str = include_str!("../resources/test/fixtures/operator_service.ini");

#[test]
fn the_library_output_parses_as_intended() {
    let config = parse_service("operator_service.ini", LIBRARY_OUTPUT).expect("the text is valid");
    assert_eq!(config.generation, 7);
    assert_eq!(config.read_age, Duration::from_millis(1500));
    assert_eq!(config.preferred_primary.as_deref(), Some("a"));
    assert_eq!(config.instances["b"].region, "piedmont");
    assert_eq!(config.instances["c"].state, InstanceState::Leaving);
    assert!(config.callers.contains_key("clerk"));
}

#[test]
fn both_writers_agree_byte_for_byte() {
    let config = parse_service("operator_service.ini", LIBRARY_OUTPUT).expect("the text is valid");
    assert_eq!(format_service(&config), LIBRARY_OUTPUT);
}
