"""The platform's store, instance list, notices and prices."""
