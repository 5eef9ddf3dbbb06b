//! The figures of all runs as a table and as JSON.

use serde::{Deserialize, Serialize};

use crate::simulation::Figures;

/// The figures of all runs.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Report {
    pub(crate) rows: Vec<Row>,
}

/// The figures of one run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Row {
    deployment: String,
    policy: String,
    seed: u64,
    figures: Figures,
}

impl Row {
    pub(crate) fn new(deployment: &str, policy: &str, seed: u64, figures: Figures) -> Self {
        Self {
            deployment: deployment.to_owned(),
            policy: policy.to_owned(),
            seed,
            figures,
        }
    }

    pub(crate) fn renamed(&self, policy: &str) -> Self {
        Self {
            policy: policy.to_owned(),
            ..self.clone()
        }
    }

    fn print(&self) {
        let f = &self.figures;
        println!(
            "{:<13}{:<9}{:>4} |{:>7.1}{:>8.1} |{:>7.0}{:>7.0} |{:>7.0}{:>7.0} |{:>7.0}{:>7.0}{:>6.2}{:>7.0} \
             |{:>6.3}{:>6.3}{:>6.2}{:>6.3} |{:>7.0}{:>7.0}{:>5}{:>5}{:>5}{:>5}{:>4}{:>4}",
            self.deployment,
            self.policy,
            self.seed,
            f.urgent.median_s,
            f.urgent.p99_s,
            f.normal.median_s,
            f.normal.p99_s,
            f.patient.median_s,
            f.patient.p99_s,
            f.large.median_s,
            f.large.p99_s,
            f.large.p99_over_bound,
            f.large_longest_wait_s,
            f.fragmentation,
            f.fragmentation_of_all,
            f.makespan_over_bound,
            f.drain_share,
            f.lost_to_evictions_s,
            f.lost_to_failures_s,
            f.violations,
            f.reclaims,
            f.evictions,
            f.failed_starts,
            f.refused,
            f.unfinished,
        );
    }
}

impl Report {
    pub(crate) fn row(&self, deployment: &str, policy: &str, seed: u64) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|r| r.deployment == deployment && r.policy == policy && r.seed == seed)
    }

    /// Returns the rows of one policy.
    pub(crate) fn only(&self, policy: &str) -> Self {
        let rows = self.rows.iter().filter(|r| r.policy == policy);
        Self {
            rows: rows.cloned().collect(),
        }
    }

    pub(crate) fn json(&self) -> String {
        let text = serde_json::to_string_pretty(self).expect("figures are plain data");
        text + "\n"
    }

    pub(crate) fn print(&self) {
        println!(
            "{:<13}{:<9}{:>4} |{:>15} |{:>14} |{:>14} |{:>27} |{:>24} |{:>14}{:>28}",
            "deployment",
            "policy",
            "seed",
            "urgent s",
            "normal s",
            "patient s",
            "large s",
            "fragmentation, drain",
            "lost acc-s",
            "counts",
        );
        println!(
            "{:<26} |{:>7}{:>8} |{:>7}{:>7} |{:>7}{:>7} |{:>7}{:>7}{:>6}{:>7} \
             |{:>6}{:>6}{:>6}{:>6} |{:>7}{:>7}{:>5}{:>5}{:>5}{:>5}{:>4}{:>4}",
            "",
            "median",
            "p99",
            "median",
            "p99",
            "median",
            "p99",
            "median",
            "p99",
            "xbnd",
            "wait",
            "idle",
            "all",
            "span",
            "drain",
            "evict",
            "fail",
            "viol",
            "recl",
            "evic",
            "fst",
            "ref",
            "unf",
        );
        for row in &self.rows {
            row.print();
        }
    }
}
