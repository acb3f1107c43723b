"""Stand-ins for the platform's store, workers and callers, written from the users' pages."""
