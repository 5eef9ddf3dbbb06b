//! CBOR encoding of the messages between the processes of a deployment.

use std::io;

use serde::{Serialize, de::DeserializeOwned};

/// Maximum nesting depth of a decoded value. Without a limit, a deeply nested message from an
/// untrusted peer could exhaust the stack.
const MAX_NESTING_DEPTH: usize = 32;

/// Encodes `value` as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    // Writing to memory can't fail, and CBOR can represent all of our types.
    if let Err(error) = ciborium::into_writer(value, &mut buf) {
        log::error!(error:% = error; "encode_failed");
    }
    buf
}

/// Decodes one value from the start of `buf`.
///
/// # Errors
///
/// Returns an error if `buf` does not start with a value of type `T`, or if that value is nested
/// too deeply.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, ciborium::de::Error<io::Error>> {
    ciborium::de::from_reader_with_recursion_limit(buf, MAX_NESTING_DEPTH)
}
