"""The script language, and one play of a script."""
