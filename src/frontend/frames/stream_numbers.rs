//! The stream numbers that a connection has used.

/// Numbers below the highest that are remembered one by one.
const WINDOW: u32 = 128;

/// The highest stream number, and which of the 128 below it were used. Older ones count as used, so that nothing grows
/// with their number.
#[derive(Default)]
pub(super) struct StreamNumbers {
    highest: u32,
    /// Bit `n` stands for the number `highest - 1 - n`.
    used_below: u128,
}

impl StreamNumbers {
    /// Marks a number as used; false if it was used before, or is zero.
    pub(super) fn insert(&mut self, number: u32) -> bool {
        if number > self.highest {
            self.raise(number);
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

    fn raise(&mut self, number: u32) {
        let distance = number - self.highest;
        self.used_below = self.used_below.checked_shl(distance).unwrap_or(0);
        // Zero is no number.
        if self.highest > 0 && distance <= WINDOW {
            self.used_below |= 1 << (distance - 1);
        }
        self.highest = number;
    }
}
