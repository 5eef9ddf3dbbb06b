//! The measures of all runs as a table and as JSON.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::simulation::Figures;

/// The measures of all runs.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct Report {
    pub(crate) rows: Vec<Row>,
}

/// The measures of one run.
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

    /// Returns a report with only the rows of `policy`.
    pub(crate) fn only(&self, policy: &str) -> Self {
        let rows = self.rows.iter().filter(|r| r.policy == policy);
        Self {
            rows: rows.cloned().collect(),
        }
    }

    pub(crate) fn json(&self) -> String {
        let text = serde_json::to_string_pretty(self).expect("measures can be serialized");
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
        println!();
        for summary in self.summaries() {
            println!("{summary}");
        }
    }

    /// Returns the measures over all seeds, for each deployment and policy.
    pub(crate) fn summaries(&self) -> Vec<Summary> {
        let key = |r: &Row| (r.deployment.clone(), r.policy.clone());
        let mut keys: Vec<_> = self.rows.iter().map(key).collect();
        keys.sort();
        keys.dedup();
        keys.iter()
            .map(|wanted| {
                let rows = self.rows.iter().filter(|r| key(r) == *wanted);
                Summary::of(&rows.collect::<Vec<_>>())
            })
            .collect()
    }
}

/// The measures of one deployment and policy over all seeds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Summary {
    pub(crate) deployment: String,
    pub(crate) policy: String,
    pub(crate) large_median_s: f64,
    pub(crate) large_p99_s: f64,
    pub(crate) large_longest_wait_s: f64,
    pub(crate) urgent_p99_s: f64,
    pub(crate) normal_p99_s: f64,
    pub(crate) patient_p99_s: f64,
    pub(crate) fragmentation: f64,
    pub(crate) fragmentation_of_all: f64,
    pub(crate) drain_share: f64,
    pub(crate) lost_to_evictions_s: f64,
    pub(crate) violations: u32,
}

impl Summary {
    fn of(rows: &[&Row]) -> Self {
        let mean = |figure: fn(&Figures) -> f64| {
            let sum: f64 = rows.iter().map(|r| figure(&r.figures)).sum();
            (sum / rows.len() as f64 * 1_000.0).round() / 1_000.0
        };
        let large = rows.iter().flat_map(|r| &r.figures.large_times_s);
        let mut large: Vec<f64> = large.copied().collect();
        large.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let at = (large.len() as f64 * share).ceil() as usize;
            large.get(at.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Self {
            deployment: rows[0].deployment.clone(),
            policy: rows[0].policy.clone(),
            large_median_s: quantile(0.5),
            large_p99_s: quantile(0.99),
            large_longest_wait_s: mean(|f| f.large_longest_wait_s),
            urgent_p99_s: mean(|f| f.urgent.p99_s),
            normal_p99_s: mean(|f| f.normal.p99_s),
            patient_p99_s: mean(|f| f.patient.p99_s),
            fragmentation: mean(|f| f.fragmentation),
            fragmentation_of_all: mean(|f| f.fragmentation_of_all),
            drain_share: mean(|f| f.drain_share),
            lost_to_evictions_s: mean(|f| f.lost_to_evictions_s),
            violations: rows.iter().map(|r| r.figures.violations).sum(),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<13}{:<9} large median {:.0} s, p99 {:.0} s, longest wait {:.0} s; p99 urgent \
             {:.0} s, normal {:.0} s, patient {:.0} s; fragmentation {:.3} ({:.3} of all); drain \
             {:.3}; lost to evictions {:.0}; violations {}",
            self.deployment,
            self.policy,
            self.large_median_s,
            self.large_p99_s,
            self.large_longest_wait_s,
            self.urgent_p99_s,
            self.normal_p99_s,
            self.patient_p99_s,
            self.fragmentation,
            self.fragmentation_of_all,
            self.drain_share,
            self.lost_to_evictions_s,
            self.violations,
        )
    }
}
