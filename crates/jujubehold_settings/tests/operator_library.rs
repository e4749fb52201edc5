//! What the Python library prints is what the hosts read and write.
//!
//! The Python tests hold the same file against the library's output.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::{format_service, parse_service};

const PRINTED: &str = include_str!("../resources/test/fixtures/operator_service.ini");

#[test]
fn the_printed_text_is_read_as_it_was_meant() {
    let config = parse_service("operator_service.ini", PRINTED).expect("the text is good");
    assert_eq!(config.generation, 7);
    assert_eq!(config.read_age, Duration::from_millis(1500));
    assert_eq!(config.preferred_primary.as_deref(), Some("a"));
    assert_eq!(config.instances["b"].region, "piedmont");
    assert_eq!(config.instances["c"].state, InstanceState::Leaving);
    assert!(config.callers.contains_key("clerk"));
}

#[test]
fn both_writers_agree_byte_for_byte() {
    let config = parse_service("operator_service.ini", PRINTED).expect("the text is good");
    assert_eq!(format_service(&config), PRINTED);
}
