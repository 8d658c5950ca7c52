"""Show the whole path on stand-ins and end by itself."""
