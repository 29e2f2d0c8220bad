//! A macro for table-driven tests.

/// Generates a test for each line, which calls the given check with the arguments of the line.
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
