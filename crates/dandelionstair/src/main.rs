//! dandelionstair.
fn main() {}
