//! The daemon's command line, merged over its settings file.

use std::{
    fmt::Display,
    fs,
    path::PathBuf, //
};

use gumdrop::Options;

use crate::{
    process::{Config, Settings, SettingsError},
    version::Finding,
};

/// Bytes of the settings file, at the most.
const MAX_SETTINGS_BYTES: u64 = 1 << 20;

/// The daemon's options; each overrides the field of the same name in the settings file.
#[derive(Debug, Default, Options)]
pub struct Cli {
    /// Prints the options.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The settings file.
    #[options(help = "settings file in JSON", meta = "FILE")]
    pub config: Option<PathBuf>,
    /// The name of this process.
    #[options(help = "name of this process", meta = "NAME")]
    pub name: Option<String>,
    /// The HTTP listener.
    #[options(no_short, help = "address of the HTTP listener", meta = "IP:PORT")]
    pub http: Option<String>,
    /// The listener for peer links.
    #[options(
        no_short,
        help = "address of the listener for peer links",
        meta = "IP:PORT"
    )]
    pub peers: Option<String>,
    /// The platform's log service.
    #[options(no_short, help = "address of the log service", meta = "IP:PORT")]
    pub log: Option<String>,
    /// Checks the settings and ends.
    #[options(no_short, help = "check the settings and end")]
    pub check: bool,
}

impl Cli {
    /// Parses the arguments of the process; ends it after `--help` and on a mistake.
    pub fn parse() -> Self {
        Self::parse_args_default_or_exit()
    }

    /// Returns the checked settings.
    ///
    /// # Errors
    ///
    /// All findings at once, with their places.
    pub fn settings(self) -> Result<Settings, SettingsError> {
        let file = match &self.config {
            Some(path) => read(path)?,
            None => Config::default(),
        };
        let overrides = Config {
            name: self.name.map(Into::into),
            http: self.http,
            peers: self.peers,
            log: self.log,
            ..Config::default()
        };
        Settings::check(file.merge(overrides))
    }
}

fn read(path: &PathBuf) -> Result<Config, SettingsError> {
    let place = path.display().to_string();
    let length = fs::metadata(path).map_err(|e| finding(&place, &e))?.len();
    if length > MAX_SETTINGS_BYTES {
        return Err(finding(&place, &"The file is longer than 1 MiB."));
    }
    let text = fs::read(path).map_err(|e| finding(&place, &e))?;
    serde_json::from_slice(&text).map_err(|e| finding(&place, &e))
}

fn finding(place: &str, what: &dyn Display) -> SettingsError {
    SettingsError {
        findings: vec![Finding {
            place: place.to_owned(),
            what: what.to_string(),
        }],
    }
}
