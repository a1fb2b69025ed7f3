"""azurerelay: a database proxy with session consistency."""
