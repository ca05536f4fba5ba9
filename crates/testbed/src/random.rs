//! Random numbers with names: each source draws from a stream of its own, so that one more draw in one of
//! them changes no other. The same on every machine: ChaCha for the bits, `libm` for logarithms and powers.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// All streams of one seed.
#[derive(Clone, Copy, Debug)]
pub struct Streams(u64);

/// One source of numbers.
#[derive(Clone, Debug)]
pub struct Stream(ChaCha8Rng);

impl Streams {
    pub fn new(seed: u64) -> Self {
        Streams(seed)
    }

    pub fn stream(&self, name: &str) -> Stream {
        // FNV-1a of the name beside the seed: any mixing does, so long as it stays the same.
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&self.0.to_le_bytes());
        seed[8..16].copy_from_slice(&hash.to_le_bytes());
        Stream(ChaCha8Rng::from_seed(seed))
    }

    /// A stream for each of several, by number.
    pub fn numbered(&self, name: &str, n: usize) -> Stream {
        self.stream(&format!("{name} {n}"))
    }
}

impl Stream {
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.unit()
    }

    /// Below `n`, which is not 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    pub fn chance(&mut self, part: f64) -> bool {
        self.unit() < part
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * libm::log(1.0 - self.unit())
    }

    fn normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.unit(), self.unit());
        libm::sqrt(-2.0 * libm::log(u)) * libm::cos(std::f64::consts::TAU * v)
    }

    /// Waits for a span of this mean, four times the mean at most.
    pub async fn pause(&mut self, mean_ms: f64) {
        let span = self.exponential(mean_ms).min(4.0 * mean_ms);
        tokio::time::sleep(std::time::Duration::from_secs_f64(span / 1000.0)).await;
    }

    /// Of this mean, with this standard deviation of its logarithm.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        mean * libm::exp(sigma * self.normal() - sigma * sigma / 2.0)
    }

    /// One of several, by their weights; 0 if there are none.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        for (i, w) in weights.iter().enumerate() {
            if left < *w {
                return i;
            }
            left -= w;
        }
        weights.len().saturating_sub(1)
    }
}

/// Weights of Zipf's law over so many, with this exponent.
pub fn zipf(n: usize, exponent: f64) -> Vec<f64> {
    (1..=n)
        .map(|rank| libm::pow(rank as f64, -exponent))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stream_is_the_same_everywhere_and_none_disturbs_another() {
        let s = Streams::new(7);
        let mut a = s.stream("sizes");
        assert_eq!(
            [a.bits(), a.bits()],
            [s.stream("sizes").bits(), a.clone_second("sizes", s)]
        );
        assert_ne!(s.stream("sizes").bits(), s.stream("areas").bits());
        assert_ne!(
            s.numbered("gateway", 1).bits(),
            s.numbered("gateway", 2).bits()
        );
        // The very numbers: another machine that draws others would compare other days.
        assert_eq!(Streams::new(1).stream("arrivals").bits(), ARRIVALS);
    }

    impl Stream {
        fn clone_second(&self, name: &str, s: Streams) -> u64 {
            let mut fresh = s.stream(name);
            fresh.bits();
            fresh.bits()
        }
    }

    const ARRIVALS: u64 = 14_252_721_969_339_469_123;

    #[test]
    fn draws_have_the_means_that_they_are_asked_for() {
        let mut s = Streams::new(3).stream("test");
        let n = 200_000;
        let mean = |mut f: Box<dyn FnMut() -> f64>| (0..n).map(|_| f()).sum::<f64>() / f64::from(n);
        let mut t = s.clone();
        assert!((mean(Box::new(move || t.exponential(40.0))) / 40.0 - 1.0).abs() < 0.01);
        let mut t = s.clone();
        assert!((mean(Box::new(move || t.lognormal(300.0, 0.8))) / 300.0 - 1.0).abs() < 0.02);
        let w = zipf(3, 1.0);
        let mut counts = [0; 3];
        (0..60_000).for_each(|_| counts[s.weighted(&w)] += 1);
        assert!(
            (f64::from(counts[0]) / f64::from(counts[2]) - 3.0).abs() < 0.15,
            "{counts:?}"
        );
    }
}
