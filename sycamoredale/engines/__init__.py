"""Call model engines; each module adapts one part of their API."""
