"""Choose the endpoint that runs a request."""
