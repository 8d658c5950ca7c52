"""Write logs and record metrics."""
