//! TLS between processes.
//!
//! Every process derives the same certificate authority from the fleet key. It signs its own
//! short-lived certificate at every start and verifies those of other processes without a file or a
//! server.

use std::sync::Arc;

use eyre::{Result, WrapErr};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair, KeyUsagePurpose,
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer},
    server::WebPkiClientVerifier,
};

use super::FleetKey;

/// Host name in every peer certificate. All processes share it; they tell each other apart by the
/// node number in their messages.
pub const PEER_NAME: &str = "peer.carobvane.internal";
/// ALPN protocol name in the TLS handshake.
const PEER_PROTOCOL: &[u8] = b"carobvane-peer";
/// DER header of a PKCS#8 Ed25519 private key; the 32-byte seed follows.
const ED25519_PKCS8_HEADER: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// TLS configurations for incoming and outgoing connections.
pub struct PeerTls {
    /// Configuration for connections that this process accepts.
    pub server: QuicServerConfig,
    /// Configuration for connections that this process opens.
    pub client: QuicClientConfig,
}

/// Builds the TLS configurations from the fleet key, with a new certificate for this process.
///
/// # Errors
///
/// Fails if a certificate cannot be generated or the TLS library rejects it.
pub fn peer_tls(key: &FleetKey) -> Result<PeerTls> {
    let authority = fleet_authority(key)?;
    let (chain, private) = peer_certificate(&authority)?;
    let mut roots = RootCertStore::empty();
    roots
        .add(authority.der().clone())
        .wrap_err("failed to add the fleet's certificate authority")?;
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .wrap_err("failed to build the verifier of client certificates")?;
    let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), private.clone_key())
        .wrap_err("failed to use the peer certificate as a server")?;
    server.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, private)
        .wrap_err("failed to use the peer certificate as a client")?;
    client.alpn_protocols = vec![PEER_PROTOCOL.to_vec()];
    Ok(PeerTls { server: server.try_into()?, client: client.try_into()? })
}

fn fleet_authority(key: &FleetKey) -> Result<CertifiedIssuer<'static, KeyPair>> {
    let mut pkcs8 = ED25519_PKCS8_HEADER.to_vec();
    pkcs8.extend_from_slice(&key.derive("peer certificate authority"));
    let pair = KeyPair::try_from(pkcs8)
        .wrap_err("failed to derive the key of the certificate authority")?;
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, "carobvane fleet");
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    CertifiedIssuer::self_signed(params, pair).wrap_err("failed to sign the certificate authority")
}

fn peer_certificate(
    authority: &CertifiedIssuer<'static, KeyPair>,
) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)> {
    let pair = KeyPair::generate().wrap_err("failed to generate the peer key")?;
    let params = CertificateParams::new(vec![PEER_NAME.to_string()])?;
    let certificate =
        params.signed_by(&pair, authority).wrap_err("failed to sign the peer certificate")?;
    let private = PrivatePkcs8KeyDer::from(pair.serialize_der());
    Ok((vec![certificate.der().clone()], PrivateKeyDer::Pkcs8(private)))
}
