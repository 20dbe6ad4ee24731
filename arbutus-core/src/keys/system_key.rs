use aes::cipher::KeyInit;
use hkdf::Hkdf;
use sha2::Sha256;

/// Keys derived from one secret of the system.
#[derive(Clone)]
pub struct SystemKey {
    /// Encrypts the contents of connection IDs.
    pub(crate) cid_cipher: aes::Aes128,
    /// Authenticates tunnel datagrams.
    pub(crate) tunnel_mac_key: [u8; 16],
    binding_key: [u8; 32],
    reset_token_key: [u8; 32],
}

impl SystemKey {
    /// Length of a secret in bytes.
    pub const SECRET_BYTES: usize = 32;

    /// Derives all keys from `secret`.
    #[must_use]
    pub fn derive(secret: &[u8; Self::SECRET_BYTES]) -> Self {
        let source = Hkdf::<Sha256>::new(None, secret);
        let cid: [u8; 16] = expand(&source, b"arbutus connection id");
        Self {
            cid_cipher: aes::Aes128::new(&cid.into()),
            tunnel_mac_key: expand(&source, b"arbutus tunnel"),
            binding_key: expand(&source, b"arbutus binding"),
            reset_token_key: expand(&source, b"arbutus stateless reset"),
        }
    }

    /// Returns the key that authenticates bindings with HMAC-SHA-256.
    #[must_use]
    pub const fn binding_key(&self) -> &[u8; 32] {
        &self.binding_key
    }

    /// Returns the key for QUIC stateless reset tokens, which all agents of the system share.
    #[must_use]
    pub const fn reset_token_key(&self) -> &[u8; 32] {
        &self.reset_token_key
    }
}

impl std::fmt::Debug for SystemKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SystemKey(..)")
    }
}

fn expand<const N: usize>(source: &Hkdf<Sha256>, label: &[u8]) -> [u8; N] {
    let mut key = [0; N];
    source
        .expand(label, &mut key)
        .expect("the length is far below HKDF's bound");
    key
}
