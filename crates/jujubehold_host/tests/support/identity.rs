//! Certificates and identities that are generated for a test.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use jujubehold_settings::TlsSettings;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

/// A certificate authority with its key.
pub(crate) type Authority = CertifiedIssuer<'static, KeyPair>;

/// Generates a certificate authority.
pub(crate) fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).expect("an empty list of names is valid");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().expect("a key can be generated");
    CertifiedIssuer::self_signed(params, key).expect("an authority can sign itself")
}

/// Issues an identity of `host` by `authority` and writes it to files whose names start with
/// `test`.
pub(crate) fn identity(test: &str, authority: &Authority, host: &str) -> TlsSettings {
    let key = KeyPair::generate().expect("a key can be generated");
    let certificate = CertificateParams::new(vec![host.to_owned()])
        .expect("the name is valid")
        .signed_by(&key, authority)
        .expect("the authority can sign the certificate");
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let write = |kind: &str, text: &str| -> PathBuf {
        let file = directory.join(format!("{test}-{host}-{kind}.pem"));
        std::fs::write(&file, text).expect("the target directory is writable");
        file
    };
    TlsSettings {
        certificate_file: write("certificate", &certificate.pem()),
        key_file: write("key", &key.serialize_pem()),
        authority_file: write("authority", &authority.pem()),
    }
}

/// Returns the TLS connector of a caller that trusts `authority`.
pub(crate) fn caller_connector(authority: &Authority) -> tokio_rustls::TlsConnector {
    let mut roots = rustls::RootCertStore::empty();
    let root = CertificateDer::from_pem_slice(authority.pem().as_bytes());
    roots
        .add(root.expect("the authority is valid PEM"))
        .expect("the authority is a valid root");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the protocol versions are supported")
        .with_root_certificates(roots)
        .with_no_client_auth();
    Arc::new(config).into()
}
