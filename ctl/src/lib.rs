//! The operators' program of almondhead.

pub mod load;
mod load_driver;
pub mod load_error;
pub mod load_options;
pub mod load_plan;
pub mod load_report;
pub mod load_sample;
pub mod load_scrape;
