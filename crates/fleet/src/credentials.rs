//! The certificate authority of a deployment and the certificates of its processes.
//!
//! Every process presents a certificate issued by the authority and accepts no
//! peer without one. [`crate::Node::rotate`] replaces the credentials in use.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::CertifiedIssuer;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;
use rustls::DigitallySignedStruct;
use rustls::RootCertStore;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;

use crate::error::FleetError;

/// The DNS name in every certificate, which clients verify.
pub const FLEET_SERVER_NAME: &str = "fleet.internal";

const AUTHORITY_CERT: &str = "authority.pem";
const AUTHORITY_KEY: &str = "authority.key";

/// A process's TLS certificate chain and private key, and the trusted roots.
#[derive(Debug)]
pub struct TlsCredentials {
    roots: Option<Arc<RootCertStore>>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Clone for TlsCredentials {
    fn clone(&self) -> Self {
        Self {
            roots: self.roots.clone(),
            chain: self.chain.clone(),
            key: self.key.clone_key(),
        }
    }
}

fn credentials_error(path: &Path, reason: &dyn ToString) -> FleetError {
    FleetError::Credentials {
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}

fn write(path: &Path, text: &str) -> Result<(), FleetError> {
    fs::write(path, text).map_err(|e| credentials_error(path, &e))
}

fn write_secret(path: &Path, text: &str) -> Result<(), FleetError> {
    use std::os::unix::fs::PermissionsExt as _;
    write(path, text)?;
    let mode = fs::Permissions::from_mode(0o600);
    fs::set_permissions(path, mode).map_err(|e| credentials_error(path, &e))
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "mulberrytally fleet authority");
    params
}

/// Creates the certificate authority of a new deployment in `folder`.
///
/// # Errors
///
/// Fails if `folder` already has one or the files can't be written.
pub fn create_authority(folder: &Path) -> Result<(), FleetError> {
    let cert_path = folder.join(AUTHORITY_CERT);
    if cert_path.exists() {
        return Err(credentials_error(
            &cert_path,
            &"an authority is there already",
        ));
    }
    let key = KeyPair::generate().map_err(|e| credentials_error(&cert_path, &e))?;
    let secret = key.serialize_pem();
    let issuer = CertifiedIssuer::self_signed(authority_params(), key);
    let issuer = issuer.map_err(|e| credentials_error(&cert_path, &e))?;
    write(&cert_path, &issuer.pem())?;
    write_secret(&folder.join(AUTHORITY_KEY), &secret)
}

/// Issues a certificate and key for the process `name` in `folder`.
///
/// # Errors
///
/// Fails if the authority can't be read or the files can't be written.
pub fn issue_certificate(folder: &Path, name: &str) -> Result<(), FleetError> {
    let key_path = folder.join(AUTHORITY_KEY);
    let secret = fs::read_to_string(&key_path).map_err(|e| credentials_error(&key_path, &e))?;
    let authority = KeyPair::from_pem(&secret).map_err(|e| credentials_error(&key_path, &e))?;
    let issuer = Issuer::new(authority_params(), authority);
    let names = vec![
        FLEET_SERVER_NAME.to_owned(),
        format!("{name}.{FLEET_SERVER_NAME}"),
    ];
    let path = folder.join(format!("{name}.pem"));
    let mut params = CertificateParams::new(names).map_err(|e| credentials_error(&path, &e))?;
    params.distinguished_name.push(DnType::CommonName, name);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate().map_err(|e| credentials_error(&path, &e))?;
    let cert = params
        .signed_by(&key, &issuer)
        .map_err(|e| credentials_error(&path, &e))?;
    write(&path, &cert.pem())?;
    write_secret(&folder.join(format!("{name}.key")), &key.serialize_pem())
}

impl TlsCredentials {
    /// Loads the credentials of the process `name` from `folder`.
    ///
    /// # Errors
    ///
    /// Fails if a file is missing or can't be parsed.
    pub fn load(folder: &Path, name: &str) -> Result<Self, FleetError> {
        let authority = folder.join(AUTHORITY_CERT);
        let mut roots = RootCertStore::empty();
        let certs = CertificateDer::pem_file_iter(&authority)
            .map_err(|e| credentials_error(&authority, &e))?;
        for cert in certs {
            let cert = cert.map_err(|e| credentials_error(&authority, &e))?;
            roots
                .add(cert)
                .map_err(|e| credentials_error(&authority, &e))?;
        }
        let path = folder.join(format!("{name}.pem"));
        let certs =
            CertificateDer::pem_file_iter(&path).map_err(|e| credentials_error(&path, &e))?;
        let chain: Result<Vec<CertificateDer<'static>>, _> = certs.collect();
        let chain = chain.map_err(|e| credentials_error(&path, &e))?;
        let path = folder.join(format!("{name}.key"));
        let key = PrivateKeyDer::from_pem_file(&path).map_err(|e| credentials_error(&path, &e))?;
        Ok(Self {
            roots: Some(Arc::new(roots)),
            chain,
            key,
        })
    }

    /// Generates a key for this process only, where the host provides no secrets.
    ///
    /// Connections are encrypted, but peers are not authenticated: whoever reaches
    /// the address is accepted as a peer.
    ///
    /// # Errors
    ///
    /// Fails if no certificate can be generated.
    pub fn ephemeral() -> Result<Self, FleetError> {
        let path = Path::new("ephemeral");
        let names = vec![FLEET_SERVER_NAME.to_owned()];
        let generated =
            rcgen::generate_simple_self_signed(names).map_err(|e| credentials_error(path, &e))?;
        let key = PrivateKeyDer::try_from(generated.signing_key.serialize_der());
        Ok(Self {
            roots: None,
            chain: vec![generated.cert.der().clone()],
            key: key.map_err(|e| credentials_error(path, &e))?,
        })
    }

    /// Returns the TLS configuration for incoming connections.
    ///
    /// # Errors
    ///
    /// Fails if the certificate doesn't match the key.
    pub fn server_config(&self) -> Result<rustls::ServerConfig, FleetError> {
        let path = Path::new("keys");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = match &self.roots {
            Some(roots) => {
                let roots = Arc::clone(roots);
                WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider))
                    .build()
                    .map_err(|e| credentials_error(path, &e))?
            }
            None => WebPkiClientVerifier::no_client_auth(),
        };
        rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| credentials_error(path, &e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|e| credentials_error(path, &e))
    }

    /// Returns the TLS configuration for outgoing connections.
    ///
    /// # Errors
    ///
    /// Fails if the certificate doesn't match the key.
    pub fn client_config(&self) -> Result<rustls::ClientConfig, FleetError> {
        let path = Path::new("keys");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| credentials_error(path, &e))?;
        let Some(roots) = &self.roots else {
            let verifier = Arc::new(AcceptAnyCertificate { provider });
            let builder = builder.dangerous();
            let builder = builder.with_custom_certificate_verifier(verifier);
            return Ok(builder.with_no_client_auth());
        };
        builder
            .with_root_certificates(Arc::clone(roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(|e| credentials_error(path, &e))
    }
}

/// Accepts the certificate of any peer; handshake signatures are still verified.
#[derive(Debug)]
struct AcceptAnyCertificate {
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, cert, signed, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, signed, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}
