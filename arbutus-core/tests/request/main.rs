//! Scripted scenarios of the agent's decisions on requests.

mod script;
