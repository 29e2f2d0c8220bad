//! Names test cases.

/// Turns each line into a test of its own, which passes its arguments to one check.
#[macro_export]
macro_rules! cases {
    ($check:ident: $($(#[$doc:meta])* $name:ident($($arg:expr),* $(,)?);)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                smol::block_on($check($($arg),*));
            }
        )*
    };
}
