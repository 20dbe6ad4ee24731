//! Runs the program against a stand-in for the store and the admin ports of nodes, over loopback.

mod apply;
mod drain;
mod environment;
mod node;
mod show;
