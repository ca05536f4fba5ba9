//! Named streams of random numbers. Each source draws from its own stream, so that an additional draw in one
//! stream changes no other. Streams are the same on every machine: ChaCha generates the bits, and `libm`
//! computes logarithms and powers.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// The random streams of a seed.
#[derive(Clone, Copy, Debug)]
pub struct Streams(u64);

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct Stream(ChaCha8Rng);

impl Streams {
    pub fn new(seed: u64) -> Self {
        Streams(seed)
    }

    /// Returns the stream with this name; the name is a part of its seed.
    pub fn stream(&self, name: &str) -> Stream {
        // FNV-1a hash of the name, next to the seed. Any hash works as long as it never changes.
        let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
            (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
        });
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&self.0.to_le_bytes());
        seed[8..16].copy_from_slice(&hash.to_le_bytes());
        Stream(ChaCha8Rng::from_seed(seed))
    }

    /// Returns the stream with this name and number, for one of several sources of the same kind.
    pub fn numbered(&self, name: &str, n: usize) -> Stream {
        self.stream(&format!("{name} {n}"))
    }
}

impl Stream {
    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a number that is uniform in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number that is uniform in [`min`, `max`).
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.unit()
    }

    /// Returns an integer that is uniform below `n`, which must not be 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((self.unit() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns an exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * libm::log(1.0 - self.unit())
    }

    /// Returns a number of the standard normal distribution (Box-Muller transform).
    fn normal(&mut self) -> f64 {
        let (u, v) = (1.0 - self.unit(), self.unit());
        libm::sqrt(-2.0 * libm::log(u)) * libm::cos(std::f64::consts::TAU * v)
    }

    /// Sleeps for an exponentially distributed time with this mean in milliseconds, at most four times the
    /// mean.
    pub async fn pause(&mut self, mean_ms: f64) {
        let delay_ms = self.exponential(mean_ms).min(4.0 * mean_ms);
        tokio::time::sleep(std::time::Duration::from_secs_f64(delay_ms / 1000.0)).await;
    }

    /// Returns a log-normally distributed number with this mean and this standard deviation of its logarithm.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        mean * libm::exp(sigma * self.normal() - sigma * sigma / 2.0)
    }

    /// Returns an index drawn in proportion to the weights; 0 if there are none.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut remaining = self.unit() * weights.iter().sum::<f64>();
        for (i, w) in weights.iter().enumerate() {
            if remaining < *w {
                return i;
            }
            remaining -= w;
        }
        weights.len().saturating_sub(1)
    }
}

/// Returns the weights of Zipf's law for `n` ranks with this exponent.
pub fn zipf(n: usize, exponent: f64) -> Vec<f64> {
    (1..=n)
        .map(|rank| libm::pow(rank as f64, -exponent))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stream_is_the_same_on_every_machine_and_independent_of_others() {
        let s = Streams::new(7);
        let mut a = s.stream("sizes");
        assert_eq!(
            [a.bits(), a.bits()],
            [s.stream("sizes").bits(), a.second_draw("sizes", s)]
        );
        assert_ne!(s.stream("sizes").bits(), s.stream("areas").bits());
        assert_ne!(
            s.numbered("gateway", 1).bits(),
            s.numbered("gateway", 2).bits()
        );
        // The exact number: a machine that draws others would compare different runs.
        assert_eq!(Streams::new(1).stream("arrivals").bits(), ARRIVALS);
    }

    impl Stream {
        fn second_draw(&self, name: &str, s: Streams) -> u64 {
            let mut fresh = s.stream(name);
            fresh.bits();
            fresh.bits()
        }
    }

    const ARRIVALS: u64 = 14_252_721_969_339_469_123;

    #[test]
    fn draws_have_the_requested_means() {
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
