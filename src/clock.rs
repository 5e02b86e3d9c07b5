//! A clock that keeps running while the process or the VM is suspended.

use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point on `CLOCK_BOOTTIME`, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct BootInstant(pub u64);

impl BootInstant {
    /// Reads the clock.
    pub fn now() -> Self {
        let t = clock_gettime(ClockId::Boottime);
        Self(t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64)
    }

    /// Returns the time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_nanos() as u64))
    }
}

impl Sub<Duration> for BootInstant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_nanos() as u64))
    }
}

/// Returns the milliseconds since the Unix epoch, for timestamps that leave the process.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// A point in time on the clock of this VM and on the one that leaves it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Moment {
    /// Time on `CLOCK_BOOTTIME`.
    pub boot: BootInstant,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Moment {
    /// Reads both clocks.
    pub fn now() -> Self {
        Self {
            boot: BootInstant::now(),
            unix_ms: unix_ms(),
        }
    }
}
