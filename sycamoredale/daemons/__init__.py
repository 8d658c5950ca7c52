"""Run the library as processes."""
