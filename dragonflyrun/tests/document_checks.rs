//! Tests that the checks of a document report all mistakes with their places, and that no input
//! makes them panic.

#![allow(clippy::unwrap_used, reason = "a helper that panics fails its test")]

mod seeds;

use arbtest::arbitrary::{Result, Unstructured};
use dragonflyrun::{
    Document, Name,
    connection::Edit,
    version::{
        Finding, History, LoggedEdit, RawSection, Verdict, check, explain, parse_document,
        parse_section,
    },
};
use seeds::each_seed;
use serde_json::{Map, Value, json};

const VALID: &[u8] = include_bytes!("data/murtal.json");

fn finding_lines(findings: &[Finding]) -> String {
    let lines = findings.iter().map(|f| format!("{f}\n"));
    lines.collect()
}

#[test]
fn valid_document() {
    let document = parse_document(VALID).unwrap();
    assert_eq!(finding_lines(&check(&document)), "");
    let again = serde_json::to_vec(&document).unwrap();
    assert_eq!(parse_document(&again).unwrap(), document);
}

#[test]
fn invalid_document() {
    let document = parse_document(include_bytes!("data/invalid.json")).unwrap();
    let expected = include_str!("data/invalid-findings.txt");
    assert_eq!(finding_lines(&check(&document)), expected);
}

#[test]
fn malformed_document() {
    let findings = parse_document(include_bytes!("data/malformed.json")).unwrap_err();
    let expected = include_str!("data/malformed-findings.txt");
    assert_eq!(finding_lines(&findings), expected);
}

/// Operators pass a whole document instead of a section, a truncated file, or bytes that are no
/// document at all. The finding points to the mistake, regardless of the input's size or depth.
#[test]
fn input_that_is_no_document() {
    let place = |bytes: &[u8]| {
        parse_section(bytes, "/sections/a").unwrap_err()[0]
            .place
            .clone()
    };
    assert_eq!(place(VALID), "/sections/a/sections");
    assert_eq!(place(&VALID[..100]), "/sections/a");
    assert_eq!(place(&vec![b'['; 100_000]), "/sections/a");
    assert_eq!(place(&vec![b' '; 5 << 20]), "/sections/a");
    assert_eq!(place(&[0xff, 0xfe]), "/sections/a");
    let long = format!("{{\"{}\":1}}", "k".repeat(1 << 20));
    assert!(place(long.as_bytes()).len() < 200);
}

/// The list of findings is limited even if a malicious section consists of nothing but mistakes.
#[test]
fn many_findings() {
    let names = vec!["not a name"; 5_000];
    let section = json!({ "owners": names });
    let bytes = serde_json::to_vec(&section).unwrap();
    let section = parse_section(&bytes, "").unwrap();
    let mut document = parse_document(VALID).unwrap();
    document.sections.insert("hostile".into(), section.into());
    let findings = check(&document);
    assert!(findings.len() > 10 && findings.len() < 200);
}

/// Returns the valid document with the value at the JSON pointer `place` replaced by `value`.
fn with_value(place: &str, value: Value) -> Document {
    let mut document: Value = serde_json::from_slice(VALID).unwrap();
    let (parent, key) = place.rsplit_once('/').unwrap();
    let parent = document.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(list) => list[key.parse::<usize>().unwrap()] = value,
        _ => parent[key] = value,
    }
    parse_document(&serde_json::to_vec(&document).unwrap()).unwrap()
}

#[test]
fn value_bounds() {
    let scaling = "/sections/log-yard-scaling";
    let guarantee = format!("{scaling}/workspaces/1/guarantees");
    let gang = |tasks: u32, accelerators: u32, adjacency: &str| json!([{ "tasks": tasks, "accelerators": accelerators, "adjacency": adjacency }]);
    let service = |key: &str| format!("{scaling}/services/0/{key}");
    let limit = |key: &str| format!("/sections/administration/limits/{key}");
    let name = |n: usize| json!("n".repeat(n));
    let valid_and_invalid = [
        (
            guarantee.clone(),
            gang(256, 64, "any"),
            gang(257, 64, "any"),
        ),
        (guarantee.clone(), gang(1, 1, "any"), gang(0, 1, "any")),
        (guarantee.clone(), gang(1, 64, "any"), gang(1, 65, "any")),
        (
            guarantee.clone(),
            gang(8, 8, "worker"),
            gang(9, 8, "worker"),
        ),
        (
            format!("{scaling}/workspaces/0/quota_accelerators"),
            json!(28),
            json!(27),
        ),
        (format!("{scaling}/workspaces/0/name"), name(64), name(65)),
        (
            format!("{scaling}/workspaces/0/name"),
            json!("a.b_c-d@E9"),
            json!("-a"),
        ),
        (
            format!("{scaling}/owners/1"),
            json!("b"),
            json!("scaling-team"),
        ),
        (service("deadline_ms"), json!(1), json!(0)),
        (service("key_window_ms"), json!(4_000), json!(3_999)),
        (service("queue_limit"), json!(100_000), json!(100_001)),
        (
            service("key_window_ms"),
            json!(86_400_000),
            json!(86_400_001),
        ),
        (limit("body_bytes"), json!(16 << 20), json!((16 << 20) + 1)),
        (limit("live_jobs"), json!(100_000), json!(100_001)),
        (limit("retry_percent"), json!(0), json!(101)),
        (limit("worker_failures"), json!(1), json!(0)),
        (limit("quarantine_ms"), json!(1_000), json!(999)),
    ];
    for (place, valid, invalid) in valid_and_invalid {
        let findings = check(&with_value(&place, valid));
        assert_eq!(finding_lines(&findings), "", "{place}");
        let findings = check(&with_value(&place, invalid));
        assert_eq!(findings.len(), 1, "{place}: {}", finding_lines(&findings));
        let found = &findings[0].place;
        assert!(found.starts_with(&place), "{place}: {found}");
    }
}

const KEYS: [&str; 22] = [
    "sections",
    "administration",
    "team",
    "owners",
    "format",
    "workspaces",
    "failure_domains",
    "services",
    "limits",
    "name",
    "guarantees",
    "quota_accelerators",
    "tasks",
    "accelerators",
    "adjacency",
    "region",
    "in_service",
    "urgency",
    "deadline_ms",
    "repeatable",
    "body_bytes",
    "strange",
];

const TEXTS: [&str; 8] = ["a", "b", "root", "rack", "worker", "urgent", "", "\u{0}/~ü"];

const NUMBERS: [u64; 7] = [0, 1, 8, 256, u32::MAX as u64, u32::MAX as u64 + 1, u64::MAX];

/// Generates any JSON value, mostly with keys of a document.
fn any_value(u: &mut Unstructured<'_>, depth: u32) -> Result<Value> {
    let kinds = if depth == 0 { 4 } else { 8 };
    Ok(match u.int_in_range(0..=kinds)? {
        0 => json!(*u.choose(&TEXTS)?),
        1 => json!(*u.choose(&NUMBERS)?),
        2 => json!(u.ratio(1, 2)?),
        3 => Value::Null,
        4 => json!(u.arbitrary::<f32>()?),
        5 | 6 => {
            let mut map = Map::new();
            for _ in 0..u.int_in_range(0..=4)? {
                let key = *u.choose(&KEYS)?;
                map.insert(key.to_owned(), any_value(u, depth - 1)?);
            }
            Value::Object(map)
        }
        _ => {
            let length = u.int_in_range(0..=3)?;
            let list: Result<Vec<Value>> = (0..length).map(|_| any_value(u, depth - 1)).collect();
            Value::Array(list?)
        }
    })
}

/// Replaces one value inside `target` by another one.
fn mutate(u: &mut Unstructured<'_>, target: &mut Value) -> Result<()> {
    let descend = u.ratio(9, 10)?;
    match target {
        Value::Object(map) if descend && !map.is_empty() => {
            let index = u.choose_index(map.len())?;
            mutate(u, map.values_mut().nth(index).unwrap())
        }
        Value::Array(list) if descend && !list.is_empty() => {
            let index = u.choose_index(list.len())?;
            mutate(u, &mut list[index])
        }
        _ => {
            *target = match target {
                Value::Number(_) if u.ratio(2, 3)? => json!(*u.choose(&NUMBERS)?),
                Value::String(_) if u.ratio(2, 3)? => json!(*u.choose(&TEXTS)?),
                Value::Bool(flag) if u.ratio(2, 3)? => json!(!*flag),
                _ => any_value(u, 2)?,
            };
            Ok(())
        }
    }
}

fn mutated(u: &mut Unstructured<'_>) -> Result<Value> {
    let mut document = serde_json::from_slice(VALID).unwrap();
    for _ in 0..u.int_in_range(1..=3)? {
        mutate(u, &mut document)?;
    }
    Ok(document)
}

/// Any JSON value yields either findings or a document, and the schema agrees with the types of the
/// document.
#[test]
fn any_document() {
    let (mut valid, mut invalid) = (0, 0);
    each_seed(2_000, 512, |u| {
        let value = if u.ratio(1, 3)? {
            any_value(u, 6)?
        } else {
            mutated(u)?
        };
        let bytes = serde_json::to_vec(&value).unwrap();
        let parsed = parse_document(&bytes);
        let typed = serde_json::from_slice::<Document>(&bytes);
        match (&parsed, &typed) {
            (Ok(document), typed) => assert_eq!(Some(document), typed.as_ref().ok()),
            // The types also accept an object as a list of its values without keys.
            (Err(findings), Ok(_)) => {
                let is_list_for_object =
                    |f: &Finding| f.what == "It has to be an object, and is a list.";
                assert!(
                    findings.iter().all(is_list_for_object),
                    "{value}: {findings:?}"
                );
            }
            (Err(_), Err(_)) => {}
        }
        match parsed {
            Ok(document) => {
                valid += 1;
                check(&document);
                let _ = explain(&document).to_string();
            }
            Err(findings) => {
                invalid += 1;
                assert!(!findings.is_empty());
            }
        }
        let _ = parse_section(&bytes, "/sections/a");
        let mut history = History::default();
        let edit = Edit {
            section: "administration".into(),
            base: 0,
            content: Some(serde_json::from_value(value).unwrap()),
        };
        history.fold(&LoggedEdit {
            offset: 0,
            id: "edit".into(),
            editor: "root".into(),
            edit,
        });
        Ok(())
    });
    assert!(
        valid > 200 && invalid > 200,
        "{valid} valid and {invalid} invalid documents"
    );
}

/// Documents with overwritten, duplicated or truncated bytes cause no panic.
#[test]
fn any_bytes() {
    // The sum of these guarantees overflows `u64` unless it saturates.
    let gang = json!({ "tasks": u32::MAX, "accelerators": u32::MAX });
    let place = "/sections/log-yard-scaling/workspaces/0/guarantees";
    assert_eq!(check(&with_value(place, json!([gang, gang]))).len(), 5);
    each_seed(2_000, 64, |u| {
        let mut bytes = VALID.to_vec();
        for _ in 0..u.int_in_range(1..=8)? {
            let at = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=2)? {
                0 => bytes[at] = u.arbitrary()?,
                1 => {
                    let tail = bytes[at..].to_vec();
                    bytes.extend(tail);
                }
                _ => bytes.truncate(at + 1),
            }
        }
        if let Ok(document) = parse_document(&bytes) {
            check(&document);
        }
        Ok(())
    });
}

/// The fold checks an edited section against an index of the other sections. Its verdict has to
/// agree with the check of the whole document, or an invalid document would be put in force, and no
/// later edit could build on it.
#[test]
fn fold_agrees_with_check() {
    let root: Name = "root".into();
    let (mut accepted, mut rejected) = (0, 0);
    each_seed(300, 512, |u| {
        let mut history = History::default();
        let mut offset = 0;
        while !u.is_empty() {
            offset += 1;
            let section: Name = (*u.choose(&["administration", "a", "b", "c"])?).into();
            let content = any_section(u)?;
            let base = history
                .section_versions()
                .get(&section)
                .copied()
                .unwrap_or(0);
            let mut document = history.current().document.clone();
            let parsed = content.as_ref().map(|c| c.parse(""));
            let passes_check = match parsed {
                None => {
                    document.sections.remove(&section);
                    check(&document).is_empty()
                }
                Some(Err(_)) => false,
                Some(Ok(parsed)) => {
                    document.sections.insert(section.clone(), parsed.into());
                    check(&document).is_empty()
                }
            };
            let edit = Edit {
                section,
                base,
                content,
            };
            let id = format!("edit-{offset}").into();
            let editor = root.clone();
            let verdict = history.fold(&LoggedEdit {
                offset,
                id,
                editor,
                edit,
            });
            match verdict.unwrap() {
                Verdict::Accepted => {
                    accepted += 1;
                    assert!(passes_check);
                    assert_eq!(history.current().document, document);
                    assert_eq!(history.current().offset, offset + 1);
                }
                Verdict::Invalid { findings } => {
                    rejected += 1;
                    assert!(!passes_check, "{}", finding_lines(&findings));
                    assert_ne!(history.current().offset, offset + 1);
                }
                Verdict::Stale { .. } => panic!("the base is the current version"),
                Verdict::NotOwner => assert!(history.current().document.sections.is_empty()),
            }
        }
        Ok(())
    });
    assert!(
        accepted > 500 && rejected > 500,
        "{accepted} and {rejected}"
    );
}

fn any_section(u: &mut Unstructured<'_>) -> Result<Option<RawSection>> {
    let name = |u: &mut Unstructured<'_>| Ok(*u.choose(&["x", "y", "z", "not a name"])?);
    let mut section = json!({ "owners": ["root"] });
    match u.int_in_range(0..=6)? {
        0 => return Ok(None),
        1 => section["workspaces"] = json!([{ "name": name(u)? }, { "name": name(u)? }]),
        2 => section["failure_domains"] = json!([{ "name": name(u)? }]),
        3 => section["services"] = json!([{ "name": name(u)? }]),
        4 => section["limits"] = json!({}),
        5 => section["strange"] = json!(1),
        _ => section["owners"] = json!(["root", "root", name(u)?]),
    }
    Ok(Some(serde_json::from_value(section).unwrap()))
}
