//! Secret shared by all processes of a fleet.

use std::{fmt, str::FromStr};

/// Length of the key in bytes.
const KEY_BYTES: usize = 32;

/// Secret of the fleet. The key that signs the certificates of its processes is derived from it.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey([u8; KEY_BYTES]);

impl FleetKey {
    /// Creates the key from its raw bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> FleetKey {
        FleetKey(bytes)
    }

    /// Derives a key for one purpose; keys for different purposes are independent.
    pub fn derive(&self, purpose: &str) -> [u8; KEY_BYTES] {
        let context = format!("carobvane 2026 {purpose}");
        blake3::derive_key(&context, &self.0)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

/// Error of parsing a [`FleetKey`] from text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyFormatError;

impl fmt::Display for KeyFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected 64 hexadecimal digits")
    }
}

impl std::error::Error for KeyFormatError {}

impl FromStr for FleetKey {
    type Err = KeyFormatError;

    fn from_str(text: &str) -> Result<FleetKey, KeyFormatError> {
        let mut bytes = [0; KEY_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes).map_err(|_| KeyFormatError)?;
        Ok(FleetKey(bytes))
    }
}
