//! Tests of the text form of settings and service configurations, and of fault reporting.

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
fn a_configuration_round_trips_through_text() {
    let config = parse_service("shares.ini", SERVICE).expect("the text is valid");
    let again = parse_service("shares.ini", &format_service(&config)).expect("the text is valid");
    assert_eq!(config, again);
}

#[test]
fn every_fault_is_named_at_once() {
    let faults = parse_service(
        "shares.ini",
        "[service]\ngeneration = many\nslot = 3\nread_age_ms = 2s\n[instance a]\naddress = db1:5432\n\
         [instance a]\n[servise]\n",
    )
    .expect_err("the text has faults");
    insta::assert_snapshot!(faults);
}

#[test]
fn an_empty_file_gives_the_defaults() {
    assert_eq!(
        HostSettings::parse("host.ini", ""),
        Ok(HostSettings::default())
    );
}

#[test]
fn every_fault_of_a_host_is_named_at_once() {
    let faults = HostSettings::parse(
        "host.ini",
        "stray = 1\n[host]\ncaller_address = 10.0.0.1:6432\ntoken_key = short\n\
         traffic_threads = 99999999999999999999\n[tls]\nkey_file = key.pem\n\
         [failover]\nwindow_ms = 4 s\nprobe_timeout_ms = fast\nowners_per_instance = 0\n\
         [peer a b]\npeer_address = 127.0.0.1:0\n",
    )
    .expect_err("the text has faults");
    insta::assert_snapshot!(faults);
}

#[test]
fn a_host_in_the_clear_off_loopback_must_be_asked_for() {
    let exposed = "[host]\ncaller_address = 10.0.0.1:6432\ntoken_key = 0123456789abcdef\n";
    let faults = HostSettings::parse("host.ini", exposed).expect_err("cleartext was not allowed");
    insta::assert_snapshot!(faults);
    let allowed = format!("{exposed}allow_cleartext = true\n");
    assert!(HostSettings::parse("host.ini", &allowed).is_ok());
    let tls = "[tls]\ncertificate_file = c.pem\nkey_file = k.pem\nauthority_file = a.pem\n";
    assert!(HostSettings::parse("host.ini", &format!("{exposed}{tls}")).is_ok());
}

#[test]
fn quotes_and_escapes_are_read_literally() {
    let text = "[host]\ntoken_key = \"a\\tb'0123456789\n";
    let settings = HostSettings::parse("host.ini", text).expect("the text is valid");
    assert_eq!(settings.token_key, "\"a\\tb'0123456789");
}

#[test]
fn a_text_that_is_not_ini_is_told_with_its_line() {
    let faults = HostSettings::parse("host.ini", "[host]\nname").expect_err("the text has faults");
    insta::assert_snapshot!(faults);
}
