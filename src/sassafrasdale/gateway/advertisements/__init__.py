"""What endpoints advertise in their responses, and which of them take a request."""
