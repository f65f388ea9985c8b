"""Examples of the coordination parts embedded in another program."""
