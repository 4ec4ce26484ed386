"""The script language, and the code that runs a script."""
