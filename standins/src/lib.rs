//! Standins.
