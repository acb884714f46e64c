"""The control group: state replicated with Raft, and the view of the fleet."""
