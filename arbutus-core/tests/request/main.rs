//! Scripted scenarios of request admission.

mod script;
