"""Examples of programs that embed the coordination library."""
