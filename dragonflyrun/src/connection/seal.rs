//! Authentication of records. Anyone who can write to the log can add records to it; without a
//! valid seal such a record can neither edit the configuration nor give orders.
//!
//! The key of each author is derived from the deployment's secret and the author's name. Processes
//! hold the secret and can verify every author. An editor holds only its own key and can't write
//! records under another name.

use std::fmt::Write;

use hmac::{Hmac, Mac};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::Sha256;

use crate::{
    connection::{Record, RecordBody},
    utils::Name,
};

/// Maximum size of a sealed record in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Prefix of the author name in an editor's records. No process name has this prefix, so an editor,
/// who holds only its own key, can't write a planner's records.
const EDITOR_PREFIX: &str = "editor/";

/// Prefix of the name from which the key of a backend server is derived.
const BACKEND_PREFIX: &str = "backend/";

quick_error! {
    /// The reason why data on the log is not a valid record.
    #[derive(Debug)]
    pub enum OpenError {
        /// The data is not a sealed record.
        Malformed(reason: String) {
            display("not a sealed record: {reason}")
        }
        /// The seal does not prove that the stated author wrote the record.
        Forged {
            display("the seal does not fit the author")
        }
        /// The seal is valid, but this version does not understand the content of the record.
        Unknown(reason: String) {
            display("not understood: {reason}")
        }
    }
}

/// The key with which an author seals its records.
#[derive(Clone)]
pub struct AuthorKey {
    author: Name,
    key: [u8; 32],
}

#[derive(Deserialize, Serialize)]
struct Sealed {
    id: Name,
    author: Name,
    mac: String,
    body: Box<RawValue>,
}

impl AuthorKey {
    /// Derives the key of `author` from the deployment's secret.
    pub fn derive(secret: &str, author: &Name) -> Self {
        let mut mac = new_hmac(secret.as_bytes());
        mac.update(author.as_bytes());
        Self {
            author: author.clone(),
            key: mac.finalize().into_bytes().into(),
        }
    }

    /// Derives the key of the editor named `editor` from the deployment's secret.
    pub fn of_editor(secret: &str, editor: &Name) -> Self {
        Self::derive(secret, &author_of(editor))
    }

    /// Derives the key of the backend server named `backend`. The backend server sends this key
    /// with its announcements.
    pub fn of_backend(secret: &str, backend: &str) -> Self {
        Self::derive(secret, &format!("{BACKEND_PREFIX}{backend}").into())
    }

    /// Parses the output of [`AuthorKey::to_hex`] for an editor. Returns `None` if it is
    /// malformed.
    pub fn of_editor_from_hex(editor: &Name, hex: &str) -> Option<Self> {
        Self::from_hex(&author_of(editor), hex)
    }

    /// Parses the output of [`AuthorKey::to_hex`] for `author`. Returns `None` if it is malformed.
    pub fn from_hex(author: &Name, hex: &str) -> Option<Self> {
        let key = hex_to_bytes(hex.trim())?.try_into().ok()?;
        Some(Self {
            author: author.clone(),
            key,
        })
    }

    /// Returns the key in hexadecimal, the form in which it is given to the author.
    pub fn to_hex(&self) -> String {
        bytes_to_hex(&self.key)
    }

    /// Returns the author that the key belongs to.
    pub fn author(&self) -> &Name {
        &self.author
    }

    /// Seals `body` with the unique `id` and returns the text of the record.
    pub fn seal(&self, id: &Name, body: &RecordBody) -> String {
        // Record types have only string keys and finite numbers, so neither call can fail.
        let body = serde_json::value::to_raw_value(body).unwrap_or_default();
        let mac = bytes_to_hex(&self.sign(id, body.get()).finalize().into_bytes());
        let sealed = Sealed {
            id: id.clone(),
            author: self.author.clone(),
            mac,
            body,
        };
        serde_json::to_string(&sealed).unwrap_or_default()
    }

    fn sign(&self, id: &Name, body: &str) -> Hmac<Sha256> {
        let mut mac = new_hmac(&self.key);
        mac.update(&(id.len() as u64).to_be_bytes());
        mac.update(id.as_bytes());
        mac.update(body.as_bytes());
        mac
    }
}

/// Verifies and parses the text of a sealed record with the deployment's `secret`.
///
/// # Errors
///
/// Returns any [`OpenError`]. Every process skips such a record.
pub fn open(data: &str, secret: &str) -> Result<Record, OpenError> {
    let sealed = parse(data)?;
    let mac = hex_to_bytes(&sealed.mac).ok_or(OpenError::Forged)?;
    AuthorKey::derive(secret, &sealed.author)
        .sign(&sealed.id, sealed.body.get())
        .verify_slice(&mac)
        .map_err(|_| OpenError::Forged)?;
    sealed.into_record()
}

/// Parses the text of a sealed record without verifying the seal. This is for editors, who do not
/// hold the secret; they must ask a process, which holds it, before they trust the result.
///
/// # Errors
///
/// Returns any [`OpenError`] except [`OpenError::Forged`].
pub fn open_unchecked(data: &str) -> Result<Record, OpenError> {
    parse(data)?.into_record()
}

fn parse(data: &str) -> Result<Sealed, OpenError> {
    if data.len() > MAX_RECORD_BYTES {
        return Err(OpenError::Malformed("too long".to_owned()));
    }
    serde_json::from_str(data).map_err(|e| OpenError::Malformed(e.to_string()))
}

impl Sealed {
    fn into_record(self) -> Result<Record, OpenError> {
        let body =
            serde_json::from_str(self.body.get()).map_err(|e| OpenError::Unknown(e.to_string()))?;
        Ok(Record {
            id: self.id,
            author: self.author,
            body,
        })
    }
}

/// Returns the author name in the records of the editor named `editor`.
fn author_of(editor: &str) -> Name {
    format!("{EDITOR_PREFIX}{editor}").into()
}

/// Returns the editor's name if `author` is an editor, or `None` if it is a process.
pub fn editor_of(author: &str) -> Option<Name> {
    author.strip_prefix(EDITOR_PREFIX).map(Name::from)
}

/// Returns whether `token` is the key of the editor named `editor` in hexadecimal.
pub fn is_editor_token(secret: &str, editor: &str, token: &str) -> bool {
    is_key_in_hex(secret, &author_of(editor), token)
}

/// Returns whether `token` is the key of the backend server named `backend` in hexadecimal.
pub fn is_backend_token(secret: &str, backend: &str, token: &str) -> bool {
    is_key_in_hex(secret, &format!("{BACKEND_PREFIX}{backend}"), token)
}

fn is_key_in_hex(secret: &str, author: &str, token: &str) -> bool {
    let mut mac = new_hmac(secret.as_bytes());
    mac.update(author.as_bytes());
    // The comparison takes constant time, so an attacker can't guess the key byte by byte.
    hex_to_bytes(token).is_some_and(|bytes| mac.verify_slice(&bytes).is_ok())
}

fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so this can't fail.
    #[allow(clippy::unwrap_used)]
    <Hmac<Sha256> as Mac>::new_from_slice(key).unwrap()
}

fn bytes_to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string can't fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

fn hex_to_bytes(hex: &str) -> Option<Vec<u8>> {
    if !hex.is_ascii() || !hex.len().is_multiple_of(2) {
        return None;
    }
    (0..hex.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&hex[i..i + 2], 16).ok())
        .collect()
}
