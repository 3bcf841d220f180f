//! The global options, and the clients made from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_net::DocumentStore;
use almondhead_net::HttpPlatform;
use almondhead_net::HttpSettings;
use almondhead_net::Platform;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::error::CtlError;
use crate::report::Format;

const PLATFORM: &str = "platform";
const OUTPUT: &str = "output";
const TIMEOUT: &str = "timeout-ms";

/// The values of the global options.
pub(crate) struct Context {
    /// How results are written.
    pub(crate) format: Format,
    /// The timeout of one request.
    pub(crate) timeout: Duration,
    platform_address: Option<SocketAddr>,
}

impl Context {
    /// Adds the global options to the program's command line.
    pub(crate) fn with_options(command: Command) -> Command {
        command
            .arg(
                Arg::new(PLATFORM)
                    .long(PLATFORM)
                    .global(true)
                    .value_name("IP:PORT")
                    .help("The platform's address")
                    .value_parser(value_parser!(SocketAddr)),
            )
            .arg(
                Arg::new(OUTPUT)
                    .long(OUTPUT)
                    .global(true)
                    .value_name("FORMAT")
                    .help("How results are written")
                    .default_value("human")
                    .value_parser(value_parser!(Format)),
            )
            .arg(
                Arg::new(TIMEOUT)
                    .long(TIMEOUT)
                    .global(true)
                    .value_name("MS")
                    .help("How long one answer is waited for, in milliseconds")
                    .default_value("3000")
                    .value_parser(value_parser!(u64).range(1..=600_000)),
            )
    }

    /// Reads the global options.
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        let timeout_ms: u64 = *matches.get_one(TIMEOUT).expect("the timeout has a default");
        Context {
            format: *matches
                .get_one(OUTPUT)
                .expect("the output format has a default"),
            timeout: Duration::from_millis(timeout_ms),
            platform_address: matches.get_one(PLATFORM).copied(),
        }
    }

    /// Returns a client of the platform.
    ///
    /// Fails when `--platform` is absent.
    pub(crate) fn platform(&self) -> Result<Arc<dyn Platform>, CtlError> {
        let address = self.platform_address.ok_or(CtlError::NoPlatform)?;
        let settings = HttpSettings::default();
        Ok(Arc::new(HttpPlatform::new(address, settings, self.timeout)))
    }

    /// Returns the document store on the platform.
    pub(crate) fn store(&self) -> Result<DocumentStore, CtlError> {
        let platform = self.platform()?;
        Ok(DocumentStore::new(platform))
    }
}
