//! Compiles `proto/rainstand.proto` to Rust types and to the descriptors that the text form is read by.

use prost::Message;
use std::{env, error::Error, fs, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto/rainstand.proto");
    let set = protox::compile(["rainstand.proto"], ["proto"])?;
    let out = env::var("OUT_DIR")?;
    fs::write(Path::new(&out).join("descriptors.bin"), set.encode_to_vec())?;
    prost_build::Config::new().out_dir(&out).compile_fds(set)?;
    Ok(())
}
