//! A single process of a deployment: either a daemon or a stand-in.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use dragonflyrun::process::Config;
use oxhttp::model::Method;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    harness::child::{Child, address_in},
    http,
    relay::Relay, //
};

/// Timeout of an HTTP call to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A daemon of the deployment with the relays in front of it.
pub struct Daemon {
    /// The process.
    pub child: Child,
    /// The address of its HTTP listener.
    pub http: SocketAddr,
    /// The relay between the daemon and the log service.
    pub log_link: Relay,
    /// The relay in front of an entry's peer listener, through which all peers connect; none for
    /// an agent.
    pub peer_link: Option<Relay>,
    config: Config,
}

/// A stand-in of the deployment.
pub struct StandIn {
    /// The process.
    pub child: Child,
    /// The address at which it listens.
    pub address: SocketAddr,
}

impl Daemon {
    pub(super) fn start(
        name: &str,
        config: Config,
        log_link: Relay,
        peer_link: Option<Relay>,
        dir: &Path,
    ) -> Self {
        let child = start_process(name, &config, dir);
        let line = child.first_line();
        let mut daemon = Self {
            child,
            http: address_in(&line, "http="),
            log_link,
            peer_link,
            config,
        };
        daemon.reuse_addresses(&line);
        daemon
    }

    /// Returns the address at which its peers reach it.
    pub(super) fn advertised(&self) -> Option<String> {
        self.config.advertise.clone()
    }

    /// Kills the process and starts a new one with the same settings and addresses.
    pub(super) fn restart(&mut self, dir: &Path) {
        self.child.kill();
        let name = self.child.name().to_owned();
        self.child = start_process(&name, &self.config, dir);
        let line = self.child.first_line();
        self.reuse_addresses(&line);
    }

    /// Saves the listening addresses in the settings, so that a restart uses them again.
    fn reuse_addresses(&mut self, line: &str) {
        self.http = address_in(line, "http=");
        self.config.http = Some(self.http.to_string());
        if let Some(peer_link) = &self.peer_link {
            let peers = address_in(line, "peers=");
            peer_link.set_target(peers);
            self.config.peers = Some(peers.to_string());
        }
    }
}

impl StandIn {
    pub(super) fn start(name: &str, arguments: &[&str], dir: &Path) -> Self {
        let arguments: Vec<String> = arguments.iter().map(|&a| a.to_owned()).collect();
        let child = Child::start(name, "standins", &arguments, dir);
        let address = address_in(&child.first_line(), "");
        Self { child, address }
    }

    pub(super) fn control(&self, control: &impl Serialize) {
        let answer = http::call_json(
            self.address,
            Method::POST,
            "/control",
            control,
            CALL_TIMEOUT,
        );
        if let Err(error) = answer {
            panic!("{}: {error}", self.child.name());
        }
    }

    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        http::call(
            self.address,
            Method::GET,
            path,
            &[],
            Vec::new(),
            CALL_TIMEOUT,
        )
        .and_then(|answer| answer.json())
        .ok()
    }
}

fn start_process(name: &str, config: &Config, dir: &Path) -> Child {
    let path = dir.join(format!("{name}.json"));
    let json = serde_json::to_vec_pretty(config).unwrap_or_default();
    if let Err(error) = fs::write(&path, json) {
        panic!("{name}: cannot write the settings file: {error}");
    }
    let arguments = ["--config".to_owned(), path.display().to_string()];
    Child::start(name, "dragonflyrund", &arguments, dir)
}
