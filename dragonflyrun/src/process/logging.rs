//! Log lines made of key=value pairs, one line per event.

use std::io::Write;

use env_logger::{Builder, Env, Target};
use log::kv::{self, VisitSource};

use crate::process::LogWriter;

/// Starts logging to standard output through a bounded queue that never blocks. The environment
/// variable `DRAGONFLYRUN_LOG` sets the level; the default is `info`.
pub fn start() {
    // If the thread can't be spawned, lines are written directly.
    let target = LogWriter::new(std::io::stdout())
        .map_or(Target::Stdout, |writer| Target::Pipe(Box::new(writer)));
    start_to(target, "info");
}

/// Starts logging to standard error, for programs whose output is read by people. The level is
/// `level` unless the environment variable sets it.
pub fn start_at(level: &str) {
    start_to(Target::Stderr, level);
}

fn start_to(target: Target, level: &str) {
    let env = Env::new().filter_or("DRAGONFLYRUN_LOG", level);
    Builder::from_env(env)
        .target(target)
        .format(|f, record| {
            let now = f.timestamp_millis();
            let (level, event) = (record.level(), record.args());
            write!(f, "time={now} level={level} event={event}")?;
            let mut pairs = Pairs(Vec::new());
            // Writing to memory can't fail.
            let _ = record.key_values().visit(&mut pairs);
            f.write_all(&pairs.0)?;
            writeln!(f)
        })
        .init();
}

/// Formats pairs as ` key=value`. A value that is empty or contains a space, a quote, an equals
/// sign or a line end is quoted.
struct Pairs(Vec<u8>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\r', '\t']);
        if plain {
            write!(self.0, " {key}={value}")?;
        } else {
            write!(self.0, " {key}={value:?}")?;
        }
        Ok(())
    }
}
