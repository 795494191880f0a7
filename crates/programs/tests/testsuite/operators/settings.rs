//! The page on settings.
