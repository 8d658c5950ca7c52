"""Select the endpoint that runs a request."""
