//! Hosts with TLS identities accept calls only from hosts of their installation.

#[path = "support/control.rs"]
mod control;

use std::path::Path;
use std::time::Duration;

use control::{Installation, RunningHost, SERVICE, wait_until};
use jujubehold_host::peer::{BorrowedConnection, ForwardTarget, PeerConnector};
use jujubehold_settings::{HostSettings, TlsSettings};
use jujubehold_standin::platform::Outage;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

type Authority = CertifiedIssuer<'static, KeyPair>;

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("an empty list of names is valid");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key can be generated");
    CertifiedIssuer::self_signed(params, key).expect("an authority can sign itself")
}

fn identity(authority: &Authority, host: &str) -> TlsSettings {
    let key = KeyPair::generate().expect("a key can be generated");
    let certificate = CertificateParams::new(vec![host.to_owned()])
        .expect("the name is valid")
        .signed_by(&key, authority)
        .expect("the authority can sign the certificate");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let write = |kind: &str, text: &str| {
        let file = directory.join(format!("peers-{host}-{kind}.pem"));
        std::fs::write(&file, text).expect("the target directory is writable");
        file
    };
    TlsSettings {
        certificate_file: write("certificate", &certificate.pem()),
        key_file: write("key", &key.serialize_pem()),
        authority_file: write("authority", &authority.pem()),
    }
}

#[actix_rt::test]
async fn hosts_with_identities_exchange_and_lend_and_refuse_hosts_without() {
    let installation = Installation::start().await;
    let authority = authority();
    let with_identity = |host: &str| HostSettings {
        tls: Some(identity(&authority, host)),
        ..installation.settings(host, "delta")
    };
    let first = RunningHost::start(with_identity("host-1")).await;
    wait_until("the first host knows the primary", || {
        first.primary().is_some()
    })
    .await;
    installation.platform.set_outage(Outage::Refuse);
    let settings = HostSettings {
        peer_seeds: vec![first.seed()],
        ..with_identity("host-2")
    };
    let connector = PeerConnector::load(&settings).expect("the identity is valid");
    let second = RunningHost::start(settings).await;
    wait_until("the second host has the configuration", || {
        second.generation() == 1
    })
    .await;
    let target = ForwardTarget {
        request_id: "request-1".into(),
        service: SERVICE.into(),
        instance: "a".into(),
        term: 0,
        wait: Duration::from_secs(5),
    };
    let without_identity = PeerConnector::default();
    let refused = BorrowedConnection::open_at(&without_identity, &first.target(), &target).await;
    assert!(refused.is_err());
    let lent = BorrowedConnection::open_at(&connector, &second.target(), &target).await;
    lent.expect("a host of the installation can borrow a connection")
        .finish()
        .await;
}
