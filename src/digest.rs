//! Digest of a response, by which the receiver checks that it is complete, and content addresses.

use sha2::{Digest, Sha256};

/// Incremental digest of a response's body.
#[derive(Clone, Debug, Default)]
pub struct ResponseDigest(Sha256);

impl ResponseDigest {
    /// Adds the next bytes.
    pub fn update(&mut self, data: &[u8]) {
        self.0.update(data);
    }

    /// Returns the first eight bytes of the SHA-256 of all bytes so far.
    pub fn value(&self) -> u64 {
        let hash = self.0.clone().finalize();
        hash.first_chunk::<8>()
            .map_or(0, |head| u64::from_be_bytes(*head))
    }
}

/// Returns the SHA-256 of `data`, in hexadecimal.
pub fn content_address(data: &[u8]) -> String {
    let hash = Sha256::digest(data);
    hash.iter()
        .fold(String::new(), |text, b| text + &format!("{b:02x}"))
}
