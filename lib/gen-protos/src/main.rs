//! Writes the generated peer message types. Run it by hand after a change of the `.proto` file.

use std::error::Error;
use std::fs;

use almondhead_gen_protos::committed_path;
use almondhead_gen_protos::generate;

fn main() -> Result<(), Box<dyn Error>> {
    fs::write(committed_path(), generate()?)?;
    Ok(())
}
