"""The command line; each command's module is imported when the command is called."""
