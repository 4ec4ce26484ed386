"""Talk among instances of one cluster: who is there, and frames between them. Off unless an operator's file
switches it on; nothing of it is imported before."""
