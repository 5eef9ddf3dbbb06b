//! `check`, `show` and `explain`.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::{
    tool::{
        Exit, Log, LogReader, Printed, ToolError, ToolSettings,
        commands::read_file,
        entries::query_statuses,
        options::{CheckOptions, ShowOptions},
    },
    utils::Name,
    version::{
        Document,
        Finding,
        History,
        MAX_DOCUMENT_BYTES,
        Section,
        check as check_document,
        check_single_section,
        explain,
        parse_document,
        parse_section, //
    },
};

#[derive(Serialize)]
struct CheckAnswer {
    valid: bool,
    findings: Vec<Finding>,
}

impl fmt::Display for CheckAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.valid {
            return f.write_str("valid; whether the guarantees fit the hardware, status shows");
        }
        let lines: Vec<String> = self.findings.iter().map(Finding::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

/// Checks a document, or one section of it.
pub(super) fn check(options: &CheckOptions) -> Result<Printed, ToolError> {
    let bytes = read_file(&options.file, MAX_DOCUMENT_BYTES)?;
    let findings = match &options.section {
        Some(name) => match parse_section(&bytes, &format!("/sections/{name}")) {
            Ok(section) => check_single_section(name, &section),
            Err(findings) => findings,
        },
        None => match parse_document(&bytes) {
            Ok(document) => check_document(&document),
            Err(findings) => findings,
        },
    };
    let valid = findings.is_empty();
    let exit = if valid { Exit::Done } else { Exit::Refused };
    Ok(Printed::new(&CheckAnswer { valid, findings }, exit))
}

#[derive(Serialize)]
struct ShowAnswer<'a> {
    version: u64,
    sections: &'a BTreeMap<Name, u64>,
    document: &'a Document,
}

impl fmt::Display for ShowAnswer<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&pretty(self.document))
    }
}

#[derive(Serialize)]
struct ShowSectionAnswer<'a> {
    section: &'a Name,
    version: u64,
    content: &'a Section,
}

impl fmt::Display for ShowSectionAnswer<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&pretty(self.content))
    }
}

fn pretty<T: Serialize>(value: &T) -> String {
    // This can't fail, as a document has only string keys and integers.
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Prints the document in force, or one section of it.
///
/// The text is the input of `edit`. The version goes to the standard error, so that the standard
/// output can be saved to a file, edited, and passed back with `--base`.
pub(super) fn show(settings: &ToolSettings, options: &ShowOptions) -> Result<Printed, ToolError> {
    let mut reader = LogReader::new(settings.log()?, settings.opener());
    let history = read_history(settings, &mut reader)?;
    let document = &history.current().document;
    let Some(name) = &options.section else {
        let answer = ShowAnswer {
            version: history.current().offset,
            sections: history.section_versions(),
            document,
        };
        eprintln!("version {}", answer.version);
        return Ok(Printed::new(&answer, Exit::Done));
    };
    let Some(content) = document.sections.get(name) else {
        let what = format!("there is no section `{name}`");
        return Err(ToolError::Refused(what));
    };
    let answer = ShowSectionAnswer {
        section: name,
        version: history.section_versions().get(name).copied().unwrap_or(0),
        content,
    };
    eprintln!(
        "version {}; edit with --base {}",
        answer.version, answer.version
    );
    Ok(Printed::new(&answer, Exit::Done))
}

/// Returns a text, with warnings, on what the system does under the document in a file.
pub(super) fn explain_file(file: &str) -> Result<Printed, ToolError> {
    let bytes = read_file(file, MAX_DOCUMENT_BYTES)?;
    let document = parse_document(&bytes).map_err(ToolError::Findings)?;
    let findings = check_document(&document);
    if !findings.is_empty() {
        return Err(ToolError::Findings(findings));
    }
    Ok(Printed::new(&explain(&document), Exit::Done))
}

/// Explains the document in force.
pub(super) fn explain_in_force(settings: &ToolSettings) -> Result<Printed, ToolError> {
    let mut reader = LogReader::new(settings.log()?, settings.opener());
    let history = read_history(settings, &mut reader)?;
    Ok(Printed::new(
        &explain(&history.current().document),
        Exit::Done,
    ))
}

/// Reads the log and returns the history of the configuration.
fn read_history<'a, L: Log>(
    settings: &ToolSettings,
    reader: &'a mut LogReader<L>,
) -> Result<&'a History, ToolError> {
    reader
        .catch_up(drop)
        .map_err(|e| ToolError::NotKnown(e.to_string()))?;
    require_complete(settings, &reader.ledger().history)
}

/// Returns `history` if it is complete, and if any presumption that there was no configuration is
/// confirmed by the entries.
///
/// The tool starts with the records that the log still keeps. If these contain no configuration,
/// the entries may still know one, and would reject an edit that is not based on it.
pub(super) fn require_complete<'a>(
    settings: &ToolSettings,
    history: &'a History,
) -> Result<&'a History, ToolError> {
    if let Some(format) = history.unsupported_format() {
        let what = format!("the document is in format {format}; use a newer tool");
        return Err(ToolError::NotKnown(what));
    }
    if !history.is_complete() {
        let what = "the log has dropped edits, and the planner has not repeated the configuration \
                    since; try again when it has";
        return Err(ToolError::NotKnown(what.to_owned()));
    }
    if history.is_presumed_complete() && !entries_confirm_new_deployment(settings) {
        let what = "the log has dropped its first records, and no entry confirms that there was no \
                    configuration among them";
        return Err(ToolError::NotKnown(what.to_owned()));
    }
    Ok(history)
}

/// Returns whether at least one entry answers, and none of those that answer has a configuration.
fn entries_confirm_new_deployment(settings: &ToolSettings) -> bool {
    let answers = query_statuses(settings.entries(), settings.timeout);
    let mut versions = answers
        .iter()
        .filter_map(|a| a.status.as_ref().ok())
        .map(|s| s.version)
        .peekable();
    versions.peek().is_some() && versions.all(|v| v == 0)
}
