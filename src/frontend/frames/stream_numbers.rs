//! Records which stream numbers a connection has used.

/// Number of stream numbers below the highest that are tracked individually.
const WINDOW: u32 = 128;

/// The highest stream number, and which of the 128 below it were used. Lower numbers count as used, so that
/// the memory does not grow with the number of streams.
#[derive(Default)]
pub(super) struct StreamNumbers {
    highest: u32,
    /// Bit `n` is set if the number `highest - 1 - n` was used.
    used_below: u128,
}

impl StreamNumbers {
    /// Marks a number as used; returns false if it was used before or is zero.
    pub(super) fn insert(&mut self, number: u32) -> bool {
        if number > self.highest {
            self.raise_highest(number);
            return true;
        }
        let below = (self.highest - number).checked_sub(1);
        let Some(below) = below.filter(|below| *below < WINDOW && number > 0) else {
            return false;
        };
        let is_new = self.used_below & (1 << below) == 0;
        self.used_below |= 1 << below;
        is_new
    }

    fn raise_highest(&mut self, number: u32) {
        let distance = number - self.highest;
        self.used_below = self.used_below.checked_shl(distance).unwrap_or(0);
        // Zero is not a valid stream number, so an initial `highest` of zero is not marked as used.
        if self.highest > 0 && distance <= WINDOW {
            self.used_below |= 1 << (distance - 1);
        }
        self.highest = number;
    }
}
