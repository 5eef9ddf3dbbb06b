//! The settings of the tool, from a JSON file and the command line, which takes precedence.

use std::{
    fs,
    io,
    net::SocketAddr,
    time::Duration, //
};

use serde::Deserialize;

use crate::{
    connection::{AuthorKey, LogClient},
    tool::{Cli, Opener, ToolError},
    utils::Name,
    version::{Finding, is_name},
};

/// The settings file that is read if the command line names none.
const DEFAULT_SETTINGS_FILE: &str = "dragonflyrun.json";

const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_PATIENCE_MS: u64 = 10_000;

/// The JSON settings file; every field is optional.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ToolConfig {
    /// The `IP:port` of the platform's log.
    pub log: Option<String>,
    /// The `IP:port` of each entry.
    pub entries: Option<Vec<String>>,
    /// The editor that the tool acts as.
    pub editor: Option<Name>,
    /// The editor's key in hexadecimal, as `issue-key` printed it.
    pub key: Option<String>,
    /// The deployment's secret, instead of a key; only for those who operate the processes.
    pub secret: Option<Name>,
    /// The timeout of a call to the log or an entry, in milliseconds. Default: 2,000.
    pub timeout_ms: Option<u64>,
    /// How long an edit is retried while the log is down, in milliseconds. Default: 10,000.
    pub patience_ms: Option<u64>,
}

/// The checked settings. Each command requires only those that it uses.
#[derive(Clone)]
pub struct ToolSettings {
    log: Option<SocketAddr>,
    entries: Vec<SocketAddr>,
    editor: Option<Name>,
    key: Option<AuthorKey>,
    secret: Option<Name>,
    /// The timeout of a call to the log or an entry.
    pub timeout: Duration,
    /// How long an edit is retried while the log is down or slow.
    pub patience: Duration,
}

impl ToolSettings {
    /// Reads the settings file and overrides it with the options of the command line.
    ///
    /// # Errors
    ///
    /// All findings at once.
    pub fn load(cli: &Cli) -> Result<Self, ToolError> {
        let mut cfg = read_settings_file(cli.config.as_deref())?;
        if let Some(file) = &cli.key_file {
            let key = fs::read_to_string(file)
                .map_err(|e| ToolError::Usage(format!("can't read {file}: {e}")))?;
            cfg.key = Some(key);
        }
        let entries = Some(cli.entry.clone()).filter(|e| !e.is_empty());
        let cfg = ToolConfig {
            log: cli.log.clone().or(cfg.log),
            entries: entries.or(cfg.entries),
            editor: cli.editor.clone().or(cfg.editor),
            ..cfg
        };
        Self::check(cfg)
    }

    /// Checks `cfg` and returns the settings.
    ///
    /// # Errors
    ///
    /// All findings at once.
    pub fn check(cfg: ToolConfig) -> Result<Self, ToolError> {
        let mut findings = Vec::new();
        let mut add = |place: &str, what: &str| {
            findings.push(Finding {
                place: place.to_owned(),
                what: what.to_owned(),
            });
        };
        let mut address = |place: &str, text: &String| {
            let address = text.parse().ok();
            if address.is_none() {
                add(place, "It is not an IP number and a port.");
            }
            address
        };
        let log = cfg.log.as_ref().and_then(|log| address("/log", log));
        let entries = cfg.entries.unwrap_or_default();
        let entries = entries.iter().enumerate();
        let entries = entries
            .filter_map(|(i, e)| address(&format!("/entries/{i}"), e))
            .collect();
        if cfg.editor.as_ref().is_some_and(|e| !is_name(e)) {
            add("/editor", "It is not a name.");
        }
        let key = match (&cfg.editor, &cfg.secret, &cfg.key) {
            (Some(editor), Some(secret), _) => Some(AuthorKey::of_editor(secret, editor)),
            (Some(editor), None, Some(hex)) => {
                let key = AuthorKey::of_editor_from_hex(editor, hex);
                if key.is_none() {
                    add("/key", "It is not a key as issue-key prints it.");
                }
                key
            }
            _ => None,
        };
        if !findings.is_empty() {
            return Err(ToolError::Settings(findings));
        }
        Ok(Self {
            log,
            entries,
            editor: cfg.editor,
            key,
            secret: cfg.secret,
            timeout: Duration::from_millis(cfg.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
            patience: Duration::from_millis(cfg.patience_ms.unwrap_or(DEFAULT_PATIENCE_MS)),
        })
    }

    /// Returns a client of the log.
    ///
    /// # Errors
    ///
    /// If no address is set.
    pub fn log(&self) -> Result<LogClient, ToolError> {
        let log = self.log.ok_or_else(|| missing_setting("log", "--log"))?;
        Ok(LogClient::new(&log.to_string(), self.timeout))
    }

    /// Returns the addresses of the entries, which may be empty.
    pub fn entries(&self) -> &[SocketAddr] {
        &self.entries
    }

    /// Returns the addresses of the entries.
    ///
    /// # Errors
    ///
    /// If none is set.
    pub fn require_entries(&self) -> Result<&[SocketAddr], ToolError> {
        if self.entries.is_empty() {
            return Err(missing_setting("entries", "--entry"));
        }
        Ok(&self.entries)
    }

    /// Returns the editor.
    ///
    /// # Errors
    ///
    /// If none is set.
    pub fn editor(&self) -> Result<&Name, ToolError> {
        let editor = self.editor.as_ref();
        editor.ok_or_else(|| missing_setting("editor", "--editor"))
    }

    /// Returns the editor's key.
    ///
    /// # Errors
    ///
    /// If no editor is set, or neither a key nor the secret.
    pub fn key(&self) -> Result<&AuthorKey, ToolError> {
        self.editor()?;
        let key = self.key.as_ref();
        key.ok_or_else(|| missing_setting("key", "--key-file"))
    }

    /// Returns the deployment's secret.
    ///
    /// # Errors
    ///
    /// If none is set.
    pub fn secret(&self) -> Result<&Name, ToolError> {
        let secret = self.secret.as_ref();
        secret.ok_or_else(|| ToolError::Usage("`secret` is needed in the settings file".to_owned()))
    }

    /// Returns how the seals of the records on the log are checked.
    pub fn opener(&self) -> Opener {
        match &self.secret {
            Some(secret) => Opener::Checked(secret.clone()),
            None => Opener::Unchecked,
        }
    }
}

fn missing_setting(key: &str, option: &str) -> ToolError {
    ToolError::Usage(format!(
        "`{key}` is needed: set it in the settings file or by {option}"
    ))
}

fn read_settings_file(file: Option<&str>) -> Result<ToolConfig, ToolError> {
    let bytes = match fs::read(file.unwrap_or(DEFAULT_SETTINGS_FILE)) {
        Ok(bytes) => bytes,
        Err(e) if file.is_none() && e.kind() == io::ErrorKind::NotFound => {
            return Ok(ToolConfig::default());
        }
        Err(e) => {
            let file = file.unwrap_or(DEFAULT_SETTINGS_FILE);
            return Err(ToolError::Usage(format!("can't read {file}: {e}")));
        }
    };
    serde_json::from_slice(&bytes).map_err(|e| {
        ToolError::Settings(vec![Finding {
            place: file.unwrap_or(DEFAULT_SETTINGS_FILE).to_owned(),
            what: format!("{e}."),
        }])
    })
}
