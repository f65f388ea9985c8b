"""Which backend server should own which range."""
