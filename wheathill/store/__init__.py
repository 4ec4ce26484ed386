"""Configuration and state of an installation, replicated without a leader. Off unless an operator's file
switches it on; nothing of it is imported before."""
