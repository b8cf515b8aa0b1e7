//! `beamtray-standin`: runs one stand-in service as a process.

use beamtray_standin::{BackendConfig, Effect, service};
use eyre::{Result, bail};
use gumdrop::Options;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "kv, machines, server or backend")]
    kind: Option<String>,
    #[options(help = "address to listen on (default 127.0.0.1:0)")]
    address: Option<SocketAddr>,
    #[options(help = "maximum concurrent requests (default 2)", default = "2")]
    slots: u32,
    #[options(help = "time a request takes, in microseconds", default = "0")]
    service_micros: u64,
    #[options(
        help = "rate limit of the key-value service, in calls per second",
        default = "50"
    )]
    per_second: u32,
    #[options(help = "lag of the machine list, in milliseconds", default = "2000")]
    lag_millis: u64,
    #[options(
        help = "how long a backend is slow after its start, in milliseconds",
        default = "0"
    )]
    cold_millis: u64,
}

/// Prints an effect to standard output, so that the record outlives the process.
fn print_effect(effect: &Effect) {
    let name = effect.idempotency_key.as_deref().unwrap_or("-");
    println!("effect {} {name}", effect.key);
}

fn main() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let address = arguments
        .address
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let service_time = Duration::from_micros(arguments.service_micros);
    let server = match arguments.kind.as_deref() {
        Some("kv") => service::serve_key_value(address, arguments.per_second)?,
        Some("machines") => {
            service::serve_machines(address, Duration::from_millis(arguments.lag_millis))?
        }
        Some("server") => {
            service::serve_keyed_server(address, arguments.slots, service_time, print_effect)?
        }
        Some("backend") => {
            let config = BackendConfig {
                slots: arguments.slots,
                service_time,
                cold_for: Duration::from_millis(arguments.cold_millis),
                cold_factor: 5,
            };
            service::serve_backend(address, config)?
        }
        _ => bail!("specify the kind, one of: kv, machines, server, backend"),
    };
    println!("listening {}", server.address());
    loop {
        std::thread::park();
    }
}
