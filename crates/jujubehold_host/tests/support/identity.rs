//! Certificates made for a test.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use jujubehold_settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

/// An authority with its key.
pub(crate) type Authority = CertifiedIssuer<'static, KeyPair>;

/// A new authority.
pub(crate) fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("no names are good names");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key can be made");
    CertifiedIssuer::self_signed(params, key).expect("an authority can sign itself")
}

/// Writes the identity of `host` by `authority` to files whose names start with `test`.
pub(crate) fn identity(test: &str, authority: &Authority, host: &str) -> TlsSettings {
    let key = KeyPair::generate().expect("a key can be made");
    let certificate = CertificateParams::new(vec![host.to_owned()])
        .expect("the name is good")
        .signed_by(&key, authority)
        .expect("the authority can sign");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let write = |kind: &str, text: &str| -> PathBuf {
        let file = directory.join(format!("{test}-{host}-{kind}.pem"));
        std::fs::write(&file, text).expect("the target directory can be written");
        file
    };
    TlsSettings {
        certificate_file: write("certificate", &certificate.pem()),
        key_file: write("key", &key.serialize_pem()),
        authority_file: write("authority", &authority.pem()),
    }
}

/// How a caller that trusts `authority` talks by TLS.
pub(crate) fn caller_connector(authority: &Authority) -> tokio_rustls::TlsConnector {
    let mut roots = rustls::RootCertStore::empty();
    let root = CertificateDer::from_pem_slice(authority.pem().as_bytes());
    roots.add(root.expect("it is PEM")).expect("it is a root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the versions are known")
        .with_root_certificates(roots)
        .with_no_client_auth();
    Arc::new(config).into()
}
