//! Client for the backend server.

mod client;
mod group_api;
mod line_parser;
mod token_stream;

pub(crate) use client::{BackendClient, BackendFailure, GenerateCall, PlainCall};
pub(crate) use group_api::{GroupLoad, GroupView, PermitCall, WeightsCall};
pub(crate) use token_stream::{StreamItem, TokenStream};
