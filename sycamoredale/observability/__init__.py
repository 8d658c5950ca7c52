"""Write logs, counters and histograms."""
