//! Division of a process's memory and descriptors.

/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_024 * 1_024;
/// Smallest memory with which a process works, in megabytes.
pub const MIN_MEMORY_MB: u64 = 24;
/// Part of the memory for the process itself: code, copies of the store's entries, records of
/// upstreams and what the allocator keeps.
const OWN_MEMORY_DIVISOR: u64 = 3;
/// Smallest memory for the process itself, in bytes.
const MIN_OWN_MEMORY: u64 = 16 * MEGABYTE;
/// Part of the held memory that only answers may use, whoever they are for.
const ANSWER_RESERVE_DIVISOR: usize = 16;
/// Part of the held memory that only answers of the store and of key holders may use.
const SYSTEM_RESERVE_DIVISOR: usize = 32;
/// Part of the held memory that large request bodies leave to connections and small bodies.
const SMALL_RESERVE_DIVISOR: usize = 32;
/// Descriptors for files, pipes, timers and listeners. Few are open at a time; the users' platform
/// lets no more than the rest be sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Largest part of all descriptors that is set aside for files.
const FILE_DIVISOR: usize = 4;

/// What each use may take of a process's memory and descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Bytes that connections, bodies and answers may hold together.
    pub held_bytes: usize,
    /// Bytes of these that only answers may hold.
    pub answer_reserve: usize,
    /// Bytes of these that only answers of the store and of key holders may hold.
    pub system_reserve: usize,
    /// Bytes of these that large request bodies may not hold.
    pub small_reserve: usize,
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to upstreams and the store.
    pub outgoing_connections: usize,
    /// Connections of other nodes. A tunnel takes two.
    pub peer_connections: usize,
}

impl Shares {
    /// Divides what a process has.
    pub fn of_process(memory_mb: u64, descriptors: u64) -> Self {
        let memory = memory_mb.max(MIN_MEMORY_MB).saturating_mul(MEGABYTE);
        let own = (memory / OWN_MEMORY_DIVISOR).max(MIN_OWN_MEMORY);
        let held_bytes = usize::try_from(memory - own).unwrap_or(usize::MAX);
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let sockets = descriptors - FILE_DESCRIPTORS.min(descriptors / FILE_DIVISOR);
        Self {
            held_bytes,
            answer_reserve: held_bytes / ANSWER_RESERVE_DIVISOR,
            system_reserve: held_bytes / SYSTEM_RESERVE_DIVISOR,
            small_reserve: held_bytes / SMALL_RESERVE_DIVISOR,
            client_connections: sockets / 2,
            outgoing_connections: sockets / 4,
            peer_connections: sockets / 4,
        }
    }
}
