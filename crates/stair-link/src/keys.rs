//! Certificates of the authority that all processes of a deployment trust.
//!
//! Every process with a certificate of the authority belongs to the deployment. All certificates
//! carry the same name, because VMs are replaced at any time and get new addresses.

use std::{
    path::Path,
    sync::Arc,
    time::Duration, //
};

use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{
        QuicClientConfig,
        QuicServerConfig, //
    },
};
use rcgen::{
    BasicConstraints,
    CertificateParams,
    IsCa,
    Issuer,
    KeyPair, //
};
use rustls::{
    RootCertStore,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
    server::WebPkiClientVerifier,
};
use stair_wire::PROTOCOL;

use crate::Error;

/// The name in every certificate of a deployment.
pub(crate) const SERVER_NAME: &str = "dandelionstair";

/// Time without traffic after which a link closes. Links are opened on demand; without the timeout,
/// links for rarely used models would accumulate.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Initial limit of concurrent streams for the process that opened a link.
///
/// The transport reserves about 85 bytes for each allowed stream, used or not, and an entry has
/// many links with one or two streams. [`Link::allow_streams`](crate::Link::allow_streams) raises
/// the limit.
pub(crate) const INITIAL_STREAMS: u32 = 64;

/// Limit of streams for the process that accepted a link; it never opens one.
const ACCEPTOR_STREAMS: u32 = 0;

/// Flow-control window of one stream in bytes. It keeps a slow reader of a long response from
/// filling the memory of either process.
const STREAM_WINDOW: u32 = 512 << 10;

/// Flow-control window of one link in bytes.
const LINK_WINDOW: u32 = 16 << 20;

/// The authority's certificate, and the certificate and private key of one process.
#[derive(Debug)]
pub struct Keys {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
}

impl Clone for Keys {
    fn clone(&self) -> Self {
        Self {
            authority: self.authority.clone(),
            certificate: self.certificate.clone(),
            key: self.key.clone_key(),
        }
    }
}

impl Keys {
    /// Reads the keys from PEM files.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`], with the path, when a file cannot be read or parsed.
    pub fn read(authority: &Path, certificate: &Path, key: &Path) -> Result<Self, Error> {
        let bad = |path: &Path, e: &dyn std::fmt::Display| {
            Error::Keys(format!("{}: {e}", path.display()).into())
        };
        Ok(Self {
            authority: CertificateDer::from_pem_file(authority).map_err(|e| bad(authority, &e))?,
            certificate: CertificateDer::from_pem_file(certificate)
                .map_err(|e| bad(certificate, &e))?,
            key: PrivateKeyDer::from_pem_file(key).map_err(|e| bad(key, &e))?,
        })
    }

    pub(crate) fn server_config(&self) -> Result<ServerConfig, Error> {
        let bad = |e: &dyn std::fmt::Display| Error::Keys(e.to_string().into());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.roots()?),
            Arc::new(rustls::crypto::ring::default_provider()),
        )
        .build()
        .map_err(|e| bad(&e))?;
        let mut tls = rustls::ServerConfig::builder_with_provider(Arc::new(
            rustls::crypto::ring::default_provider(),
        ))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
        .map_err(|e| bad(&e))?;
        tls.alpn_protocols = vec![PROTOCOL.as_bytes().to_vec()];
        let quic = QuicServerConfig::try_from(tls).map_err(|e| bad(&e))?;
        let mut cfg = ServerConfig::with_crypto(Arc::new(quic));
        cfg.transport_config(Arc::new(transport(INITIAL_STREAMS)));
        Ok(cfg)
    }

    pub(crate) fn client_config(&self) -> Result<ClientConfig, Error> {
        let bad = |e: &dyn std::fmt::Display| Error::Keys(e.to_string().into());
        let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(
            rustls::crypto::ring::default_provider(),
        ))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_root_certificates(self.roots()?)
        .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
        .map_err(|e| bad(&e))?;
        tls.alpn_protocols = vec![PROTOCOL.as_bytes().to_vec()];
        let quic = QuicClientConfig::try_from(tls).map_err(|e| bad(&e))?;
        let mut cfg = ClientConfig::new(Arc::new(quic));
        cfg.transport_config(Arc::new(transport(ACCEPTOR_STREAMS)));
        Ok(cfg)
    }

    fn roots(&self) -> Result<RootCertStore, Error> {
        let mut roots = RootCertStore::empty();
        roots
            .add(self.authority.clone())
            .map_err(|e| Error::Keys(e.to_string().into()))?;
        Ok(roots)
    }
}

fn transport(streams: u32) -> TransportConfig {
    let mut cfg = TransportConfig::default();
    cfg.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok())
        .max_concurrent_bidi_streams(VarInt::from_u32(streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(LINK_WINDOW))
        .send_window(u64::from(LINK_WINDOW));
    cfg
}

/// A certificate authority with a generated key, for `dev` and tests.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: rcgen::Certificate,
}

/// One process's keys as PEM text.
#[derive(Debug, Clone)]
pub struct PemKeys {
    /// The authority's certificate.
    pub authority: String,
    /// The process's certificate.
    pub certificate: String,
    /// The process's private key.
    pub key: String,
}

impl Authority {
    /// Generates an authority with a new key.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] when a key or certificate cannot be generated.
    pub fn generate() -> Result<Self, Error> {
        let mut params = CertificateParams::new(Vec::new()).map_err(|e| keys_error(&e))?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(|e| keys_error(&e))?;
        let certificate = params.self_signed(&key).map_err(|e| keys_error(&e))?;
        Ok(Self {
            issuer: Issuer::new(params, key),
            certificate,
        })
    }

    /// Issues the keys of one process as PEM text.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] when a key or certificate cannot be generated.
    pub fn issue_pem(&self) -> Result<PemKeys, Error> {
        let names = vec![SERVER_NAME.to_owned()];
        let params = CertificateParams::new(names).map_err(|e| keys_error(&e))?;
        let key = KeyPair::generate().map_err(|e| keys_error(&e))?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(|e| keys_error(&e))?;
        Ok(PemKeys {
            authority: self.certificate.pem(),
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Issues the keys of one process.
    ///
    /// # Errors
    ///
    /// [`Error::Keys`] when a key or certificate cannot be generated.
    pub fn issue(&self) -> Result<Keys, Error> {
        let pem = self.issue_pem()?;
        Ok(Keys {
            authority: CertificateDer::from_pem_slice(pem.authority.as_bytes())
                .map_err(|e| keys_error(&e))?,
            certificate: CertificateDer::from_pem_slice(pem.certificate.as_bytes())
                .map_err(|e| keys_error(&e))?,
            key: PrivateKeyDer::from_pem_slice(pem.key.as_bytes()).map_err(|e| keys_error(&e))?,
        })
    }
}

fn keys_error(e: &dyn std::fmt::Display) -> Error {
    Error::Keys(e.to_string().into())
}
