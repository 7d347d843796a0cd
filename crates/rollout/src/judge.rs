//! The sequential test that compares a version under trial with the others.
//!
//! The test answers the load of a service under trial: from some ten answers a second of 18 servers at
//! 4 entry VMs to hundreds a second of 5,000 servers at 390, where the old version may be noisy and
//! servers differ in speed. Per route and over all routes it runs cumulative sums (Page, "Continuous
//! Inspection Schemes", 1954) of the log likelihood ratio between the old version's rate and several
//! higher ones, for failures and for delays. A version may turn bad late, so each sum starts anew
//! whenever it falls to zero. A sum that starts at a given update exceeds `h` with a probability of at
//! most `exp(-h)` (Ville's inequality), so that over all starts, tests and alternatives a good version
//! is condemned with a probability of at most [`FALSE_ALARMS`].

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use model::ServerId;

use crate::{
    evidence::{Evidence, Stratum, StratumKey},
    tally::Tally,
};

/// Highest probability with which a version that is as good as the old one is condemned.
const FALSE_ALARMS: f64 = 0.01;
/// Number of updates during a trial for which [`FALSE_ALARMS`] holds: one each 100 ms for a minute.
const UPDATES: f64 = 600.0;
/// Number of bad answers beyond those that the old version would have given at which a version is
/// condemned in any case. The time in which it has to be rolled back runs from its 50th bad answer.
const MAX_EXCESS: f64 = 25.0;
/// Shares of additional bad answers that the tests look for.
const EXCESSES: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.8];
/// Share of failures that a version may have beyond the old one's and still count as equally good.
const FAILURE_MARGIN: f64 = 0.02;
/// Share of slow answers that it may have beyond: old and new servers are on different VMs, whose
/// speed is only partly known.
const DELAY_MARGIN: f64 = 0.04;
/// Share of the old version's answers that arrive within the time above which answers count as slow.
const USUAL_SHARE: f64 = 0.9;
/// Classes of time by which a slow answer is slower than the median: twice the time.
const SLOW_BINS: usize = 2;
/// Answers of the old version to comparable requests without which delays are not compared.
const MIN_COMPARED: u32 = 20;
/// Number of answers of a version under trial without which it is not called good.
const MIN_ANSWERS: u64 = 30;
/// Share of the answers from which on a route is to be shown to be good by itself.
const ROUTE_SHARE: f64 = 0.05;
/// Highest probability with which a version is called good whose answers have the excess that is to be
/// excluded.
const MISSES: f64 = 0.004;
/// Index of the excess that a good verdict excludes for the answers of all routes together.
const EXCLUDED: usize = 1;
/// Index of the excess that it excludes on each single route, which has fewer answers.
const EXCLUDED_ON_ROUTE: usize = 3;
/// Number of routes assumed for the threshold if there are fewer.
const MIN_ROUTES: usize = 8;

/// What may be wrong with the answers of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Symptom {
    /// Failures, broken connections and timeouts.
    Failures,
    /// Answers that take longer than those of other versions to comparable requests.
    Delays,
}

/// Why a version is condemned.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The route whose answers are bad; `None` if those of all routes together are.
    pub route: Option<Arc<str>>,
    /// What is wrong with them.
    pub symptom: Symptom,
    /// Number of bad answers, and of all answers, of the new version.
    pub new: (u32, u32),
    /// The same of the old version.
    pub old: (u32, u32),
    /// Log likelihood ratio, without the answers of the worst server.
    pub weight: f64,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self.symptom {
            Symptom::Failures => "failures",
            Symptom::Delays => "slow answers",
        };
        write!(f, "{what}: {} of {} answers", self.new.0, self.new.1)?;
        if let Some(route) = &self.route {
            write!(f, " on route {route}")?;
        }
        write!(
            f,
            ", {} of {} of the old version, weight {:.1}",
            self.old.0, self.old.1, self.weight
        )
    }
}

/// What the answers say about a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Too few answers, or answers that fit both a good and a bad version.
    Undecided,
    /// The version is about as good as the old one.
    Good,
    /// It is worse.
    Bad(Finding),
}

/// One cumulative sum for each excess, by server.
#[derive(Clone, Debug, Default)]
struct Sums {
    /// Log likelihood ratio of each server's answers since the sum was last zero.
    weights: [BTreeMap<ServerId, f64>; EXCESSES.len()],
    /// Log likelihood ratio of each server's answers since the trial began.
    totals: [BTreeMap<ServerId, f64>; EXCESSES.len()],
    /// Bad answers of each server beyond the old version's rate.
    excess: BTreeMap<ServerId, f64>,
}

impl Sums {
    fn add(&mut self, server: &ServerId, (bad, all): (u32, u32), rate: f64) {
        *self.excess.entry(server.clone()).or_default() += f64::from(bad) - f64::from(all) * rate;
        for (i, excess) in EXCESSES.iter().enumerate() {
            let raised = (rate + excess).min(0.99);
            let weight = f64::from(bad) * (raised / rate).ln()
                + f64::from(all - bad) * ((1.0 - raised) / (1.0 - rate)).ln();
            *self.weights[i].entry(server.clone()).or_default() += weight;
            *self.totals[i].entry(server.clone()).or_default() += weight;
        }
    }

    /// Starts the sums that have fallen to zero anew.
    fn restart(&mut self) {
        for weights in &mut self.weights {
            if weights.values().sum::<f64>() <= 0.0 {
                weights.clear();
            }
        }
    }

    /// Returns the largest sum without the worst server, if there are others.
    fn weight(&self) -> f64 {
        self.weights.iter().map(without_worst).fold(0.0, f64::max)
    }
}

/// Returns the sum of the weights but for the largest one, if there are several. One server may be
/// worse than the others for reasons of its own.
fn without_worst(weights: &BTreeMap<ServerId, f64>) -> f64 {
    let worst = weights.values().copied().fold(0.0, f64::max);
    let worst = if weights.len() > 1 { worst } else { 0.0 };
    weights.values().sum::<f64>() - worst
}

/// What a test looks at: the answers of one route, or all, for one symptom.
type Scope = (Option<Arc<str>>, Symptom);

/// Judges a version under trial by the answers of one order.
///
/// # Examples
///
/// ```
/// use model::Span;
/// use rollout::{Answer, Cell, Collector, Evidence, Judge, Verdict};
///
/// let mut collector = Collector::default();
/// collector.set_open([1]);
/// for i in 0..2_000_u64 {
///     let server = (i % 10 == 0).then(|| format!("new-{}", i % 7).try_into()).transpose()?;
///     let fails = server.is_some() && i % 20 == 0;
///     let usual = Answer::Arrived(Span::from_millis(40));
///     let answer = if fails { Answer::Failed } else { usual };
///     collector.record(1, Cell::new("drafts".into(), 600, server), answer);
/// }
/// let mut evidence = Evidence::default();
/// for report in collector.report(0).1 {
///     evidence.merge(&"10.0.0.1".try_into()?, 1, &report);
/// }
/// assert!(matches!(Judge::default().update(&evidence), Verdict::Bad(_)));
/// # Ok::<(), model::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// What was taken into account of each stratum and server.
    seen: BTreeMap<(StratumKey, ServerId), Tally>,
    sums: BTreeMap<Scope, Sums>,
}

impl Judge {
    /// Takes the answers since the last call into account and returns what all of them say.
    pub fn update(&mut self, evidence: &Evidence) -> Verdict {
        let failure_rates = failure_rates(evidence);
        for (key, stratum) in evidence.strata() {
            let failures = failure_rates.get(&key.0).copied().unwrap_or_default();
            let slow_bin = slow_bin(&stratum.old);
            let delays = slow_bin.map(|bin| delay_rate(&stratum.old, bin));
            for (server, tally) in &stratum.new {
                let seen = self.seen.entry((key.clone(), server.clone())).or_default();
                let new = tally.since(seen);
                if new.all() == 0 {
                    continue;
                }
                seen.clone_from(tally);
                for route in [None, Some(Arc::clone(&key.0))] {
                    let sums = self.sums.entry((route.clone(), Symptom::Failures)).or_default();
                    sums.add(server, (new.failed, new.all()), failures);
                    if let Some((bin, rate)) = slow_bin.zip(delays) {
                        let sums = self.sums.entry((route, Symptom::Delays)).or_default();
                        sums.add(server, (new.slower_than(bin), new.arrived()), rate);
                    }
                }
            }
        }
        self.sums.values_mut().for_each(Sums::restart);
        self.verdict(evidence)
    }

    fn verdict(&self, evidence: &Evidence) -> Verdict {
        let routes: BTreeSet<&Arc<str>> = self.sums.keys().filter_map(|s| s.0.as_ref()).collect();
        let threshold = threshold(routes.len());
        let worst = self.sums.iter().max_by(|a, b| a.1.weight().total_cmp(&b.1.weight()));
        if let Some(((route, symptom), sums)) = worst
            && (sums.weight() >= threshold || without_worst(&sums.excess) >= MAX_EXCESS)
        {
            return Verdict::Bad(finding(evidence, route.as_ref(), *symptom, sums.weight()));
        }
        let (_, answers) = evidence.answers();
        if answers >= MIN_ANSWERS
            && self.sums.iter().all(|(s, sums)| is_good(evidence, s.0.as_ref(), sums))
        {
            Verdict::Good
        } else {
            Verdict::Undecided
        }
    }
}

/// Returns the sum at which a version is condemned.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn threshold(routes: usize) -> f64 {
    let tests = 2 * (routes.max(MIN_ROUTES) + 1) * EXCESSES.len();
    (UPDATES * tests as f64 / FALSE_ALARMS).ln()
}

/// Returns whether the answers of a scope exclude the excess that is expected of a bad version, or
/// are too few of all to do so.
fn is_good(evidence: &Evidence, route: Option<&Arc<str>>, sums: &Sums) -> bool {
    let strata = evidence.strata().iter().filter(|((r, _), _)| route.is_none_or(|s| s == r));
    let answers: u64 = strata
        .flat_map(|(_, stratum)| stratum.new.values())
        .map(|tally| u64::from(tally.all()))
        .sum();
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    let is_rare = (answers as f64) < ROUTE_SHARE * evidence.answers().1 as f64;
    let sum = match route {
        None => without_worst(&sums.totals[EXCLUDED]),
        // A server has too few answers on one route to stand out.
        Some(_) => sums.totals[EXCLUDED_ON_ROUTE].values().sum(),
    };
    is_rare || sum <= MISSES.ln()
}

/// Returns the upper estimate of the old version's failure rate on each route.
fn failure_rates(evidence: &Evidence) -> BTreeMap<Arc<str>, f64> {
    let mut counts: BTreeMap<Arc<str>, (u32, u32)> = BTreeMap::new();
    for ((route, _), stratum) in evidence.strata() {
        let (failed, all) = counts.entry(Arc::clone(route)).or_default();
        *failed += stratum.old.failed;
        *all += stratum.old.all();
    }
    let upper = |(failed, all)| upper_rate(failed, all) + FAILURE_MARGIN;
    counts.into_iter().map(|(route, count)| (route, upper(count))).collect()
}

/// Returns the class of time above which answers count as slow; `None` if the old version has too few
/// answers to say.
fn slow_bin(old: &Tally) -> Option<usize> {
    let is_known = old.arrived() >= MIN_COMPARED;
    is_known.then(|| old.quantile(USUAL_SHARE).max(old.quantile(0.5) + SLOW_BINS))
}

/// Returns the upper estimate of the share of the old version's answers that are slow.
fn delay_rate(old: &Tally, slow_bin: usize) -> f64 {
    upper_rate(old.slower_than(slow_bin), old.arrived()) + DELAY_MARGIN
}

/// Returns an upper estimate of a rate, two standard errors above the share that was seen.
fn upper_rate(bad: u32, all: u32) -> f64 {
    let (bad, all) = (f64::from(bad) + 0.5, f64::from(all) + 1.0);
    let rate = bad / all;
    (rate + 2.0 * (rate * (1.0 - rate) / all).sqrt()).min(0.9)
}

fn finding(
    evidence: &Evidence,
    route: Option<&Arc<str>>,
    symptom: Symptom,
    weight: f64,
) -> Finding {
    let (mut new, mut old) = ((0, 0), (0, 0));
    let add = |sum: &mut (u32, u32), stratum: &Stratum, tally: &Tally| match symptom {
        Symptom::Failures => *sum = (sum.0 + tally.failed, sum.1 + tally.all()),
        Symptom::Delays => {
            if let Some(bin) = slow_bin(&stratum.old) {
                *sum = (sum.0 + tally.slower_than(bin), sum.1 + tally.arrived());
            }
        }
    };
    for ((name, _), stratum) in evidence.strata() {
        if route.is_none_or(|route| route == name) {
            add(&mut old, stratum, &stratum.old);
            stratum.new.values().for_each(|tally| add(&mut new, stratum, tally));
        }
    }
    Finding { route: route.cloned(), symptom, new, old, weight }
}
