//! Experiments: the same days played by several policies, paired by seed, with intervals and a verdict.

use crate::random::{Stream, Streams};
use crate::scenario::{Scenario, ScenarioError};
use crate::simulation::play;
use crate::simulation::policy::Policy;
use crate::simulation::report::RunReport;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// What is to be compared, as a JSON5 file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// Days, relative to the file.
    pub scenarios: Vec<PathBuf>,
    /// The first is what the others are measured beside.
    pub policies: Vec<Policy>,
    pub seeds: u64,
    /// Numbers of gateways to play each day with; empty: as it says. Load and engines grow along.
    #[serde(default)]
    #[serde(rename = "gateways")]
    pub dispatchers: Vec<usize>,
    /// Days are cut to so many seconds, if that is said.
    pub seconds: Option<f64>,
}

impl Experiment {
    /// # Errors
    /// What is wrong with the file.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let shown = path.display().to_string();
        let file = |problem: String| ScenarioError::File {
            path: shown.clone(),
            problem,
        };
        let text = std::fs::read_to_string(path).map_err(|e| file(e.to_string()))?;
        let e: Experiment = json5::from_str(&text).map_err(|e| file(e.to_string()))?;
        if e.policies.is_empty() || e.seeds == 0 || e.scenarios.is_empty() {
            return Err(file("policies, scenarios and seeds are needed".into()));
        }
        Ok(e)
    }

    /// The days, each with its number of gateways.
    ///
    /// # Errors
    /// What is wrong with one of the scenarios.
    pub fn days(&self, beside: &Path) -> Result<Vec<Scenario>, ScenarioError> {
        let folder = beside.parent().unwrap_or(Path::new("."));
        let mut days = vec![];
        for path in &self.scenarios {
            let mut s = Scenario::read(&folder.join(path))?;
            if let Some(seconds) = self.seconds {
                s.seconds = s.seconds.min(seconds);
            }
            match self.dispatchers.is_empty() {
                true => days.push(s),
                false => days.extend(self.dispatchers.iter().map(|n| scaled(&s, *n))),
            }
        }
        Ok(days)
    }
}

/// The day with another number of gateways: engines, load and areas in proportion, so that each gateway
/// meets what it met before and only the number of them differs.
pub fn scaled(s: &Scenario, dispatchers: usize) -> Scenario {
    let times = dispatchers as f64 / s.dispatchers as f64;
    let mut out = s.clone();
    out.name = format!("{} x {dispatchers}", s.name);
    out.dispatchers = dispatchers;
    for set in &mut out.engines {
        set.count = ((set.count as f64 * times).round() as usize).max(1);
    }
    out.load.per_s *= times;
    out.load.areas = ((s.load.areas as f64 * times).round() as usize).max(1);
    for t in &mut out.tenants {
        t.quota_per_s = t.quota_per_s.map(|q| q * times);
    }
    out
}

/// One day with one policy, for all seeds in order.
#[derive(Clone, Debug)]
pub struct Series {
    pub scenario: Scenario,
    pub policy: Policy,
    pub days: Vec<RunReport>,
}

/// Plays everything, on all cores; `done` is called after each day.
pub fn run(
    days: &[Scenario],
    policies: &[Policy],
    seeds: u64,
    done: &(dyn Fn() + Sync),
) -> Vec<Series> {
    let mut plays = vec![];
    for (s, _) in days.iter().enumerate() {
        for p in policies {
            plays.extend((1..=seeds).map(|seed| (s, *p, seed)));
        }
    }
    let played: Vec<((usize, Policy), RunReport)> = plays
        .into_par_iter()
        .map(|(s, policy, seed)| {
            let day = play(&days[s], policy, seed);
            done();
            ((s, policy), day)
        })
        .collect();
    let mut all: Vec<Series> = vec![];
    for ((s, policy), day) in played {
        // Days come in the order of their seeds: so series are paired by place.
        match all
            .last_mut()
            .filter(|x| x.policy == policy && x.scenario == days[s])
        {
            Some(series) => series.days.push(day),
            None => all.push(Series {
                scenario: days[s].clone(),
                policy,
                days: vec![day],
            }),
        }
    }
    all
}

/// A difference, with what may be said of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub median: f64,
    /// 95% of resampled medians lie within.
    pub low: f64,
    pub high: f64,
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    CantTell,
}

impl Verdict {
    pub fn word(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::CantTell => "can't tell",
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

/// Resamplings of a bootstrap.
const RESAMPLED: usize = 2000;

/// The median of paired differences, other minus first, and its bootstrap interval. The verdict is of the
/// other.
pub fn difference(first: &[f64], other: &[f64], random: &mut Stream) -> Difference {
    let pairs: Vec<f64> = first.iter().zip(other).map(|(a, b)| b - a).collect();
    let interval = interval(&pairs, random);
    let verdict = match interval {
        // With fewer pairs chance alone makes an interval without zero.
        _ if pairs.len() < 5 => Verdict::CantTell,
        (low, _) if low > 0.0 => Verdict::Better,
        (_, high) if high < 0.0 => Verdict::Worse,
        _ => Verdict::CantTell,
    };
    Difference {
        median: median(&pairs),
        low: interval.0,
        high: interval.1,
        verdict,
    }
}

/// The bootstrap interval of a median.
pub fn interval(values: &[f64], random: &mut Stream) -> (f64, f64) {
    if values.is_empty() {
        return (f64::NAN, f64::NAN);
    }
    let mut medians: Vec<f64> = (0..RESAMPLED)
        .map(|_| {
            let drawn: Vec<f64> = values
                .iter()
                .map(|_| values[random.below(values.len())])
                .collect();
            median(&drawn)
        })
        .collect();
    medians.sort_by(f64::total_cmp);
    let at = |part: f64| medians[((RESAMPLED as f64 * part) as usize).min(RESAMPLED - 1)];
    (at(0.025), at(0.975))
}

/// The stream that intervals are drawn with: the same page from the same days.
pub fn resampling() -> Stream {
    Streams::new(1).stream("bootstrap")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clear_difference_is_told_and_noise_is_not() {
        let mut r = resampling();
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
        assert_eq!(difference(&base, &same, &mut r).verdict, Verdict::CantTell);
        assert_eq!(
            difference(&[0.0; 3], &[1.0; 3], &mut r).verdict,
            Verdict::CantTell,
            "three pairs prove nothing"
        );
    }

    #[test]
    fn an_interval_holds_the_median_as_often_as_it_says() {
        let mut r = resampling();
        let mut noise = Streams::new(5).stream("noise");
        let held = (0..200).filter(|_| {
            let sample: Vec<f64> = (0..25).map(|_| noise.unit()).collect();
            let (low, high) = interval(&sample, &mut r);
            low <= 0.5 && 0.5 <= high
        });
        let held = held.count();
        assert!((178..=200).contains(&held), "{held} of 200");
    }

    #[test]
    fn a_day_is_scaled_in_proportion() {
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
    fn series_are_in_the_order_of_seeds_however_many_threads_played_them() {
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
            let alone: Vec<u64> = (1..=4)
                .map(|seed| play(&s, series.policy, seed).hash)
                .collect();
            assert_eq!(
                series.days.iter().map(|d| d.hash).collect::<Vec<_>>(),
                alone
            );
        }
    }
}
