//! Validation of the daemon's settings reports all findings at once.

use dragonflyrun::process::{Config, RoleSettings, Settings};

fn findings(json: &str) -> Vec<String> {
    let cfg: Config = serde_json::from_str(json).unwrap();
    let error = Settings::check(cfg).unwrap_err();
    error.findings.iter().map(|f| f.place.clone()).collect()
}

#[test]
fn valid_entry() {
    let cfg: Config = serde_json::from_str(include_str!("data/entry.json")).unwrap();
    let settings = Settings::check(cfg).unwrap();
    assert_eq!(&*settings.name, "entry-1");
    assert!(matches!(settings.role, RoleSettings::Entry { .. }));
}

#[test]
fn all_findings() {
    assert_eq!(
        findings("{}"),
        ["/name", "/http", "/log", "/secret", "/role"]
    );
    assert_eq!(
        findings(include_str!("data/bad_agent.json")),
        [
            "/http",
            "/secret",
            "/failure_domain",
            "/rack",
            "/threads",
            "/connections"
        ]
    );
}

#[test]
fn unknown_key() {
    assert!(serde_json::from_str::<Config>(r#"{"nmae":"entry-1"}"#).is_err());
}

#[test]
fn random_bytes() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Ok(cfg) = serde_json::from_slice::<Config>(&bytes) {
            let _ = Settings::check(cfg);
        }
        Ok(())
    });
}
