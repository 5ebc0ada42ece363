"""Communication between entries: failure detection, gossip, hand-overs, lookups."""
