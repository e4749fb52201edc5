//! A service's configuration survives its text form, and faults are named together.

use jujubehold_settings::{HostSettings, format_service, parse_service};

const SERVICE: &str = "[service]
name = greenville-shares
generation = 3
confirm = replica
read_age_ms = 1500

[instance a]
address = 127.0.0.1:5501
domain = delta
region = south
state = active
connections = 20

[instance b]
address = 127.0.0.1:5502
domain = piedmont
region = south
state = leaving

[callers]
clerk = SCRAM-SHA-256$4096:c2FsdA==$c3RvcmVk:c2VydmVy
";

#[test]
fn a_configuration_survives_its_text_form() {
    let config = parse_service("shares.ini", SERVICE).expect("the text is good");
    let again = parse_service("shares.ini", &format_service(&config)).expect("the text is good");
    assert_eq!(config, again);
}

#[test]
fn every_fault_is_named_at_once() {
    let faults = parse_service(
        "shares.ini",
        "[service]\ngeneration = many\nslot = 3\nread_age_ms = 2s\n[instance a]\naddress = db1:5432\n\
         [instance a]\n[servise]\n",
    )
    .expect_err("the text is bad");
    insta::assert_snapshot!(faults);
}

#[test]
fn an_empty_file_gives_the_defaults() {
    assert_eq!(
        HostSettings::parse("host.ini", ""),
        Ok(HostSettings::default())
    );
}
