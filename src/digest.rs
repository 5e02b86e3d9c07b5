//! Digest of an answer, by which its receiver knows that it is whole.

use sha2::{Digest, Sha256};

/// Digest of the bytes passed on so far.
#[derive(Clone, Debug, Default)]
pub struct ResponseDigest(Sha256);

impl ResponseDigest {
    /// Adds the next bytes.
    pub fn update(&mut self, data: &[u8]) {
        self.0.update(data);
    }

    /// The first eight bytes of the SHA-256 of everything added.
    pub fn value(&self) -> u64 {
        let hash = self.0.clone().finalize();
        hash.first_chunk::<8>()
            .map_or(0, |head| u64::from_be_bytes(*head))
    }
}

/// SHA-256 of `data`, in hexadecimal.
pub fn content_address(data: &[u8]) -> String {
    let hash = Sha256::digest(data);
    hash.iter()
        .fold(String::new(), |text, b| text + &format!("{b:02x}"))
}
