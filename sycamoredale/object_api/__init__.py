"""Call the services behind the product's own API, one module each."""
