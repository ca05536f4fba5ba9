//! Experiments: the same scenarios run with several policies, paired by seed, with bootstrap intervals and
//! a verdict.

use crate::random::{Stream, Streams};
use crate::scenario::{Scenario, ScenarioError};
use crate::simulation::policy::Policy;
use crate::simulation::report::RunReport;
use crate::simulation::run_scenario;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// An experiment, as a JSON5 file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// Scenario files, relative to the file of the experiment.
    pub scenarios: Vec<PathBuf>,
    /// Policies; the first is the baseline of the comparison.
    pub policies: Vec<Policy>,
    /// Number of runs of each scenario and policy, with seeds from 1.
    pub seeds: u64,
    /// Numbers of dispatchers to run each scenario with, with load and engines in proportion; if empty, the
    /// number in the scenario.
    #[serde(default)]
    #[serde(rename = "gateways")]
    pub dispatchers: Vec<usize>,
    /// Maximum length of a run, in seconds.
    pub seconds: Option<f64>,
}

impl Experiment {
    /// Reads an experiment from a file.
    ///
    /// # Errors
    /// Returns the problem of the file, with its path.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let path_text = path.display().to_string();
        let file_error = |problem: String| ScenarioError::File {
            path: path_text.clone(),
            problem,
        };
        let text = std::fs::read_to_string(path).map_err(|e| file_error(e.to_string()))?;
        let e: Experiment = json5::from_str(&text).map_err(|e| file_error(e.to_string()))?;
        if e.policies.is_empty() || e.seeds == 0 || e.scenarios.is_empty() {
            return Err(file_error(
                "policies and scenarios must not be empty, and seeds must be at least 1".into(),
            ));
        }
        Ok(e)
    }

    /// Reads the scenarios, each once for each number of dispatchers. `experiment_file` is the path of the
    /// experiment.
    ///
    /// # Errors
    /// Returns the first problem of a scenario.
    pub fn load_scenarios(&self, experiment_file: &Path) -> Result<Vec<Scenario>, ScenarioError> {
        let folder = experiment_file.parent().unwrap_or(Path::new("."));
        let mut scenarios = vec![];
        for path in &self.scenarios {
            let mut s = Scenario::read(&folder.join(path))?;
            if let Some(seconds) = self.seconds {
                s.seconds = s.seconds.min(seconds);
            }
            match self.dispatchers.is_empty() {
                true => scenarios.push(s),
                false => scenarios.extend(self.dispatchers.iter().map(|n| scaled(&s, *n))),
            }
        }
        Ok(scenarios)
    }
}

/// Returns the scenario with another number of dispatchers. Engines, load, table groups and quotas grow in
/// proportion, so that the load of each dispatcher stays the same and only their number differs.
pub fn scaled(s: &Scenario, dispatchers: usize) -> Scenario {
    let factor = dispatchers as f64 / s.dispatchers as f64;
    let mut out = s.clone();
    out.name = format!("{} x {dispatchers}", s.name);
    out.dispatchers = dispatchers;
    for set in &mut out.engines {
        set.count = ((set.count as f64 * factor).round() as usize).max(1);
    }
    out.load.per_s *= factor;
    out.load.areas = ((s.load.areas as f64 * factor).round() as usize).max(1);
    for t in &mut out.tenants {
        t.quota_per_s = t.quota_per_s.map(|q| q * factor);
    }
    out
}

/// Runs of one scenario with one policy, in the order of their seeds.
#[derive(Clone, Debug)]
pub struct Series {
    pub scenario: Scenario,
    pub policy: Policy,
    pub runs: Vec<RunReport>,
}

/// Runs every scenario with every policy and seed on all cores; `run_done` is called after each run.
pub fn run(
    scenarios: &[Scenario],
    policies: &[Policy],
    seeds: u64,
    run_done: &(dyn Fn() + Sync),
) -> Vec<Series> {
    let mut jobs = vec![];
    for (s, _) in scenarios.iter().enumerate() {
        for p in policies {
            jobs.extend((1..=seeds).map(|seed| (s, *p, seed)));
        }
    }
    let reports: Vec<((usize, Policy), RunReport)> = jobs
        .into_par_iter()
        .map(|(s, policy, seed)| {
            let report = run_scenario(&scenarios[s], policy, seed);
            run_done();
            ((s, policy), report)
        })
        .collect();
    let mut series: Vec<Series> = vec![];
    for ((s, policy), report) in reports {
        // Reports are in the order of the jobs, so runs of two series with the same index have the same seed.
        match series
            .last_mut()
            .filter(|x| x.policy == policy && x.scenario == scenarios[s])
        {
            Some(last) => last.runs.push(report),
            None => series.push(Series {
                scenario: scenarios[s].clone(),
                policy,
                runs: vec![report],
            }),
        }
    }
    series
}

/// Difference between two policies, with its interval and verdict.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub median: f64,
    /// Lower bound of the 95% bootstrap interval of the median.
    pub low: f64,
    /// Upper bound of the interval.
    pub high: f64,
    pub verdict: Verdict,
}

/// Verdict on a policy compared with the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    Inconclusive,
}

impl Verdict {
    /// Returns the verdict as reports print it.
    pub fn label(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::Inconclusive => "can't tell",
        }
    }
}

pub fn median(values: &[f64]) -> f64 {
    let mut v = values.to_vec();
    v.sort_by(f64::total_cmp);
    match v.len() {
        0 => f64::NAN,
        n if n % 2 == 1 => v[n / 2],
        n => (v[n / 2 - 1] + v[n / 2]) / 2.0,
    }
}

/// Number of resamplings of a bootstrap.
const BOOTSTRAP_RESAMPLES: usize = 2000;

/// Returns the median of the paired differences `other` minus `first`, and its bootstrap interval. The
/// verdict is on `other`.
pub fn difference(first: &[f64], other: &[f64], random: &mut Stream) -> Difference {
    let pairs: Vec<f64> = first.iter().zip(other).map(|(a, b)| b - a).collect();
    let interval = bootstrap_interval(&pairs, random);
    let verdict = match interval {
        // With fewer than 5 pairs, an interval can exclude zero by chance alone.
        _ if pairs.len() < 5 => Verdict::Inconclusive,
        (low, _) if low > 0.0 => Verdict::Better,
        (_, high) if high < 0.0 => Verdict::Worse,
        _ => Verdict::Inconclusive,
    };
    Difference {
        median: median(&pairs),
        low: interval.0,
        high: interval.1,
        verdict,
    }
}

/// Returns the 95% bootstrap interval of the median of `values`.
pub fn bootstrap_interval(values: &[f64], random: &mut Stream) -> (f64, f64) {
    if values.is_empty() {
        return (f64::NAN, f64::NAN);
    }
    let mut medians: Vec<f64> = (0..BOOTSTRAP_RESAMPLES)
        .map(|_| {
            let resample: Vec<f64> = values
                .iter()
                .map(|_| values[random.below(values.len())])
                .collect();
            median(&resample)
        })
        .collect();
    medians.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        medians[((BOOTSTRAP_RESAMPLES as f64 * fraction) as usize).min(BOOTSTRAP_RESAMPLES - 1)]
    };
    (quantile(0.025), quantile(0.975))
}

/// Returns the random stream for bootstrap intervals. Its seed is fixed, so the same runs give the same
/// intervals.
pub fn bootstrap_stream() -> Stream {
    Streams::new(1).stream("bootstrap")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clear_difference_is_detected_and_noise_is_not() {
        let mut r = bootstrap_stream();
        let mut noise = Streams::new(2).stream("noise");
        let base: Vec<f64> = (0..40).map(|_| noise.unit()).collect();
        let better: Vec<f64> = base.iter().map(|b| b + 0.1 + 0.02 * noise.unit()).collect();
        let same: Vec<f64> = base
            .iter()
            .map(|b| b + 0.2 * (noise.unit() - 0.5))
            .collect();
        let d = difference(&base, &better, &mut r);
        assert_eq!(d.verdict, Verdict::Better);
        assert!(d.low > 0.1 && d.high < 0.12 && d.low <= d.median && d.median <= d.high);
        assert_eq!(difference(&better, &base, &mut r).verdict, Verdict::Worse);
        assert_eq!(
            difference(&base, &same, &mut r).verdict,
            Verdict::Inconclusive
        );
        assert_eq!(
            difference(&[0.0; 3], &[1.0; 3], &mut r).verdict,
            Verdict::Inconclusive,
            "three pairs are too few for a verdict"
        );
    }

    #[test]
    fn an_interval_covers_the_median_at_its_nominal_rate() {
        let mut r = bootstrap_stream();
        let mut noise = Streams::new(5).stream("noise");
        let covered = (0..200).filter(|_| {
            let sample: Vec<f64> = (0..25).map(|_| noise.unit()).collect();
            let (low, high) = bootstrap_interval(&sample, &mut r);
            low <= 0.5 && 0.5 <= high
        });
        let covered = covered.count();
        assert!((178..=200).contains(&covered), "{covered} of 200");
    }

    #[test]
    fn a_scenario_is_scaled_in_proportion() {
        let s = Scenario::parse(
            r#"{ name: "x", seconds: 5, gateways: 3, engines: [{ kind: "std", count: 6 }], load: { per_s: 30, areas: 10 } }"#,
        )
        .unwrap();
        let big = scaled(&s, 30);
        assert_eq!(
            (
                big.dispatchers,
                big.engines[0].count,
                big.load.per_s,
                big.load.areas
            ),
            (30, 60, 300.0, 100)
        );
    }

    #[test]
    fn series_are_in_the_order_of_seeds_whatever_the_number_of_threads() {
        let s = Scenario::parse(
            r#"{ name: "x", seconds: 4, gateways: 2, engines: [{ kind: "std", count: 3 }], load: { per_s: 15 } }"#,
        )
        .unwrap();
        let all = run(
            std::slice::from_ref(&s),
            &[Policy::Module, Policy::Random],
            4,
            &|| (),
        );
        assert_eq!(all.len(), 2);
        for series in &all {
            let expected: Vec<u64> = (1..=4)
                .map(|seed| run_scenario(&s, series.policy, seed).hash)
                .collect();
            assert_eq!(
                series.runs.iter().map(|d| d.hash).collect::<Vec<_>>(),
                expected
            );
        }
    }
}
