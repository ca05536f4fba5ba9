//! Budget of the process's file descriptors. Each kind of user has a maximum of its own, derived
//! from the configured limit and that of the operating system, and the sum of all maxima stays
//! within that limit: clients cannot take descriptors that the journal, the engines, the operators
//! or a file need. All functions are pure, except [`effective_limit`] and [`inherited_count`].

#[cfg(test)]
mod tests;

/// Maximum number of descriptors of the process itself: three standard streams, three of the
/// runtime, two pipes for signals (four), the listening sockets of clients, operators and peers and
/// the number of an inherited one (four), the file by which other processes detect that this one is
/// alive, the connection of the journal, a directory and a file in it that are being read (two),
/// and a client and an operator's connection that were accepted and wait for a permit (two).
pub const RESERVED_DESCRIPTORS: usize = 20;
/// Maximum number of concurrent connections of operators.
const MAX_OPERATORS: usize = 24;
/// Upper bound of the limit; no operating system allows a process more descriptors.
const MAX_DESCRIPTORS: usize = 1 << 30;
/// Minimum number of connections to engines, which remains even if two processes share the lowest limit.
const MIN_ENGINES: usize = 4;

/// Maximum number of descriptors of one process, by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections of clients, including evicted ones that have not closed yet.
    pub clients: usize,
    /// Additional clients that the operating system has accepted when the shutdown begins.
    pub shutdown_clients: usize,
    /// Connections of operators.
    pub operators: usize,
    /// Connections to engines.
    pub engines: usize,
}

impl DescriptorBudget {
    /// Returns the budget of each of `processes` processes that share `limit` descriptors.
    pub fn per_process(limit: usize, processes: usize) -> Self {
        let limit = limit.min(MAX_DESCRIPTORS) / processes.max(1);
        // Clients hold up to a third of the limit, so two fifths of it are admitted.
        let (clients, shutdown_clients) = ((limit * 2 / 5).max(2), limit / 10);
        let operators = (limit / 16).clamp(2, MAX_OPERATORS);
        let engines = limit
            .saturating_sub(RESERVED_DESCRIPTORS + clients + shutdown_clients + operators)
            .max(MIN_ENGINES);
        DescriptorBudget {
            clients,
            shutdown_clients,
            operators,
            engines,
        }
    }
}

/// Returns how many descriptors this process may use: the configured limit or that of the operating
/// system, whichever is lower, minus the `given` descriptors that it inherited beyond the standard
/// streams. Called once, before anything is opened.
pub fn effective_limit(limit: usize, given: usize) -> usize {
    let limits = std::fs::read_to_string("/proc/self/limits").ok();
    limits
        .and_then(|text| parse_open_files_limit(&text))
        .map_or(limit, |system_limit| system_limit.min(limit))
        .saturating_sub(given)
}

/// Returns the number of open descriptors beyond the standard streams; at the start of the process,
/// these are inherited.
pub fn inherited_count() -> usize {
    // Three standard streams, and the descriptor of the directory that is being read.
    std::fs::read_dir("/proc/self/fd")
        .map_or(0, |descriptors| descriptors.count().saturating_sub(4))
}

/// Parses the soft limit of open files from the text of Linux's `/proc/self/limits`; `None` if it
/// is missing or unlimited.
fn parse_open_files_limit(limits: &str) -> Option<usize> {
    let line = limits
        .lines()
        .find_map(|l| l.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
