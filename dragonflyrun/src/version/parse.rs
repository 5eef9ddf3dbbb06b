//! Reads a document or a section from JSON, and reports all mistakes with their places.

use std::fmt;

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor},
};
use serde_json::Value;

use crate::{
    connection::RECORD_BYTES,
    utils::HashSet,
    version::{
        Document,
        Finding,
        Section,
        finding::{Findings, Place},
        schema, //
    },
};

/// Bytes of a document or a section in JSON, at the most: what fits into a record of the log.
/// Depth is bounded by the parser, at 128 nested values.
pub const MAX_DOCUMENT_BYTES: usize = RECORD_BYTES;

/// A section as an edit carries it, whose keys and types are yet to be checked.
///
/// An edit may be written by a newer tool than the process that folds it. Were the record not
/// readable then, this process would have no verdict on it, where others reject it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RawSection(Value);

impl RawSection {
    /// Returns the section, if its keys and types are right.
    ///
    /// # Errors
    ///
    /// All that is wrong with its shape, with places that begin at `pointer`.
    pub fn parse(&self, pointer: &str) -> Result<Section, Vec<Finding>> {
        let mut findings = Findings::default();
        schema::check_section(&self.0, Place::Root(pointer), &mut findings);
        deserialize_checked(&self.0, pointer, findings)
    }
}

impl From<&Section> for RawSection {
    fn from(section: &Section) -> Self {
        // A section has only string keys and whole numbers, so this can't fail.
        Self(serde_json::to_value(section).unwrap_or_default())
    }
}

/// Reads a document from JSON.
///
/// # Errors
///
/// All that is wrong with its syntax and shape; what it says is for [`check`](super::check).
pub fn parse_document(bytes: &[u8]) -> Result<Document, Vec<Finding>> {
    let (value, mut findings) = parse(bytes, "")?;
    schema::check_document(&value, Place::Root(""), &mut findings);
    deserialize_checked(&value, "", findings)
}

/// Reads the section that stands at `pointer` of a document from JSON.
///
/// # Errors
///
/// All that is wrong with its syntax and shape.
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

/// Returns the value in `bytes`, with keys that stand twice as findings.
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
    // The bytes were read once already, so the second reading can't fail.
    let _ = seed.deserialize(&mut serde_json::Deserializer::from_slice(bytes));
    Ok((value, findings))
}

/// Looks for keys that stand twice in an object. JSON readers keep one of the two silently, so an
/// operator's section could be dropped without a word.
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
