//! Who may hold how many of the process's descriptors. Each holder has a bound of its own, from the settings' limit and
//! the machine's, and all bounds together are no more than that: clients can't take what the journal, the engines, the
//! operators or a file needs. Pure, but for [`effective_limit`] and [`inherited`].

#[cfg(test)]
mod tests;

/// What the process itself holds at most: three standard streams, three of the runtime, two pipes for signals (four), the
/// listening sockets of clients, an inherited one's number, operators and peers (four), the file that shows other
/// processes that it lives, the journal's connection, a folder and a file in it that are being read (two), and a client
/// and a caller that were accepted and wait for a place (two).
pub const RESERVED: usize = 20;
/// Operators' callers at a time.
const MAX_OPERATORS: usize = 24;
/// No machine lets a process hold more.
const MAX_DESCRIPTORS: usize = 1 << 30;
/// Connections to engines that are left even where two processes share the least limit.
const MIN_ENGINES: usize = 4;

/// The bounds of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections of clients, those that were told to give way included until they have gone.
    pub clients: usize,
    /// Clients that the machine has accepted when the end begins, beyond those.
    pub final_clients: usize,
    /// Operators' callers.
    pub operators: usize,
    /// Connections to engines.
    pub engines: usize,
}

impl DescriptorBudget {
    /// The bounds of each of so many processes that share a limit.
    pub fn per_process(limit: usize, processes: usize) -> Self {
        let limit = limit.min(MAX_DESCRIPTORS) / processes.max(1);
        // Clients hold up to a third of the limit, so this many are let in.
        let (clients, final_clients) = ((limit * 2 / 5).max(2), limit / 10);
        let operators = (limit / 16).clamp(2, MAX_OPERATORS);
        let engines = limit
            .saturating_sub(RESERVED + clients + final_clients + operators)
            .max(MIN_ENGINES);
        DescriptorBudget {
            clients,
            final_clients,
            operators,
            engines,
        }
    }
}

/// What this process may hold of the settings' limit: no more than the machine lets it, without what it was given at its
/// start beyond the standard streams. Asked once, before anything is opened.
pub fn effective_limit(limit: usize, given: usize) -> usize {
    let told = std::fs::read_to_string("/proc/self/limits").ok();
    told.and_then(|text| parse(&text))
        .map_or(limit, |most| most.min(limit))
        .saturating_sub(given)
}

/// What is open beyond the standard streams: others' descriptors, when asked at the start.
pub fn inherited() -> usize {
    // The folder that is being read is one of them.
    std::fs::read_dir("/proc/self/fd").map_or(0, |all| all.count().saturating_sub(4))
}

/// The soft limit in the text of Linux's `/proc/self/limits`; `None` if it is not there, or without a bound.
fn parse(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
