//! Randomised runs of the decision code on virtual time, and trace replay.
