"""Leaders of failure domains, gates of servers and owners of ranges."""
