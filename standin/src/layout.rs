//! Layout of a deployment that the harness starts: sizes and settings.

/// Sizes and settings of a deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of entry VMs.
    pub entries: u8,
    /// Number of engines.
    pub engines: u8,
    /// Number of engines, counted from the last, that don't check fencing numbers.
    pub open_engines: u8,
    /// Number of plain services.
    pub services: u8,
    /// Adapter slots per engine.
    pub slots: u32,
    /// Largest batch of an engine.
    pub batch: u32,
    /// Number of adapters, named `adapter-N`, each with versions 1 and 2.
    pub adapters: u32,
    /// Number of data centres.
    pub centres: u8,
    /// Loads per second of the weight store.
    pub load_rate: f64,
    /// Objective that the placement optimises.
    pub objective: String,
    /// Time of a decoding step of an engine, in microseconds.
    pub step_us: u64,
    /// Placement policy of the gateways.
    pub placement: String,
    /// Eviction policy of the dispatchers.
    pub eviction: String,
    /// Largest timeout of a request, in milliseconds.
    pub max_timeout: u64,
    /// Time that callers cache the list of entries, in seconds.
    pub max_age: u64,
    /// Time that a call to a plain service takes, in milliseconds.
    pub work_ms: u64,
    /// Time that a crashed engine stays down, in milliseconds.
    pub down_ms: u64,
    /// Log level.
    pub log: String,
    /// Class of an adapter, by its number.
    pub class: fn(u32) -> &'static str,
    /// Owner of an adapter, by its number.
    pub owner: fn(u32) -> String,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 4,
            open_engines: 2,
            services: 1,
            slots: 4,
            batch: 8,
            adapters: 12,
            centres: 1,
            load_rate: 20.0,
            objective: String::from("load-stalls"),
            step_us: 5_000,
            placement: String::from("cost"),
            eviction: String::from("value"),
            max_timeout: 30_000,
            max_age: 1,
            work_ms: 20,
            down_ms: 500,
            log: String::from("info"),
            class: |_| "standard",
            owner: |n| format!("owner-{}", n % 4),
        }
    }
}
