use std::sync::Arc;
use crate::peer::PeerCaller; use crate::schema::peer::{call,reply,RaftMessage}; use crate::settings::HostSettings;
#[derive(Clone)] pub struct Control; 
impl Control { pub fn open(_: &HostSettings, _: Arc<dyn PeerCaller>) -> miette::Result<Self> { Ok(Self)} pub fn receive(&self,_:RaftMessage){} pub async fn handle(&self,_: call::Call)->reply::Reply {unreachable!()} pub async fn close(self){} }
pub(crate) fn unix_ms() -> u64 { 1 }
