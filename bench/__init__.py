"""Load and measuring tool."""
