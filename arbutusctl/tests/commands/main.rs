//! The program against a store's stand-in and nodes' admin ports, over loopback.

mod apply;
mod desk;
mod drain;
mod node;
mod show;
