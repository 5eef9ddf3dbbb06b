//! The daemon's command line, whose options override the settings file.

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

/// Maximum size of the settings file, in bytes.
const MAX_SETTINGS_BYTES: u64 = 1 << 20;

/// Command-line options of the daemon; each overrides the field of the same name in the settings
/// file.
#[derive(Debug, Default, Options)]
pub struct Cli {
    /// Print the help and exit.
    #[options(help = "print this help and exit")]
    pub help: bool,
    /// Print the version and exit.
    #[options(no_short, help = "print the version and exit")]
    pub version: bool,
    /// The settings file.
    #[options(help = "path of the settings file (JSON)", meta = "FILE")]
    pub config: Option<PathBuf>,
    /// The name of this process.
    #[options(help = "name of this process", meta = "NAME")]
    pub name: Option<String>,
    /// The address of the HTTP listener.
    #[options(no_short, help = "address of the HTTP listener", meta = "IP:PORT")]
    pub http: Option<String>,
    /// The address of the listener for peer links.
    #[options(
        no_short,
        help = "address of the listener for peer links",
        meta = "IP:PORT"
    )]
    pub peers: Option<String>,
    /// The address of the platform's log service.
    #[options(no_short, help = "address of the log service", meta = "IP:PORT")]
    pub log: Option<String>,
    /// Check the settings and exit.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
}

impl Cli {
    /// Parses the arguments of the process. Exits after `--help` and on an invalid argument.
    pub fn parse() -> Self {
        Self::parse_args_default_or_exit()
    }

    /// Reads the settings file, applies the options and returns the checked settings.
    ///
    /// # Errors
    ///
    /// Returns all findings at once, each with its location.
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
        return Err(finding(&place, &"The file is larger than 1 MiB."));
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
