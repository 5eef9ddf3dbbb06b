//! Parses a document or a section from JSON and reports all mistakes with their places.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor},
};
use serde_json::Value;

use crate::{
    connection::MAX_RECORD_BYTES,
    utils::HashSet,
    version::{
        Document,
        Finding,
        Section,
        finding::{Findings, Place},
        schema, //
    },
};

/// The maximum size of a document or a section in JSON, in bytes, which is also the maximum size
/// of a log record. The parser limits the depth to 128 nested values.
pub const MAX_DOCUMENT_BYTES: usize = MAX_RECORD_BYTES;

/// The content of a section in an edit, before its keys and types are checked.
///
/// The tool that writes an edit may be newer than the process that reads it. If an unknown key made
/// the whole record unreadable, this process would have no verdict on an edit that other processes
/// reject.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RawSection(Value);

impl RawSection {
    /// Returns the section if its keys and types match the schema.
    ///
    /// # Errors
    ///
    /// All mismatches with the schema, with places that start with `pointer`.
    pub fn parse(&self, pointer: &str) -> Result<Section, Vec<Finding>> {
        let mut findings = Findings::default();
        schema::check_section(&self.0, Place::Root(pointer), &mut findings);
        deserialize_checked(&self.0, pointer, findings)
    }
}

impl From<&Section> for RawSection {
    fn from(section: &Section) -> Self {
        // This can't fail, as a section has only string keys and integers.
        Self(serde_json::to_value(section).unwrap_or_default())
    }
}

/// Parses a document from JSON.
///
/// # Errors
///
/// The excess length, the syntax error, or all duplicate keys and mismatches with the schema. The
/// values themselves are checked by [`check`](super::check).
pub fn parse_document(bytes: &[u8]) -> Result<Document, Vec<Finding>> {
    let (value, mut findings) = parse(bytes, "")?;
    schema::check_document(&value, Place::Root(""), &mut findings);
    deserialize_checked(&value, "", findings)
}

/// Parses a section from JSON, where `pointer` is the place of the section in the document.
///
/// # Errors
///
/// The excess length, the syntax error, or all duplicate keys and mismatches with the schema.
pub fn parse_section(bytes: &[u8], pointer: &str) -> Result<Section, Vec<Finding>> {
    let (value, mut findings) = parse(bytes, pointer)?;
    schema::check_section(&value, Place::Root(pointer), &mut findings);
    deserialize_checked(&value, pointer, findings)
}

fn deserialize_checked<T: serde::de::DeserializeOwned>(
    value: &Value,
    pointer: &str,
    mut findings: Findings,
) -> Result<T, Vec<Finding>> {
    if !findings.is_empty() {
        return Err(findings.into_vec());
    }
    T::deserialize(value).map_err(|e| {
        findings.add(Place::Root(pointer), format!("{e}."));
        findings.into_vec()
    })
}

/// Returns the JSON value in `bytes`, and a finding for each duplicate key.
fn parse(bytes: &[u8], pointer: &str) -> Result<(Value, Findings), Vec<Finding>> {
    let root = Place::Root(pointer);
    let mut findings = Findings::default();
    if bytes.len() > MAX_DOCUMENT_BYTES {
        findings.add(
            root,
            format!("It is longer than {MAX_DOCUMENT_BYTES} bytes."),
        );
        return Err(findings.into_vec());
    }
    let value = match serde_json::from_slice(bytes) {
        Ok(value) => value,
        Err(error) => {
            findings.add(root, format!("It is not JSON: {error}."));
            return Err(findings.into_vec());
        }
    };
    let seed = DuplicateKeyCheck {
        place: root,
        findings: &mut findings,
    };
    // The bytes were parsed successfully above, so parsing them again can't fail.
    let _ = seed.deserialize(&mut serde_json::Deserializer::from_slice(bytes));
    Ok((value, findings))
}

/// Finds duplicate keys in JSON objects. JSON parsers silently keep one of the two values, so a
/// section that an operator wrote could be lost without an error.
struct DuplicateKeyCheck<'a, 'f> {
    place: Place<'a>,
    findings: &'f mut Findings,
}

impl<'de> DeserializeSeed<'de> for DuplicateKeyCheck<'_, '_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for DuplicateKeyCheck<'_, '_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        for index in 0.. {
            let seed = DuplicateKeyCheck {
                place: self.place.index(index),
                findings: self.findings,
            };
            if seq.next_element_seed(seed)?.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut seen = HashSet::default();
        while let Some(key) = map.next_key::<String>()? {
            let place = self.place.key(&key);
            if seen.contains(&key) {
                self.findings.add(place, "The key stands here twice.");
                map.next_value::<IgnoredAny>()?;
                continue;
            }
            map.next_value_seed(DuplicateKeyCheck {
                place,
                findings: self.findings,
            })?;
            seen.insert(key);
        }
        Ok(())
    }
}
