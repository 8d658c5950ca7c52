"""Form groups of instances, send orders to them and repair them."""
