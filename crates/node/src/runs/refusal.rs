//! Refusals of requests without a job: their reasons, and a bound on their log lines.

/// Maximum number of log lines for each reason in `WINDOW_US`.
const MAX_LINES: u64 = 10;
/// Time to which `MAX_LINES` applies, in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// Why a request is refused without a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// There is no configuration yet.
    NoConfig,
    /// No worker of the service accepts work.
    NoWorker,
    /// Too many requests are held.
    HoldFull,
    /// The entry is stopping.
    Stopping,
    /// The VM has just resumed from a suspension.
    Suspended,
    /// The host and path belong to no queue.
    NoQueue,
    /// The request cannot be parsed.
    Invalid,
    /// Jobs of this kind are not supported.
    Unsupported,
}

impl Reason {
    /// Number of reasons.
    const COUNT: usize = Self::Unsupported as usize + 1;

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoWorker => "no_worker",
            Self::HoldFull => "hold_full",
            Self::Stopping => "stopping",
            Self::Suspended => "suspended",
            Self::NoQueue => "no_queue",
            Self::Invalid => "invalid",
            Self::Unsupported => "unsupported",
        }
    }
}

/// Log lines of one reason.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    began_us: u64,
    lines: u64,
    suppressed: u64,
}

/// Bounds the log lines on refusals.
#[derive(Debug, Default)]
pub struct Limiter {
    windows: [Window; Reason::COUNT],
}

impl Limiter {
    /// Returns the number of refusals for this reason that were not logged since the last line, or
    /// `None` if this refusal is not to be logged either.
    pub fn admit(&mut self, reason: Reason, now_us: u64) -> Option<u64> {
        let window = &mut self.windows[reason as usize];
        if window.began_us + WINDOW_US <= now_us {
            (window.began_us, window.lines) = (now_us, 0);
        }
        if window.lines >= MAX_LINES {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
