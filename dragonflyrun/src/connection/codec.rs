//! CBOR for messages between the system's own processes.

use std::io;

use serde::{Serialize, de::DeserializeOwned};

/// Nested values in one message, at the most; a stranger's deeper one would exhaust the stack.
const MAX_NESTING_DEPTH: usize = 32;

/// Returns `value` as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    // Writing into memory can't fail, and our own types have nothing that CBOR can't carry.
    if let Err(error) = ciborium::into_writer(value, &mut buf) {
        log::error!(error:% = error; "encode_failed");
    }
    buf
}

/// Reads one value from `buf`.
///
/// # Errors
///
/// Where `buf` does not start with a value of type `T`.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, ciborium::de::Error<io::Error>> {
    ciborium::de::from_reader_with_recursion_limit(buf, MAX_NESTING_DEPTH)
}
